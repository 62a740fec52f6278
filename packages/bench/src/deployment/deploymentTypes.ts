/** What the bench starts: zones, services with upstreams, workspaces, routers. */

/** A service and where its upstreams stand. */
export interface ServiceShape {
  readonly id: string
  readonly kind: 'engine' | 'plain'
  /** Zone of each upstream, in order. */
  readonly upstreamZones: readonly string[]
  /** Most requests that run at once at one upstream. */
  readonly slots: number
  /** Requests that an upstream bears when it has proved nothing. */
  readonly coldSlots: number
  /** Path prefixes below the service that are never idempotent. */
  readonly notIdempotentPaths: readonly string[]
  /** Busy milliseconds or token interval of its stand-ins. */
  readonly pace: number
}

/** A workspace and how its callers behave. */
export interface WorkspaceShape {
  readonly id: string
  readonly weight: number
  /** Services that it calls, by share of its requests. */
  readonly services: Readonly<Record<string, number>>
  /** Indices of the routers that its requests enter by. */
  readonly routers: readonly number[]
  /** Share of the whole offered load. */
  readonly share: number
}

/** One deployment. */
export interface Deployment {
  readonly name: string
  readonly region: string
  readonly zones: readonly string[]
  /** Zone of each router, in order. */
  readonly routerZones: readonly string[]
  readonly services: readonly ServiceShape[]
  readonly workspaces: readonly WorkspaceShape[]
  /** One-way delay of links between processes, in milliseconds. */
  readonly linkDelay: number
  /** One-way delay between callers and routers, in milliseconds. */
  readonly callerDelay: number
  /** Minutes by which local time is ahead of UTC. */
  readonly utcOffsetMinutes: number
}

/** One upstream of a deployment. */
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
 * @returns one entry for each, named by service and number
 */
export const listUpstreams = (deployment: Deployment): UpstreamShape[] =>
  deployment.services.flatMap(service => service.upstreamZones.map((zone, index) => ({
    id: `${service.id}-${index + 1}`,
    host: `host-${service.id}-${index + 1}`,
    zone,
    service
  })))

/**
 * Names a router.
 *
 * @param index - its position in the deployment
 * @returns the name of its host
 */
export const routerHost = (index: number): string => `entry-${index + 1}`
