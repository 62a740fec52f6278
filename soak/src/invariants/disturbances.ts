/** Which components of the system were disturbed, and when. */
import type { Millis } from '@fuchsiaworks/kernel'
import { BOUNDS } from './bounds.js'
import type { Arrival, Disturbance, Observations } from './observationTypes.js'

const overlaps = ({ from, to }: Disturbance, start: Millis, end: Millis): boolean => from <= end && (to ?? Infinity) >= start

/** @returns whether one of the components was disturbed in the span, or shortly enough before it to have an effect */
export const wasDisturbed = ({ disturbances }: Observations, components: readonly string[], from: Millis, to: Millis): boolean =>
  disturbances.some(disturbance => components.includes(disturbance.component) && overlaps(disturbance, from - BOUNDS.recoveryFromDisturbanceMs, to))

const componentsOfGateway = (gateway: number): string[] => [`gateway ${gateway}`, `store-link ${gateway}`, `peer-link ${gateway}`]

/** Kinds of components that each gateway has. */
const GATEWAY_COMPONENT = /^(?:gateway|store-link|peer-link) /

/**
 * A gateway that callers press on gives connections to its peers, which serve them for as long as they are open. So a fault of a
 * peer reaches callers of that gateway, from the press on.
 */
const werePeersDisturbed = ({ disturbances, presses }: Observations, gateway: number, from: Millis, to: Millis): boolean =>
  presses.some(press => press.gateway === gateway && press.from <= to) &&
  disturbances.some(one => !one.isPlanned && GATEWAY_COMPONENT.test(one.component) && overlaps(one, from - BOUNDS.recoveryFromDisturbanceMs, to))

/** @returns whether a disturbance can explain a violation at a gateway; `others` are components on which it depends besides its own */
export const wasGatewayDisturbed = (observations: Observations, gateway: number, from: Millis, to: Millis, others: readonly string[] = []): boolean =>
  wasDisturbed(observations, [...componentsOfGateway(gateway), ...others], from, to) || werePeersDisturbed(observations, gateway, from, to)

/** Components whose disturbance can explain a violation between a gateway and an upstream. */
export const componentsOfArrival = ({ upstream }: Arrival): string[] => [`upstream ${upstream}`, `upstream-link ${upstream}`]

/** @returns whether there was an unplanned disturbance in the span, or shortly enough before it to have an effect */
export const hadUnplannedDisturbance = ({ disturbances }: Observations, from: Millis, to: Millis): boolean =>
  disturbances.some(one => !one.isPlanned && overlaps(one, from - BOUNDS.recoveryFromDisturbanceMs, to))

/** @returns whether the gateway was stopped or reloaded on purpose in the span */
export const hadPlannedDisturbance = ({ disturbances }: Observations, gateway: number, from: Millis, to: Millis): boolean =>
  disturbances.some(one => one.isPlanned && one.component === `gateway ${gateway}` && overlaps(one, from, to))
