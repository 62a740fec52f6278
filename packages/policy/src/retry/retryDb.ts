/** Requests that a router has open, as far as retries need them. */
import type { Millis, RequestId, ServiceId, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'
import { RetryBudget } from './retryBudget.js'
import type { RetryConfig } from './retryTypes.js'

/** Where a request stands. */
export type AttemptState =
  { readonly kind: 'queued' } |
  { readonly kind: 'handed-over', readonly at: Millis, readonly accepted: boolean } |
  {
    /** The session was lost; from `decideAt` on no agent can start the request any more. */
    readonly kind: 'in-doubt'
    readonly decideAt: Millis
  }

/** One open request. */
export interface OpenRequest {
  readonly id: RequestId
  readonly workspace: WorkspaceId
  readonly service: ServiceId
  readonly idempotent: boolean
  readonly deadline: Millis
  /** Attempts that ended without a whole answer; declined ones do not count. */
  attempts: number
  /** True once an attempt may have run. */
  mayHaveRun: boolean
  /** Upstreams of those attempts. */
  readonly triedUpstreams: UpstreamId[]
  /** Upstream of the present attempt. */
  upstream: UpstreamId | undefined
  bytesSent: boolean
  state: AttemptState
}

/** Open requests and the budget of retries. */
export class RetryDb {
  readonly requests = new Map<RequestId, OpenRequest>()
  /** Requests whose fate is decided by time. */
  readonly inDoubt = new Set<OpenRequest>()
  readonly budget: RetryBudget

  /** @param config - settings of retries */
  constructor (readonly config: RetryConfig) {
    this.budget = new RetryBudget(config)
  }

  forget (request: OpenRequest): void {
    this.requests.delete(request.id)
    this.inDoubt.delete(request)
  }
}
