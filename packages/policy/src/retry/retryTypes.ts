/** Events and commands of the retry policy. */
import type { Millis, RequestId, ServiceId, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'

/** What is known about a request without a complete response. */
export type FailureOutcome = 'not-run' | 'unknown' | 'ran'

/** Why an agent did not start a request that was handed over to it. */
export type DeclineReason = 'expired' | 'not-accepting' | 'not-home' | 'key-running' | 'key-unknown' | 'quarantined'

/** Settings of retries in one router. */
export interface RetryConfig {
  /** Retries allowed per hundred first attempts. */
  readonly budgetPercent: number
  /** Retries per second that the router is allowed regardless of its load. */
  readonly floorPerSecond: number
  /** Largest number of unused retries that a service accumulates. */
  readonly burst: number
  /** Largest number of attempts at one request, including the first. */
  readonly maxAttempts: number
  /** Time to live of a pull in milliseconds; an agent does not start a request handed over for an older one. */
  readonly pullTtl: Millis
  /** Milliseconds added to pullTtl for clock drift between router and agent. */
  readonly pullMargin: Millis
}

/** Identifies one attempt; events of an attempt that is no longer the current one are ignored. */
export interface AttemptKey {
  readonly request: RequestId
  readonly upstream: UpstreamId
}

/** Input events of the retry policy. `now` is monotonic time in milliseconds. */
export type RetryEvent =
  {
    readonly kind: 'request-opened'
    readonly now: Millis
    readonly request: RequestId
    readonly workspace: WorkspaceId
    readonly service: ServiceId
    readonly idempotent: boolean
    /** Monotonic time after which no further attempt is started. */
    readonly deadline: Millis
  } |
  AttemptKey & {
    /** The request was handed over to the agent beside the upstream. */
    readonly kind: 'attempt-started'
    readonly now: Millis
  } |
  AttemptKey & { readonly kind: 'accepted', readonly now: Millis } |
  AttemptKey & { readonly kind: 'declined', readonly now: Millis, readonly reason: DeclineReason } |
  {
    /** The first byte of the response, including its head, was sent to the caller. */
    readonly kind: 'bytes-sent'
    readonly now: Millis
    readonly request: RequestId
  } |
  AttemptKey & {
    readonly kind: 'session-lost'
    readonly now: Millis
    /** `gone`: the agent's process ended. `expired`: the agent may still be running but is unreachable. */
    readonly peer: 'gone' | 'expired'
  } |
  AttemptKey & {
    readonly kind: 'response-failed'
    readonly now: Millis
    readonly outcome: FailureOutcome
    /** True when the upstream crashed while running the request. */
    readonly crashed: boolean
    /** True when the request crashed as many upstreams as is allowed. */
    readonly quarantined: boolean
  } |
  { readonly kind: 'caller-gone', readonly now: Millis, readonly request: RequestId } |
  {
    /** The response was forwarded completely, or the request was refused elsewhere. */
    readonly kind: 'request-closed'
    readonly now: Millis
    readonly request: RequestId
  } |
  { readonly kind: 'tick', readonly now: Millis }

/** Commands to the router. After `answer`, `cut` and `abandon` the request is no longer tracked. */
export type RetryCommand =
  {
    /** Put the request back at the head of its queue; it was not started. */
    readonly kind: 'requeue'
    readonly request: RequestId
    /** Upstreams at which earlier attempts failed. */
    readonly avoid: readonly UpstreamId[]
  } |
  {
    /** Put the request back at the head of its queue for another attempt, not on these upstreams. */
    readonly kind: 'retry'
    readonly request: RequestId
    readonly attempt: number
    readonly avoid: readonly UpstreamId[]
  } |
  {
    readonly kind: 'answer'
    readonly request: RequestId
    readonly outcome: FailureOutcome
    /** HTTP status. */
    readonly status: number
    /** Retry-After in milliseconds; undefined when sending the request again does not help. */
    readonly retryAfter: Millis | undefined
    readonly reason: string
  } |
  {
    /** Close the caller's connection, so that a partial response is never taken for a complete one. */
    readonly kind: 'cut'
    readonly request: RequestId
  } |
  {
    /** Cancel the attempt at its agent, since the caller has disconnected. */
    readonly kind: 'abandon'
    readonly request: RequestId
    /** True when the request is handed over to an agent. */
    readonly held: boolean
  }
