/** State of one upstream's concurrency limit. */
import { assertNever, clamp, type Millis, type RequestId } from '@fuchsiaworks/kernel'
import { LatencyWindow, quantile, SAMPLE_KINDS, type SampleKind } from './latencyWindow.js'
import type { LimitCommand, LimitConfig, LimitState } from './limitTypes.js'

/** A request that is running at the upstream. */
export interface RunningRequest {
  readonly startedAt: Millis
  /** Epoch of the limit in which the request started. */
  readonly epoch: number
  /** True once the first byte arrived or was counted as overdue. */
  sampled: boolean
  /** True when the next token gap of the request covers a pause of this process. */
  overPause: boolean
  /** Time since which token gaps have stayed within target; undefined before the first one and after a pause of this process. */
  goodSince: Millis | undefined
  /** Epoch of the last success of the request. */
  provedIn: number
}

/** Recent samples whose median is compared with the usual median. */
const RECENT_SAMPLES = 5

/** Minimum milliseconds between two recent samples, so that one short stall does not supply all of them. */
const RECENT_SPACING_MS = 250

/** Milliseconds of token gaps within target that count as one success, as a completion does. */
const PROOF_MS = 1_000

/** Weight of a new window in the moving average of the median latency. */
const RECORD_WEIGHT = 0.2

/** Weight of a new window in the moving average of the base latency of a plain service. */
const BASE_WEIGHT = 0.3

/** Share of the samples that must be within the target. */
const TARGET_SHARE = 0.95

