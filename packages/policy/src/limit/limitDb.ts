/** State of one upstream's limit, and the only functions that change it. */
import { clamp, type Millis, type RequestId } from '@fuchsiaworks/kernel'
import { LatencyWindow, type SampleKind } from './latencyWindow.js'
import type { LimitCommand, LimitConfig, LimitState } from './limitTypes.js'

/** One request that runs at the upstream. */
export interface RunningRequest {
  readonly startedAt: Millis
  /** Value of `epoch` when it started. */
  readonly epoch: number
  /** True once a first byte was seen or its lateness was counted. */
  sampled: boolean
}

/** Samples that are compared with the record to see a jump. */
const RECENT_SAMPLES = 5

/** Weight of a new window in the record. */
const RECORD_WEIGHT = 0.2

/** Growth of a plain service's base latency for each window, so that a lasting change is learnt. */
const BASE_DRIFT = 1.005

/** What the agent knows of its upstream. */
export class LimitDb {
  state: LimitState = 'cold'
  limit: number
  reason = 'start'
  /** Counts changes of the limit; a request proves only the limit under which it started. */
  epoch = 0
  changedAt: Millis = 0
  /** Good completions of requests that started in this epoch. */
  proved = 0
  /** True once as many requests ran as the limit allows. */
  full = false
  /** Largest limit that missed its target; 0 when none is known. */
  ceiling = 0
  /** Timeouts since the last good answer. */
  timeouts = 0
  readonly running = new Map<RequestId, RunningRequest>()
  readonly window = new LatencyWindow()
  readonly probe: { due: Millis | undefined, inFlight: boolean, failures: number } = { due: undefined, inFlight: false, failures: 0 }
  /** Upper bound from a load report, until it is too old. */
  bound: { value: number, until: Millis } | undefined
  readonly #record = { 'first-byte': 0, 'token-gap': 0 }
  readonly #recent = { 'first-byte': [] as number[], 'token-gap': [] as number[] }
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
  effective (now: Millis): number {
    if (this.state === 'down') return 0
    if (this.bound === undefined || now >= this.bound.until) return this.limit
    return Math.min(this.limit, this.bound.value)
  }

  /** True when no more requests run than the limit allows, so that samples speak of this limit. */
  get settled (): boolean {
    return this.running.size <= this.limit
  }

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

  restartWindow (): void {
    this.window.clear()
    this.proved = 0
    this.full = false
  }

  /** Turns a latency into a share of the target. */
  ratio (kind: SampleKind, value: Millis): number {
    const { target } = this.config
    switch (target.kind) {
      case 'model': return value / (kind === 'first-byte' ? target.firstToken : target.tokenGap)
      case 'plain': return this.#plainRatio(value, target.factor)
    }
  }

  /** Keeps a sample for the window and for the comparison with the record. */
  addSample (kind: SampleKind, ratio: number): void {
    const recent = this.#recent[kind]
    recent.push(ratio)
    if (recent.length > RECENT_SAMPLES) recent.shift()
    if (this.settled) this.window.add(kind, ratio)
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
    const median = [...recent].sort((a, b) => a - b)[RECENT_SAMPLES >> 1] ?? 0
    return median > Math.max(1, factor * this.#record[kind])
  }

  /** Takes the window's medians into the record. */
  learn (): void {
    for (const kind of ['first-byte', 'token-gap'] as const) {
      const median = this.window.median(kind)
      if (median === 0) continue
      const old = this.#record[kind]
      this.#record[kind] = old === 0 ? median : old + RECORD_WEIGHT * (median - old)
    }
    this.#base *= BASE_DRIFT
  }

  forgetRecent (): void {
    this.#recent['first-byte'].length = 0
    this.#recent['token-gap'].length = 0
  }

  /** @returns commands for what changed since the last call */
  publish (now: Millis): LimitCommand[] {
    const commands: LimitCommand[] = []
    const limit = this.effective(now)
    if (limit !== this.#published.limit) commands.push({ kind: 'limit-changed', limit, reason: this.reason })
    if (this.state !== this.#published.state) commands.push({ kind: 'state-changed', state: this.state, reason: this.reason })
    this.#published = { limit, state: this.state }
    return commands
  }

  #plainRatio (value: Millis, factor: number): number {
    if (this.#base === 0 || value < this.#base) this.#base = Math.max(value, Number.MIN_VALUE)
    return value / (factor * this.#base)
  }
}
