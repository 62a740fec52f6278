/** Events and commands of what follows when an attempt at a request fails. */
import type { Millis, RequestId, ServiceId, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'

/** What is known about a request that got no whole answer. */
export type FailureOutcome = 'not-run' | 'unknown' | 'ran'

/** Why an agent did not start a request that it had been handed. */
export type DeclineReason = 'expired' | 'not-accepting' | 'not-home' | 'key-running' | 'key-unknown' | 'quarantined'

/** Settings of retries in one router. */
export interface RetryConfig {
  /** Retries allowed for each hundred first attempts. */
  readonly budgetPercent: number
  /** Retries a second that the router is allowed whatever its load. */
  readonly floorPerSecond: number
  /** Largest number of unused retries that a service saves up. */
  readonly burst: number
  /** Attempts at one request, the first included. */
  readonly maxAttempts: number
  /** Milliseconds after which an agent starts no request of an older pull. */
  readonly pullTtl: Millis
  /** Milliseconds added to pullTtl for the difference in speed of two clocks. */
  readonly pullMargin: Millis
}

/** Names one attempt; words of an upstream about an attempt that is no longer the present one are ignored. */
export interface AttemptKey {
  readonly request: RequestId
  readonly upstream: UpstreamId
}

/** What happens to requests. `now` is monotonic milliseconds. */
export type RetryEvent =
  {
    readonly kind: 'request-opened'
    readonly now: Millis
    readonly request: RequestId
    readonly workspace: WorkspaceId
    readonly service: ServiceId
    readonly idempotent: boolean
    /** Monotonic milliseconds until which the caller is served. */
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
    /** The first byte of the answer, its head included, was sent to the caller. */
    readonly kind: 'bytes-sent'
    readonly now: Millis
    readonly request: RequestId
  } |
  AttemptKey & {
    readonly kind: 'session-lost'
    readonly now: Millis
    /** `gone`: the agent's process ended. `expired`: it may live on unseen. */
    readonly peer: 'gone' | 'expired'
  } |
  AttemptKey & {
    readonly kind: 'response-failed'
    readonly now: Millis
    readonly outcome: FailureOutcome
    /** True when the upstream ended while it ran the request. */
    readonly crashed: boolean
    /** True when the request ended as many upstreams as is allowed. */
    readonly quarantined: boolean
  } |
  { readonly kind: 'caller-gone', readonly now: Millis, readonly request: RequestId } |
  {
    /** The answer was passed on whole, or the request was refused elsewhere. */
    readonly kind: 'request-closed'
    readonly now: Millis
    readonly request: RequestId
  } |
  { readonly kind: 'tick', readonly now: Millis }

/** What the router does. After `answer`, `cut` and `abandon` the request is forgotten. */
export type RetryCommand =
  {
    /** Put the request back at the head of its queue; it was never started. */
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
    /** Milliseconds for Retry-After; undefined when trying again does not help. */
    readonly retryAfter: Millis | undefined
    readonly reason: string
  } |
  {
    /** Cut the caller's connection, so that a partial answer is never taken for a whole one. */
    readonly kind: 'cut'
    readonly request: RequestId
  } |
  {
    /** Cancel the attempt at its agent; nobody waits for the answer. */
    readonly kind: 'abandon'
    readonly request: RequestId
    /** True when an agent holds the request. */
    readonly held: boolean
  }
