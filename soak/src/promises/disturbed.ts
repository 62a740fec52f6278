/** Which parts of the system were disturbed, and when. */
import type { Millis } from '@fuchsiaworks/kernel'
import { BOUNDS } from './bounds.js'
import type { Arrival, Disturbance, Ledger } from './ledgerTypes.js'

const overlaps = ({ from, to }: Disturbance, start: Millis, end: Millis): boolean => from <= end && (to ?? Infinity) >= start

/** @returns whether anything of the named parts was disturbed in the span or shortly before it */
export const wasDisturbed = ({ disturbances }: Ledger, subjects: readonly string[], from: Millis, to: Millis): boolean =>
  disturbances.some(one => subjects.includes(one.subject) && overlaps(one, from - BOUNDS.contactMs, to))

/** Parts whose disturbance excuses a gateway. */
export const partsOfGateway = (gateway: number): string[] => [`gateway ${gateway}`, `store-link ${gateway}`, `peer-link ${gateway}`]

/** Parts whose disturbance excuses a gateway where it depends on the platform's store. */
export const partsForStore = (gateway: number): string[] => [...partsOfGateway(gateway), 'store']

/** Parts whose disturbance excuses what happened between a gateway and an upstream. */
export const partsOfArrival = ({ upstream }: Arrival): string[] => [`upstream ${upstream}`, `upstream-link ${upstream}`]

/** @returns whether anything but planned work happened in the span or shortly before it */
export const wasAnythingUnplanned = ({ disturbances }: Ledger, from: Millis, to: Millis): boolean =>
  disturbances.some(one => !one.isPlanned && overlaps(one, from - BOUNDS.contactMs, to))

/** @returns whether planned work was going on at the gateway in the span */
export const hadPlannedWork = ({ disturbances }: Ledger, gateway: number, from: Millis, to: Millis): boolean =>
  disturbances.some(one => one.isPlanned && one.subject === `gateway ${gateway}` && overlaps(one, from, to))
