/** State of one upstream's limit, and the only functions that change it. */
import { assertNever, clamp, type Millis, type RequestId } from '@fuchsiaworks/kernel'
import { LatencyWindow, quantile, SAMPLE_KINDS, type SampleKind } from './latencyWindow.js'
import type { LimitCommand, LimitConfig, LimitState } from './limitTypes.js'

/** One request that runs at the upstream. */
export interface RunningRequest {
  readonly startedAt: Millis
  /** Value of `epoch` when it started. */
  readonly epoch: number
  /** True once a first byte was seen or its lateness was counted. */
  sampled: boolean
  /** True when the next summary of its token gaps covers a pause of this process. */
  overPause: boolean
  /** Since when its tokens have come within target, in this epoch; undefined before the first byte. */
  goodSince: Millis | undefined
  /** Epoch in which it last proved the limit. */
  provedIn: number
}

/** Samples that are compared with the record to see a jump. */
const RECENT_SAMPLES = 5

/** Milliseconds between two of these samples, so that one short hiccup does not fill them. */
const RECENT_SPACING_MS = 250

/** Milliseconds of tokens within target that prove as much as a completion. */
const PROOF_MS = 1_000

/** Weight of a new window in the record. */
const RECORD_WEIGHT = 0.2

/** Weight of a new window in the base latency of a plain service. */
const BASE_WEIGHT = 0.3

/** Share of the samples that must lie within the target. */
const TARGET_SHARE = 0.95

/** What the agent knows of its upstream. */
export class LimitDb {
  state: LimitState = 'cold'
  limit: number
  reason = 'start'
  /** Counts changes of the limit; a request proves only the limit under which it started. */
  epoch = 0
  changedAt: Millis = 0
  /** Good completions of requests that started in this epoch, and seconds of tokens within target in it. */
  proved = 0
  /** Requests among them; the limit has shown itself once each slot's request has. */
  shown = 0
  /** Most requests that ran at the same time since the window began. */
  peak = 0
  /** Largest limit that missed its target; 0 when none is known. */
  ceiling = 0
  /** Timeouts since the last good answer. */
  timeouts = 0
  readonly running = new Map<RequestId, RunningRequest>()
  readonly window = new LatencyWindow()
  readonly probe: { due: Millis | undefined, inFlight: boolean, failures: number } = { due: undefined, inFlight: false, failures: 0 }
  /** When the window was last judged. */
  judgedAt: Millis = -Infinity
  /** Time of the last tick; undefined before the first. */
  tickedAt: Millis | undefined
  /** Load reports in a row that told of waiting requests. */
  waitingReports = 0
  /** Upper bound from a load report, until it is too old. */
  bound: { value: number, until: Millis } | undefined
  readonly #record: Record<SampleKind, Millis> = { 'first-byte': 0, 'token-gap': 0 }
  readonly #recent: Readonly<Record<SampleKind, Millis[]>> = { 'first-byte': [], 'token-gap': [] }
  readonly #recentAt: Record<SampleKind, Millis> = { 'first-byte': -Infinity, 'token-gap': -Infinity }
  /** Time to first byte that 95 in 100 calls of a plain service keep under little load; 0 until learnt. */
  #base: Millis = 0
  #published: { limit: number, state: LimitState } = { limit: -1, state: 'down' }

  /** @param config - targets and bounds of the upstream */
  constructor (readonly config: LimitConfig) {
    this.limit = Math.min(config.coldConcurrency, config.hardCap)
  }

  /**
   * Requests that may run now.
   *
   * @param now - monotonic milliseconds
   * @returns the limit under the load report's bound; 0 while down
   */
  effectiveLimit (now: Millis): number {
    if (this.state === 'down') return 0
    if (this.bound === undefined || now >= this.bound.until) return this.limit
    return Math.min(this.limit, this.bound.value)
  }

  /** True when no more requests run than the limit allows, so that samples speak of this limit. */
  get settled (): boolean {
    return this.running.size <= this.limit
  }

