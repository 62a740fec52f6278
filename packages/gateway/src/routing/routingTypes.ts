/** The routing table: which requests go to which service, and which workspaces may send them. */
import type { Id, Millis, ServiceId, UpstreamId, WorkspaceId, ZoneId } from '@fuchsiaworks/kernel'
import type { Repeatability, SoftwareVersion } from '@fuchsiaworks/policy'

/** Unique name of a route. */
export type RouteId = Id<'route'>

/** One of the services among which a route splits its requests. */
export interface RouteTarget {
  readonly service: ServiceId
  /** Weight relative to the other targets of the route. */
  readonly weight: number
}

/** One route. */
export interface GatewayRoute {
  readonly id: RouteId
  /** Host name in lower case, without a port. */
  readonly host: string
  /** Path prefix; starts and ends with a slash. */
  readonly prefix: string
  readonly targets: readonly RouteTarget[]
  readonly repeatability: Repeatability
  /** True when responses are streams of server-sent events. */
  readonly isStream: boolean
  /** Time limit for the complete response. */
  readonly timeoutMs: Millis
  /** Latency target for the response, or for the first event of a stream. */
  readonly latencyTargetMs: Millis
  /** Maximum number of upstreams to which one request may be sent. */
  readonly maxAttempts: number
  /** True when requests need no API key. */
  readonly isPublic: boolean
  /** Priority in the queue, 0 is the highest; undefined counts as 0. */
  readonly priority?: number | undefined
}

/** Properties of an inference engine. */
export interface EngineProperties {
  /** Capacity of one upstream's KV cache in tokens. */
  readonly kvCapacityTokens: number
  /** Time in which an upstream copies a thousand cached tokens from another; undefined when it cannot. */
  readonly copyMsPerThousandTokens: Millis | undefined
}

/** One service, which upstreams provide. */
export interface GatewayService {
  readonly id: ServiceId
  /** Connections that one upstream accepts from all gateways together. */
  readonly maxConnections: number
  /** Requests per second that one upstream can take during cold start, from all gateways together. */
  readonly coldRequestsPerSecond: number
  /** Undefined when the upstreams of the service are not inference engines. */
  readonly engine: EngineProperties | undefined
}

/** Limits on the requests of callers, and the token rate that all workspaces share. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: Millis
  readonly idleTimeoutMs: Millis
  /** Total throughput of all engines, where a generated token counts as two prompt tokens; undefined when not configured. */
  readonly tokensPerSecond: number | undefined
}

/** One accepted configuration. */
export interface RoutingTable {
  readonly revision: number
  readonly routes: readonly GatewayRoute[]
  readonly services: ReadonlyMap<ServiceId, GatewayService>
  /** Workspaces by API key; undefined when requests need none. */
  readonly workspaceByApiKey: ReadonlyMap<string, WorkspaceId> | undefined
  /** Priorities of workspaces that have one of their own, which goes before that of the route. */
  readonly priorityByWorkspace?: ReadonlyMap<WorkspaceId, number>
  readonly limits: CallerLimits
}

/** A registered upstream. */
export interface GatewayUpstream {
  readonly id: UpstreamId
  readonly service: ServiceId
  /** Address as `ip:port`. */
  readonly address: string
  readonly zone: ZoneId
  /** Undefined when the entry does not declare it. */
  readonly version: SoftwareVersion | undefined
  /** Number of requests that the upstream processes at a time. */
  readonly slots: number
  /** True when the upstream is draining and accepts no new requests. */
  readonly isDraining: boolean
  /** Start of the upstream's process in Unix milliseconds, which tells two processes under one id apart; undefined when not given. */
  readonly startedAt: number | undefined
  /** End of the upstream's cold start, in monotonic milliseconds; 0 when it has none. */
  readonly coldUntil: Millis
}
