/** Configuration, events and commands of the concurrency limit that an agent keeps for its upstream. */
import type { Millis, RequestId } from '@fuchsiaworks/kernel'

/** State of an upstream as determined by its agent. */
export type LimitState = 'cold' | 'ready' | 'down'

/** Target for the 95th percentile of the latency: `model` for an engine that streams tokens, `plain` for any other service. */
export type LatencyTarget =
  {
    readonly kind: 'model'
    /** Milliseconds to the first token. */
    readonly firstToken: Millis
    /** Milliseconds between two tokens. */
    readonly tokenGap: Millis
  } |
  {
    readonly kind: 'plain'
    /** Allowed multiple of the time to first byte measured under light load. */
    readonly factor: number
  }

/** Configuration of one upstream's limit. */
export interface LimitConfig {
  readonly target: LatencyTarget
  /** Concurrent requests that an upstream can handle in cold start. */
  readonly coldConcurrency: number
  /** Upper bound of the limit. */
  readonly hardCap: number
  /** Mean milliseconds before the first probe of an upstream that is down; doubles with each failed probe. */
  readonly probeBaseMs: Millis
  /** Upper bound of the mean wait between two probes, in milliseconds. */
  readonly probeMaxMs: Millis
}

/** Cause of a failed request. `refused` is a refused connection, `overloaded` an explicit rejection such as status 429 or 503. */
export type LimitFailure = 'crashed' | 'refused' | 'timeout' | 'overloaded'

/** Events that an agent reports about its upstream. Times are monotonic milliseconds. */
export type LimitEvent =
  { readonly kind: 'started', readonly now: Millis, readonly request: RequestId } |
  { readonly kind: 'first-byte', readonly now: Millis, readonly request: RequestId, readonly latency: Millis } |
  {
    readonly kind: 'token-gap'
    readonly now: Millis
    readonly request: RequestId
    /** Mean milliseconds between tokens since the last `token-gap` event of the request. */
    readonly gap: Millis
  } |
  { readonly kind: 'ended', readonly now: Millis, readonly request: RequestId, readonly ok: boolean, readonly duration: Millis } |
  { readonly kind: 'failed', readonly now: Millis, readonly request: RequestId, readonly reason: LimitFailure } |
  {
    readonly kind: 'load-report'
    readonly now: Millis
    /** Milliseconds since the upstream measured its load. */
    readonly age: Millis
    readonly running: number
    readonly waiting: number
    /** True when the upstream reports that it is in cold start. */
    readonly cold?: boolean
  } |
  { readonly kind: 'probe-ended', readonly now: Millis, readonly ok: boolean } |
  {
    /** The upstream is known to have restarted: it was replaced, or its zone came back. */
    readonly kind: 'restarted'
    readonly now: Millis
  } |
  {
    /** Sent several times a second; a longer gap indicates that this process was suspended. */
    readonly kind: 'tick'
    readonly now: Millis
    /** Uniform in [0, 1). */
    readonly random: number
  }

/** Commands for the agent. The limit is the number of requests that may run concurrently. */
export type LimitCommand =
  { readonly kind: 'limit-changed', readonly limit: number, readonly reason: string } |
  { readonly kind: 'state-changed', readonly state: LimitState, readonly reason: string } |
  {
    /** Probe the upstream once (health path or connection) and report the result as `probe-ended`. */
    readonly kind: 'probe'
  }
