/** The routing table: which requests go to which service, and for whom. */
import type { Id, Millis, ServiceId, UpstreamId, WorkspaceId, ZoneId } from '@fuchsiaworks/kernel'
import type { Repeatability } from '@fuchsiaworks/policy'

/** Name of a route. */
export type RouteId = Id<'route'>

/** A part of a route's requests that goes to one service. */
export interface RouteTarget {
  readonly service: ServiceId
  /** Weight against the other targets of the route. */
  readonly weight: number
}

/** One route. */
export interface GatewayRoute {
  readonly id: RouteId
  /** Host name in lower case, without a port. */
  readonly host: string
  /** Start of the path; begins and ends with a slash. */
  readonly prefix: string
  readonly targets: readonly RouteTarget[]
  readonly repeatability: Repeatability
  /** True when answers are streams of events. */
  readonly isStream: boolean
  /** Milliseconds after which every request has had its final answer. */
  readonly timeoutMs: Millis
  /** Milliseconds to the answer, or to the first event of a stream, that callers are content with. */
  readonly latencyTargetMs: Millis
  /** Upstreams to which one request may be sent. */
  readonly maxAttempts: number
  /** True when requests need no key. */
  readonly isPublic: boolean
}

/** Properties of an engine. */
export interface EngineProperties {
  /** Tokens that fit in the memory of one upstream. */
  readonly kvCapacityTokens: number
  /** Milliseconds in which an upstream copies a thousand tokens from another; undefined when it cannot. */
  readonly copyMsPerThousandTokens: Millis | undefined
}

/** One service. */
export interface GatewayService {
  readonly id: ServiceId
  /** Connections that one upstream accepts from all routers. */
  readonly maxConnections: number
  /** Requests a second that one upstream bears in cold start, from all routers. */
  readonly coldRequestsPerSecond: number
  /** Undefined for plain services. */
  readonly engine: EngineProperties | undefined
}

/** Bounds of what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: Millis
  readonly idleTimeoutMs: Millis
  /** Tokens that all engines produce in a second; undefined when not configured. */
  readonly tokensPerSecond: number | undefined
}

/** One accepted configuration. */
export interface RoutingTable {
  readonly revision: number
  readonly routes: readonly GatewayRoute[]
  readonly services: ReadonlyMap<ServiceId, GatewayService>
  /** Workspace by key; undefined when requests need none. */
  readonly workspaceByApiKey: ReadonlyMap<string, WorkspaceId> | undefined
  readonly limits: CallerLimits
}

/** A registered upstream. */
export interface GatewayUpstream {
  readonly id: UpstreamId
  readonly service: ServiceId
  /** Address as `ip:port`. */
  readonly address: string
  readonly zone: ZoneId
  readonly slots: number
  /** True when it leaves and takes no new requests. */
  readonly isDraining: boolean
  /** Monotonic milliseconds until which it is in cold start. */
  readonly coldUntil: Millis
}
