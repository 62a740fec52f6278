/** Which components of the system were disturbed, and when. */
import type { Millis } from '@fuchsiaworks/kernel'
import { BOUNDS } from './bounds.js'
import type { Arrival, Disturbance, Observations } from './observationTypes.js'

const overlaps = ({ from, to }: Disturbance, start: Millis, end: Millis): boolean => from <= end && (to ?? Infinity) >= start

/** @returns whether one of the components was disturbed in the span, or shortly enough before it to have an effect */
export const wasDisturbed = ({ disturbances }: Observations, components: readonly string[], from: Millis, to: Millis): boolean =>
  disturbances.some(disturbance => components.includes(disturbance.component) && overlaps(disturbance, from - BOUNDS.recoveryFromDisturbanceMs, to))

/** Components whose disturbance can explain a violation at a gateway. */
export const componentsOfGateway = (gateway: number): string[] => [`gateway ${gateway}`, `store-link ${gateway}`, `peer-link ${gateway}`]

/** Components whose disturbance can explain a violation at a gateway that depends on the platform's store. */
export const componentsOfGatewayAndStore = (gateway: number): string[] => [...componentsOfGateway(gateway), 'store']

/** Components whose disturbance can explain a violation between a gateway and an upstream. */
export const componentsOfArrival = ({ upstream }: Arrival): string[] => [`upstream ${upstream}`, `upstream-link ${upstream}`]

/** @returns whether there was an unplanned disturbance in the span, or shortly enough before it to have an effect */
export const hadUnplannedDisturbance = ({ disturbances }: Observations, from: Millis, to: Millis): boolean =>
  disturbances.some(one => !one.isPlanned && overlaps(one, from - BOUNDS.recoveryFromDisturbanceMs, to))

/** @returns whether the gateway was stopped or reloaded on purpose in the span */
export const hadPlannedDisturbance = ({ disturbances }: Observations, gateway: number, from: Millis, to: Millis): boolean =>
  disturbances.some(one => one.isPlanned && one.component === `gateway ${gateway}` && overlaps(one, from, to))
