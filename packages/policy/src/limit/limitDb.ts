/** State of one upstream's concurrency limit. */
import { assertNever, clamp, type Millis, type RequestId } from '@fuchsiaworks/kernel'
import { LatencyWindow, quantile, SAMPLE_KINDS, type SampleKind } from './latencyWindow.js'
import type { LimitCommand, LimitConfig, LimitState } from './limitTypes.js'

/** A request that is running at the upstream. */
export interface RunningRequest {
  readonly startedAt: Millis
  /** Epoch of the limit in which the request started. */
  readonly epoch: number
  /** True once the first byte arrived, was counted as overdue, or may have been delayed by a pause of this process. */
  sampled: boolean
  /** True when the next token gap of the request covers a pause of this process. */
  spansPause: boolean
  /** Time since which token gaps have stayed within target; undefined before the first one and after a pause of this process. */
  withinTargetSince: Millis | undefined
  /** Epoch of the last success of the request. */
  lastSuccessEpoch: number
}

/** Recent samples whose median is compared with the usual median. */
const RECENT_SAMPLES = 5

/** Minimum milliseconds between two recent samples, so that one short stall does not supply all of them. */
const RECENT_SPACING_MS = 250

/** Milliseconds of token gaps within target that count as one success; a completion counts as one too. */
const SUCCESS_PERIOD_MS = 1_000

/** Weight of a new window in the moving average of the median latency. */
const USUAL_MEDIAN_WEIGHT = 0.2

/** Weight of a new window in the moving average of the base latency of a plain service. */
const BASE_LATENCY_WEIGHT = 0.3

/** Share of the samples that must be within the target. */
const TARGET_SHARE = 0.95

/** Limit, state and latency statistics that an agent keeps for its upstream. */
export class LimitDb {
  state: LimitState = 'cold'
  limit: number
  /** Reason of the last change of limit or state, for operators. */
  reason = 'start'
  /** Incremented with each change of the limit; a completion or an overload rejection counts only in the epoch in which the request started. */
  epoch = 0
  limitChangedAt: Millis = 0
  /** Successes in this window: completions of requests that started in this epoch, and seconds of token gaps within target. */
  successes = 0
  /** Distinct requests among the successes; the limit counts as validated once nearly every slot has one. */
  successfulRequests = 0
  /** Maximum number of concurrent requests since the window began. */
  peakRunning = 0
  /** Limit at the last missed target or overload rejection; 0 before the first. */
  lastMissedLimit = 0
  /** Timeouts since the last successful response. */
  consecutiveTimeouts = 0
  readonly running = new Map<RequestId, RunningRequest>()
  readonly window = new LatencyWindow()
  readonly probe: { dueAt: Millis | undefined, inFlight: boolean, failures: number } = { dueAt: undefined, inFlight: false, failures: 0 }
  /** Time of the last evaluation of the window. */
  evaluatedAt: Millis = -Infinity
  /** Time of the last tick; undefined before the first. */
  lastTickAt: Millis | undefined
  /** Consecutive load reports with waiting requests. */
  consecutiveWaitingReports = 0
  /** Upper bound from the last load report, with its expiry time. */
  reportBound: { value: number, until: Millis } | undefined
  readonly #usualMedian: Record<SampleKind, Millis> = { 'first-byte': 0, 'token-gap': 0 }
  readonly #recent: Readonly<Record<SampleKind, Millis[]>> = { 'first-byte': [], 'token-gap': [] }
  readonly #recentAt: Record<SampleKind, Millis> = { 'first-byte': -Infinity, 'token-gap': -Infinity }
  /** 95th percentile of the time to first byte of a plain service under light load; 0 before the first measurement. */
  #baseLatency: Millis = 0
  #published: { limit: number, state: LimitState } = { limit: -1, state: 'down' }

  /** @param config - targets and bounds of the upstream */
  constructor (readonly config: LimitConfig) {
    this.limit = Math.min(config.coldConcurrency, config.hardCap)
  }

  /**
   * Computes how many requests may run now.
   *
   * @param now - monotonic milliseconds
   * @returns the limit, capped by the bound from the load report; 0 while the upstream is down
   */
  effectiveLimit (now: Millis): number {
    if (this.state === 'down') return 0
    if (this.reportBound === undefined || now >= this.reportBound.until) return this.limit
    return Math.min(this.limit, this.reportBound.value)
  }

  /** True when no more requests run than the limit allows, so that samples are representative of this limit. */
  get isWithinLimit (): boolean {
    return this.running.size <= this.limit
  }

  /** Sets the limit and begins a new epoch. */
  setLimit (limit: number, now: Millis, reason: string): void {
    this.limit = clamp(Math.floor(limit), 1, this.config.hardCap)
    this.reason = reason
    this.limitChangedAt = now
    this.epoch += 1
    this.restartWindow()
  }

  setState (state: LimitState, reason: string): void {
    this.state = state
    this.reason = reason
  }

  /** Begins a new window under the same limit. */
  restartWindow (): void {
    this.window.clear()
    this.successes = 0
    this.successfulRequests = 0
    this.peakRunning = this.running.size
  }

