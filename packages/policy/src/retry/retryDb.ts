/** Retry state of the open requests of a router. */
import type { Millis, RequestId, ServiceId, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'
import { RetryBudget } from './retryBudget.js'
import type { RetryConfig } from './retryTypes.js'

/** Progress of the current attempt. */
export type AttemptState =
  { readonly kind: 'queued' } |
  { readonly kind: 'handed-over', readonly at: Millis, readonly accepted: boolean } |
  {
    /** The session to the agent was lost. At `decideAt` the pull has expired, so that no agent can start the request any more. */
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
  /** Attempts that ended without a complete response; declined ones do not count. */
  attempts: number
  /** True after an attempt that may have run. */
  mayHaveRun: boolean
  /** Upstreams of the failed attempts. */
  readonly triedUpstreams: UpstreamId[]
  /** Upstream of the current attempt. */
  upstream: UpstreamId | undefined
  bytesSent: boolean
  state: AttemptState
}

/** Open requests and the retry budget. */
export class RetryDb {
  readonly requests = new Map<RequestId, OpenRequest>()
  /** Requests whose session was lost and that are decided by a later tick. */
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
