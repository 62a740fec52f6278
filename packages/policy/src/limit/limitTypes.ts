/** Events and commands of the concurrency limit that an agent keeps for its upstream. */
import type { Millis, RequestId } from '@fuchsiaworks/kernel'

/** State of an upstream as its agent judges it. */
export type LimitState = 'cold' | 'ready' | 'down'

/** Latency that 95 in 100 samples must keep. */
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
    /** Allowed multiple of the time to first byte that the service has shown when little loaded. */
    readonly factor: number
  }

/** Settings of one upstream's limit. */
export interface LimitConfig {
  readonly target: LatencyTarget
  /** Requests that a cold upstream bears at the same time. */
  readonly coldConcurrency: number
  /** Largest limit ever given. */
  readonly hardCap: number
  /** Milliseconds before the first probe of an upstream that is down. */
  readonly probeBaseMs: Millis
  /** Longest wait between two probes, in milliseconds. */
  readonly probeMaxMs: Millis
}

/** Why a request failed. `overloaded` is an explicit refusal such as status 429 or 503. */
export type LimitFailure = 'crashed' | 'refused' | 'timeout' | 'overloaded'

/** What an agent tells about its upstream. Times are monotonic milliseconds. */
export type LimitEvent =
  { readonly kind: 'started', readonly now: Millis, readonly request: RequestId } |
  { readonly kind: 'first-byte', readonly now: Millis, readonly request: RequestId, readonly latency: Millis } |
  {
    readonly kind: 'token-gap'
    readonly now: Millis
    readonly request: RequestId
    /** Mean milliseconds between tokens since the last such event of the request. */
    readonly gap: Millis
  } |
  { readonly kind: 'ended', readonly now: Millis, readonly request: RequestId, readonly ok: boolean, readonly duration: Millis } |
  { readonly kind: 'failed', readonly now: Millis, readonly request: RequestId, readonly reason: LimitFailure } |
  {
    readonly kind: 'load-report'
    readonly now: Millis
    /** Milliseconds since the upstream measured it. */
    readonly age: Millis
    readonly running: number
    readonly waiting: number
    /** True when the upstream says that it is cold. */
    readonly cold?: boolean
  } |
  { readonly kind: 'probe-ended', readonly now: Millis, readonly ok: boolean } |
  {
    /** The upstream is known to be new: it was replaced, or its zone returned. */
    readonly kind: 'restarted'
    readonly now: Millis
  } |
  {
    /** Comes several times a second; a longer gap shows that this process was paused. */
    readonly kind: 'tick'
    readonly now: Millis
    /** Uniform in [0, 1). */
    readonly random: number
  }

/** What the agent does. The limit is the number of requests that may run at the same time. */
export type LimitCommand =
  { readonly kind: 'limit-changed', readonly limit: number, readonly reason: string } |
  { readonly kind: 'state-changed', readonly state: LimitState, readonly reason: string } |
  {
    /** Check once whether the upstream answers (health path or connection), and report probe-ended. */
    readonly kind: 'probe'
  }
