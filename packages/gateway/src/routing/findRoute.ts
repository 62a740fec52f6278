/** Finds the route of a request and the service that is to answer it. */
import type { Millis, ServiceId } from '@fuchsiaworks/kernel'
import type { GatewayRoute, RoutingTable } from './routingTypes.js'

/** @returns a Host header's name in lower case, without its port */
export const hostName = (header: string): string => header.toLowerCase().replace(/:\d*$/, '')

/** @returns the path of a request target, without its query */
export const pathOf = (target: string): string => {
  const query = target.indexOf('?')
  return query === -1 ? target : target.slice(0, query)
}

/**
 * Finds the route with the longest prefix.
 *
 * @param table - the routes
 * @param host - Host header
 * @param target - request target
 * @returns undefined when none fits
 */
export const findGatewayRoute = (table: RoutingTable, host: string, target: string): GatewayRoute | undefined => {
  const name = hostName(host)
  const path = pathOf(target)
  let best: GatewayRoute | undefined
  for (const route of table.routes) {
    if (route.host !== name || !path.startsWith(route.prefix)) continue
    if (best === undefined || route.prefix.length > best.prefix.length) best = route
  }
  return best
}

/**
 * Draws the service of one request by weight.
 *
 * @param route - a route with at least one target
 * @param random - number from 0 up to 1
 * @returns the service; undefined when the route has no target of positive weight
 */
export const drawService = (route: GatewayRoute, random: number): ServiceId | undefined => {
  const targets = route.targets.filter(({ weight }) => weight > 0)
  let left = random * targets.reduce((sum, { weight }) => sum + weight, 0)
  for (const { service, weight } of targets) {
    left -= weight
    if (left < 0) return service
  }
  return targets.at(-1)?.service
}

/**
 * Finds the shortest target of the routes to each service.
 *
 * @param table - the routes
 * @returns milliseconds by service
 */
export const shortestTargets = (table: RoutingTable): Map<ServiceId, Millis> => {
  const shortest = new Map<ServiceId, Millis>()
  for (const { targets, latencyTargetMs: targetMs } of table.routes) {
    for (const { service } of targets) shortest.set(service, Math.min(targetMs, shortest.get(service) ?? Infinity))
  }
  return shortest
}