/** Limit, state and latency statistics that an agent keeps for its upstream. */
export class LimitDb {
  state: LimitState = 'cold'
  limit: number
  reason = 'start'
  /** Incremented with each change of the limit; a completion or an overload rejection counts only in the epoch in which the request started. */
  epoch = 0
  changedAt: Millis = 0
  /** Successes in this window: completions of requests that started in this epoch, and seconds of token gaps within target. */
  proved = 0
  /** Distinct requests among the successes; the limit counts as validated once nearly every slot has one. */
  shown = 0
  /** Maximum number of concurrent requests since the window began. */
  peak = 0
  /** Limit at the last missed target or overload rejection; 0 before the first. */
  ceiling = 0
  /** Timeouts since the last successful response. */
  timeouts = 0
  readonly running = new Map<RequestId, RunningRequest>()
  readonly window = new LatencyWindow()
  readonly probe: { due: Millis | undefined, inFlight: boolean, failures: number } = { due: undefined, inFlight: false, failures: 0 }
  /** Time of the last evaluation of the window. */
  judgedAt: Millis = -Infinity
  /** Time of the last tick; undefined before the first. */
  tickedAt: Millis | undefined
  /** Consecutive load reports with waiting requests. */
  waitingReports = 0
  /** Upper bound from the last load report, with its expiry time. */
  bound: { value: number, until: Millis } | undefined
  readonly #record: Record<SampleKind, Millis> = { 'first-byte': 0, 'token-gap': 0 }
  readonly #recent: Readonly<Record<SampleKind, Millis[]>> = { 'first-byte': [], 'token-gap': [] }
  readonly #recentAt: Record<SampleKind, Millis> = { 'first-byte': -Infinity, 'token-gap': -Infinity }
  /** 95th percentile of the time to first byte of a plain service under light load; 0 before the first measurement. */
  #base: Millis = 0
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
    if (this.bound === undefined || now >= this.bound.until) return this.limit
    return Math.min(this.limit, this.bound.value)
  }

  /** True when no more requests run than the limit allows, so that samples are representative of this limit. */
  get settled (): boolean {
    return this.running.size <= this.limit
  }

  /** Sets the limit and begins a new epoch. */
  setLimit (limit: number, now: Millis, reason: string): void {
    this.limit = clamp(Math.floor(limit), 1, this.config.hardCap)
    this.reason = reason
    this.changedAt = now
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
    this.proved = 0
    this.shown = 0
    this.peak = this.running.size
  }

  /** @returns the target for the 95th percentile in milliseconds; Infinity for token gaps of a plain service, and for its first byte under light load, when its base latency is measured */
  target (kind: SampleKind): Millis {
    const { target } = this.config
    switch (target.kind) {
      case 'model': return kind === 'first-byte' ? target.firstToken : target.tokenGap
      case 'plain': return kind === 'first-byte' && this.#base > 0 && !this.#littleLoad ? target.factor * this.#base : Infinity
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
    if (this.settled) this.window.add(kind, value, now)
    if (now - this.#recentAt[kind] < RECENT_SPACING_MS) return
    this.#recentAt[kind] = now
    const recent = this.#recent[kind]
    recent.push(value)
    if (recent.length > RECENT_SAMPLES) recent.shift()
  }

  /** Counts one success of a request: a completion, or a second of token gaps within target. */
  prove (request: RunningRequest): void {
    this.proved += 1
    if (request.provedIn !== this.epoch) this.shown += 1
    request.provedIn = this.epoch
  }

  /** Applies a token gap of a request; each second of gaps within target counts as a success. */
  followTokens (request: RunningRequest, gap: Millis, now: Millis): void {
    const isGood = gap <= this.target('token-gap')
    const since = Math.max(request.goodSince ?? now, this.changedAt)
    if (isGood && now - since >= PROOF_MS) this.prove(request)
    request.goodSince = isGood && now - since < PROOF_MS ? since : now
  }

  /**
   * Compares the recent samples with the usual median latency of the upstream.
   *
   * @param kind - kind of samples to compare
   * @param factor - multiple of the usual median that counts as a jump
   * @returns true when the median of the recent samples exceeds both the target and that multiple
   */
  jumped (kind: SampleKind, factor: number): boolean {
    const recent = this.#recent[kind]
    if (recent.length < RECENT_SAMPLES || this.#record[kind] === 0) return false
    return quantile(recent, 0.5) > Math.max(this.target(kind), factor * this.#record[kind])
  }

  /** Updates the usual median latency of a ready upstream from the window. */
  learnRecord (): void {
    for (const kind of SAMPLE_KINDS) {
      const median = this.window.quantile(kind, 0.5)
      const old = this.#record[kind]
      if (median > 0) this.#record[kind] = old === 0 ? median : old + RECORD_WEIGHT * (median - old)
    }
  }

  /** Updates the base latency from a window under light load only, so that latency under overload never becomes the baseline. */
  learnBase (): void {
    const seen = this.window.quantile('first-byte', TARGET_SHARE)
    if (seen === 0) return
    if (this.#base === 0) this.#base = seen
    else if (this.#littleLoad) this.#base += BASE_WEIGHT * (seen - this.#base)
  }

  /** Discards samples affected by a pause of this process, and marks the running requests, whose next latencies span the pause. */
  forgetPause (): void {
    for (const request of this.running.values()) {
      request.sampled = true
      request.overPause = true
      request.goodSince = undefined
    }
    this.forgetRecent()
    this.restartWindow()
  }

  get #littleLoad (): boolean {
    return this.peak <= this.config.coldConcurrency
  }

  #pressureAt (share: number): number {
    return Math.max(...SAMPLE_KINDS.map(kind => this.window.quantile(kind, share) / this.target(kind)))
  }

  forgetRecent (): void {
    for (const kind of SAMPLE_KINDS) this.#recent[kind].length = 0
  }

  /** @returns a command for each of limit and state that changed since the last call */
  publish (now: Millis): LimitCommand[] {
    const commands: LimitCommand[] = []
    const limit = this.effectiveLimit(now)
    if (limit !== this.#published.limit) commands.push({ kind: 'limit-changed', limit, reason: this.reason })
    if (this.state !== this.#published.state) commands.push({ kind: 'state-changed', state: this.state, reason: this.reason })
    this.#published = { limit, state: this.state }
    return commands
  }
}