  /** Changes the limit and begins a new epoch. */
  setLimit (limit: number, now: Millis, reason: string): void {
    this.limit = clamp(Math.floor(limit), 1, this.config.hardCap)
    this.reason = reason
    this.changedAt = now
    this.epoch += 1
    this.restartWindow()
  }

  /** Changes the state. */
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

  /** @returns the milliseconds that 95 in 100 samples must keep; Infinity for a plain service under little load, which sets its own record */
  target (kind: SampleKind): Millis {
    const { target } = this.config
    switch (target.kind) {
      case 'model': return kind === 'first-byte' ? target.firstToken : target.tokenGap
      case 'plain': return kind === 'first-byte' && this.#base > 0 && !this.#littleLoad ? target.factor * this.#base : Infinity
      default: return assertNever(target)
    }
  }

  /** @returns the window's 95th percentile as a share of its target, for the worse kind; above 1 the target is missed */
  pressure (): number {
    return this.#pressureAt(TARGET_SHARE)
  }

  /** @returns the window's median as a share of the target, for the worse kind */
  medianPressure (): number {
    return this.#pressureAt(0.5)
  }

  /** Keeps a sample for the window and for the comparison with the record. */
  addSample (kind: SampleKind, value: Millis, now: Millis): void {
    if (this.settled) this.window.add(kind, value, now)
    if (now - this.#recentAt[kind] < RECENT_SPACING_MS) return
    this.#recentAt[kind] = now
    const recent = this.#recent[kind]
    recent.push(value)
    if (recent.length > RECENT_SAMPLES) recent.shift()
  }

  /** Counts a completion, or a second of good tokens, of a request. */
  prove (request: RunningRequest): void {
    this.proved += 1
    if (request.provedIn !== this.epoch) this.shown += 1
    request.provedIn = this.epoch
  }

  /** Follows the tokens of a request; each second within target proves the limit. */
  followTokens (request: RunningRequest, gap: Millis, now: Millis): void {
    const isGood = gap <= this.target('token-gap')
    const since = Math.max(request.goodSince ?? now, this.changedAt)
    if (isGood && now - since >= PROOF_MS) this.prove(request)
    request.goodSince = isGood && now - since < PROOF_MS ? since : now
  }

  /**
   * Compares the last samples with the upstream's own record.
   *
   * @param kind - what was measured
   * @param factor - multiple of the record that counts as a jump
   * @returns true when the median of the last samples misses the target and jumps above the record
   */
  jumped (kind: SampleKind, factor: number): boolean {
    const recent = this.#recent[kind]
    if (recent.length < RECENT_SAMPLES || this.#record[kind] === 0) return false
    return quantile(recent, 0.5) > Math.max(this.target(kind), factor * this.#record[kind])
  }

  /** Takes the medians of a window into the record of a ready upstream. */
  learnRecord (): void {
    for (const kind of SAMPLE_KINDS) {
      const median = this.window.quantile(kind, 0.5)
      const old = this.#record[kind]
      if (median > 0) this.#record[kind] = old === 0 ? median : old + RECORD_WEIGHT * (median - old)
    }
  }

  /** Takes a window under little load into the base latency, so that overload is never learnt as normal. */
  learnBase (): void {
    const seen = this.window.quantile('first-byte', TARGET_SHARE)
    if (seen === 0) return
    if (this.#base === 0) this.#base = seen
    else if (this.#littleLoad) this.#base += BASE_WEIGHT * (seen - this.#base)
  }

  /** Drops what a pause of this process has spoilt: latencies of requests that ran over it. */
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

  /** @returns commands for what changed since the last call */
  publish (now: Millis): LimitCommand[] {
    const commands: LimitCommand[] = []
    const limit = this.effectiveLimit(now)
    if (limit !== this.#published.limit) commands.push({ kind: 'limit-changed', limit, reason: this.reason })
    if (this.state !== this.#published.state) commands.push({ kind: 'state-changed', state: this.state, reason: this.reason })
    this.#published = { limit, state: this.state }
    return commands
  }
}