  /**
   * Returns the target for the 95th percentile.
   *
   * @returns milliseconds; Infinity for token gaps of a plain service, and for its first byte before the base latency is known or under light load, when it is measured
   */
  target (kind: SampleKind): Millis {
    const { target } = this.config
    switch (target.kind) {
      case 'model': return kind === 'first-byte' ? target.firstToken : target.tokenGap
      case 'plain': return kind === 'first-byte' && this.#baseLatency > 0 && !this.#isLightlyLoaded ? target.factor * this.#baseLatency : Infinity
      default: return assertNever(target)
    }
  }

  /** @returns the ratio of the window's 95th percentile to its target, for the worse kind; above 1 the target is missed */
  pressure (): number {
    return this.#pressureAt(TARGET_SHARE)
  }

  /** @returns the ratio of the window's median to its target, for the worse kind */
  medianPressure (): number {
    return this.#pressureAt(0.5)
  }

  /** Adds a sample to the window and, when the last one is old enough, to the recent samples. */
  addSample (kind: SampleKind, value: Millis, now: Millis): void {
    if (this.isWithinLimit) this.window.add(kind, value, now)
    if (now - this.#recentAt[kind] < RECENT_SPACING_MS) return
    this.#recentAt[kind] = now
    const recent = this.#recent[kind]
    recent.push(value)
    if (recent.length > RECENT_SAMPLES) recent.shift()
  }

  /** Counts one success of a request: a completion, or a second of token gaps within target. */
  recordSuccess (request: RunningRequest): void {
    this.successes += 1
    if (request.lastSuccessEpoch !== this.epoch) this.successfulRequests += 1
    request.lastSuccessEpoch = this.epoch
  }

  /** Applies a token gap of a request; each second of gaps within target counts as a success. */
  applyTokenGap (request: RunningRequest, gap: Millis, now: Millis): void {
    const isWithinTarget = gap <= this.target('token-gap')
    const since = Math.max(request.withinTargetSince ?? now, this.limitChangedAt)
    if (isWithinTarget && now - since >= SUCCESS_PERIOD_MS) this.recordSuccess(request)
    request.withinTargetSince = isWithinTarget && now - since < SUCCESS_PERIOD_MS ? since : now
  }

  /**
   * Compares the recent samples with the usual median latency of the upstream.
   *
   * @param kind - kind of samples to compare
   * @param factor - multiple of the usual median that counts as a jump
   * @returns true when the median of the recent samples exceeds both the target and that multiple
   */
  hasLatencyJump (kind: SampleKind, factor: number): boolean {
    const recent = this.#recent[kind]
    if (recent.length < RECENT_SAMPLES || this.#usualMedian[kind] === 0) return false
    return quantile(recent, 0.5) > Math.max(this.target(kind), factor * this.#usualMedian[kind])
  }

  /** Updates the usual median latency of a ready upstream from the window. */
  updateUsualMedian (): void {
    for (const kind of SAMPLE_KINDS) {
      const median = this.window.quantile(kind, 0.5)
      const previous = this.#usualMedian[kind]
      if (median > 0) this.#usualMedian[kind] = previous === 0 ? median : previous + USUAL_MEDIAN_WEIGHT * (median - previous)
    }
  }

  /** Updates the base latency from a window under light load only, so that latency under overload never becomes the baseline. */
  updateBaseLatency (): void {
    const measured = this.window.quantile('first-byte', TARGET_SHARE)
    if (measured === 0) return
    if (this.#baseLatency === 0) this.#baseLatency = measured
    else if (this.#isLightlyLoaded) this.#baseLatency += BASE_LATENCY_WEIGHT * (measured - this.#baseLatency)
  }

  /** Discards samples affected by a pause of this process, and marks the running requests, whose next latencies span the pause. */
  discardSamplesAcrossPause (): void {
    for (const request of this.running.values()) {
      request.sampled = true
      request.spansPause = true
      request.withinTargetSince = undefined
    }
    this.clearRecentSamples()
    this.restartWindow()
  }

  get #isLightlyLoaded (): boolean {
    return this.peakRunning <= this.config.coldConcurrency
  }

  #pressureAt (share: number): number {
    return Math.max(...SAMPLE_KINDS.map(kind => this.window.quantile(kind, share) / this.target(kind)))
  }

  clearRecentSamples (): void {
    for (const kind of SAMPLE_KINDS) this.#recent[kind].length = 0
  }

  /** @returns `limit-changed` and `state-changed` commands for what has changed since the last call */
  takeChanges (now: Millis): LimitCommand[] {
    const commands: LimitCommand[] = []
    const limit = this.effectiveLimit(now)
    if (limit !== this.#published.limit) commands.push({ kind: 'limit-changed', limit, reason: this.reason })
    if (this.state !== this.#published.state) commands.push({ kind: 'state-changed', state: this.state, reason: this.reason })
    this.#published = { limit, state: this.state }
    return commands
  }
}
