/** Model of a deployment: zones, services with upstreams, workspaces, routers. */

/** A service, and the zones of its upstreams. */
export interface ServiceShape {
  readonly id: string
  readonly kind: 'engine' | 'plain'
  /** Zone of each upstream, in order. */
  readonly upstreamZones: readonly string[]
  /** Maximum number of requests that run at one upstream at a time. */
  readonly slots: number
  /** Concurrency limit of an upstream after a cold start, before any latency has been measured. */
  readonly coldSlots: number
  /** Prefixes of paths, relative to that of the service, whose calls are never idempotent. */
  readonly notIdempotentPaths: readonly string[]
  /** Speed of its stand-ins in milliseconds: busy time of a plain service, time per token of an engine. */
  readonly standinTimeMs: number
}

/** A workspace, and the load that its callers offer. */
export interface WorkspaceShape {
  readonly id: string
  readonly weight: number
  /** Share of its requests that goes to each service. */
  readonly services: Readonly<Record<string, number>>
  /** Indices of the routers that its requests are sent to. */
  readonly routers: readonly number[]
  /** Share of the total offered load. */
  readonly share: number
}

/** A deployment. */
export interface Deployment {
  readonly name: string
  readonly region: string
  readonly zones: readonly string[]
  /** Zone of each router, in order. */
  readonly routerZones: readonly string[]
  readonly services: readonly ServiceShape[]
  readonly workspaces: readonly WorkspaceShape[]
  /** One-way delay of links between processes, in milliseconds. */
  readonly linkDelayMs: number
  /** One-way delay between callers and routers, in milliseconds. */
  readonly callerDelayMs: number
  /** Minutes by which local time is ahead of UTC. */
  readonly utcOffsetMinutes: number
}

/** An upstream of a deployment. */
export interface UpstreamShape {
  readonly id: string
  readonly host: string
  readonly zone: string
  readonly service: ServiceShape
}

/**
 * Lists the upstreams of a deployment.
 *
 * @param deployment - the deployment
 * @returns the upstreams; their ids consist of service and number, from 1
 */
export const listUpstreams = (deployment: Deployment): UpstreamShape[] =>
  deployment.services.flatMap(service => service.upstreamZones.map((zone, index) => ({
    id: `${service.id}-${index + 1}`,
    host: `host-${service.id}-${index + 1}`,
    zone,
    service
  })))

/**
 * Returns the name of the host of a router.
 *
 * @param index - index of the router in the deployment
 */
export const routerHost = (index: number): string => `entry-${index + 1}`
