/** Which parts of the system were disturbed, and when. */
import type { Millis } from '@fuchsiaworks/kernel'
import { BOUNDS } from './bounds.js'
import type { Arrival, Disturbance, Observations } from './observationTypes.js'

const overlaps = ({ from, to }: Disturbance, start: Millis, end: Millis): boolean => from <= end && (to ?? Infinity) >= start

/** @returns whether anything of the named parts was disturbed in the span or shortly before it */
export const wasDisturbed = ({ disturbances }: Observations, components: readonly string[], from: Millis, to: Millis): boolean =>
  disturbances.some(disturbance => components.includes(disturbance.component) && overlaps(disturbance, from - BOUNDS.recoveryFromDisturbanceMs, to))

/** Parts whose disturbance excuses a gateway. */
export const componentsOfGateway = (gateway: number): string[] => [`gateway ${gateway}`, `store-link ${gateway}`, `peer-link ${gateway}`]

/** Parts whose disturbance excuses a gateway where it depends on the platform's store. */
export const componentsOfGatewayAndStore = (gateway: number): string[] => [...componentsOfGateway(gateway), 'store']

/** Parts whose disturbance excuses what happened between a gateway and an upstream. */
export const componentsOfArrival = ({ upstream }: Arrival): string[] => [`upstream ${upstream}`, `upstream-link ${upstream}`]

/** @returns whether anything but planned work happened in the span or shortly before it */
export const hadUnplannedDisturbance = ({ disturbances }: Observations, from: Millis, to: Millis): boolean =>
  disturbances.some(one => !one.isPlanned && overlaps(one, from - BOUNDS.recoveryFromDisturbanceMs, to))

/** @returns whether planned work was going on at the gateway in the span */
export const hadPlannedDisturbance = ({ disturbances }: Observations, gateway: number, from: Millis, to: Millis): boolean =>
  disturbances.some(one => one.isPlanned && one.component === `gateway ${gateway}` && overlaps(one, from, to))
