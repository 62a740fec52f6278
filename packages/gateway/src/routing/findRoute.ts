/** Finds the route of a request and picks its target service. */
import type { Millis, ServiceId } from '@fuchsiaworks/kernel'
import type { GatewayRoute, RoutingTable } from './routingTypes.js'

/** Returns the host name of a Host header in lower case, without its port. */
export const hostName = (header: string): string => header.toLowerCase().replace(/:\d*$/, '')

/** Returns the path of a request target, without its query. */
export const pathOf = (target: string): string => {
  const query = target.indexOf('?')
  return query === -1 ? target : target.slice(0, query)
}

/**
 * Finds the route with the longest matching prefix.
 *
 * @returns undefined when no route matches
 */
export const findGatewayRoute = (table: Pick<RoutingTable, 'routes'>, host: string, target: string): GatewayRoute | undefined => {
  const name = hostName(host)
  const path = pathOf(target)
  let best: GatewayRoute | undefined
  for (const route of table.routes) {
    if (route.host !== name || !path.startsWith(route.prefix)) continue
    if (best === undefined || route.prefix.length > best.prefix.length) best = route
  }
  return best
}

/** Returns the services to which a route leads; none without a route. */
export const targetServices = (route: GatewayRoute | undefined): ServiceId[] => route?.targets.filter(({ weight }) => weight > 0).map(({ service }) => service) ?? []

/**
 * Picks the service of one request at random, by the weights of the route's targets.
 *
 * @param route - a route with at least one target
 * @param random - number in [0, 1)
 * @returns the service; undefined when the route has no target of positive weight
 */
export const pickServiceByWeight = (route: GatewayRoute, random: number): ServiceId | undefined => {
  const targets = route.targets.filter(({ weight }) => weight > 0)
  let remaining = random * targets.reduce((sum, { weight }) => sum + weight, 0)
  for (const { service, weight } of targets) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return targets.at(-1)?.service
}

/**
 * Finds the lowest latency target among the routes to each service.
 *
 * @returns latency targets in milliseconds by service
 */
export const minTargetMsByService = (table: RoutingTable): Map<ServiceId, Millis> => {
  const minTargets = new Map<ServiceId, Millis>()
  for (const { targets, latencyTargetMs: targetMs } of table.routes) {
    for (const { service } of targets) minTargets.set(service, Math.min(targetMs, minTargets.get(service) ?? Infinity))
  }
  return minTargets
}
