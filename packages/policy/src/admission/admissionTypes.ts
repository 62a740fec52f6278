/** Events and commands of a router's queue. */
import type { Millis, RequestId, ServiceId, UpstreamId, WorkspaceId, ZoneId } from '@fuchsiaworks/kernel'

/** One request that waits, or was handed over and may come back. */
export interface WaitingRequest {
  readonly request: RequestId
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly arrivedAt: Millis
  /** Reading at which it is refused at the latest. */
  readonly deadline: Millis
  /** Estimated cost, in cost units. */
  readonly estimate: number
  readonly idempotent: boolean
  /** The only upstream that may run it. */
  readonly home: UpstreamId | undefined
  /** Upstreams at which it failed and must not be tried again. */
  readonly avoid?: readonly UpstreamId[]
  /** Order of arrival. */
  readonly order: number
}

/** Who pulls. */
export interface Puller {
  /** Link to one incarnation of the agent. */
  readonly agent: string
  readonly upstream: UpstreamId
  readonly zone: ZoneId
}

/** Why a request is refused as not run. */
export type RefusalReason = 'queue-full' | 'predicted-wait' | 'deadline'

/** What the queue is told. */
export type AdmissionEvent =
  {
    readonly kind: 'request-arrived'
    readonly request: RequestId
    readonly service: ServiceId
    readonly workspace: WorkspaceId
    /** Milliseconds that it may wait. */
    readonly patience: Millis
    readonly estimate: number
    readonly idempotent: boolean
    readonly home?: UpstreamId
    /** Requests that the workspace may have waiting; the setting of the queue where it is missing. */
    readonly maxWaiting?: number
    readonly now: Millis
  } |
  { readonly kind: 'caller-gone', readonly request: RequestId, readonly now: Millis } |
  { readonly kind: 'pull', readonly pull: number, readonly from: Puller, readonly service: ServiceId, readonly workspace: WorkspaceId, readonly now: Millis } |
  /** The agent declined: the request keeps its place and its deadline. */
  { readonly kind: 'requeue', readonly waiting: WaitingRequest, readonly now: Millis } |
  { readonly kind: 'config-changed', readonly weights: ReadonlyMap<WorkspaceId, number>, readonly zonesOut: ReadonlySet<ZoneId> } |
  { readonly kind: 'tick', readonly now: Millis }

/** What follows from an event. */
export type AdmissionCommand =
  { readonly kind: 'refuse', readonly request: RequestId, readonly reason: RefusalReason, readonly retryAfterMs: Millis } |
  { readonly kind: 'hand-over', readonly pull: number, readonly agent: string, readonly waiting: WaitingRequest } |
  { readonly kind: 'pull-empty', readonly pull: number, readonly agent: string } |
  /** Tell the agents; the router may wait a few milliseconds to tell several changes at once. */
  { readonly kind: 'backlog-changed', readonly service: ServiceId }

/** Settings of the queue. */
export interface AdmissionConfig {
  /** Requests that one workspace may have waiting for one service. */
  readonly maxWaiting: number
}
