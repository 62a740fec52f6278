/** Events and commands of a router's admission queue. */
import type { Millis, RequestId, ServiceId, UpstreamId, WorkspaceId, ZoneId } from '@fuchsiaworks/kernel'

/** A request that is queued, or was handed over to an agent that may still decline it. */
export interface WaitingRequest {
  readonly request: RequestId
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly arrivedAt: Millis
  /** Monotonic time at which the request is refused if it is still queued. */
  readonly deadline: Millis
  /** Estimated cost, in cost units. */
  readonly estimate: number
  readonly idempotent: boolean
  /** The only upstream that may run the request; undefined when any may. */
  readonly home: UpstreamId | undefined
  /** Upstreams at which earlier attempts failed and that must not be tried again. */
  readonly avoid?: readonly UpstreamId[]
  /** Sequence number by arrival. */
  readonly order: number
}

/** Agent that sent a pull. */
export interface Puller {
  /** Link to one incarnation of the agent. */
  readonly agent: string
  readonly upstream: UpstreamId
  readonly zone: ZoneId
}

/** Why a request is refused before it has run. */
export type RefusalReason = 'queue-full' | 'predicted-wait' | 'deadline'

/** Input events of the queue. */
export type AdmissionEvent =
  {
    readonly kind: 'request-arrived'
    readonly request: RequestId
    readonly service: ServiceId
    readonly workspace: WorkspaceId
    /** Longest time in milliseconds that the request may stay queued. */
    readonly patience: Millis
    readonly estimate: number
    readonly idempotent: boolean
    readonly home?: UpstreamId
    /** Longest queue of the workspace; defaults to `AdmissionConfig.maxWaiting`. */
    readonly maxWaiting?: number
    readonly now: Millis
  } |
  { readonly kind: 'caller-gone', readonly request: RequestId, readonly now: Millis } |
  { readonly kind: 'pull', readonly pull: number, readonly from: Puller, readonly service: ServiceId, readonly workspace: WorkspaceId, readonly now: Millis } |
  /** The agent declined the request, which keeps its position and its deadline. */
  { readonly kind: 'requeue', readonly waiting: WaitingRequest, readonly now: Millis } |
  { readonly kind: 'config-changed', readonly weights: ReadonlyMap<WorkspaceId, number>, readonly zonesOut: ReadonlySet<ZoneId> } |
  { readonly kind: 'tick', readonly now: Millis }

/** Commands that result from an event. */
export type AdmissionCommand =
  { readonly kind: 'refuse', readonly request: RequestId, readonly reason: RefusalReason, readonly retryAfterMs: Millis } |
  { readonly kind: 'hand-over', readonly pull: number, readonly agent: string, readonly waiting: WaitingRequest } |
  { readonly kind: 'pull-empty', readonly pull: number, readonly agent: string } |
  /** Send the backlog to the agents; the router may delay this by a few milliseconds to batch several changes. */
  { readonly kind: 'backlog-changed', readonly service: ServiceId }

/** Settings of the queue. */
export interface AdmissionConfig {
  /** Largest number of requests that one workspace may have queued for one service. */
  readonly maxWaiting: number
}
