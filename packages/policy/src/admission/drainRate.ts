/** Handover rate of a queue while it is not empty, as an exponentially weighted average. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Half-life of an observation in milliseconds. */
const HALF_LIFE_MS = 15_000

/** Milliseconds for which the queue must have been non-empty before a rate is reported. */
const MIN_BUSY_MS = 200

/** Drain rate of one queue since it was last empty, and its handover rate regardless of whether requests were queued. */
export class DrainRate {
  /** Decayed count of handovers, including those of requests that were hardly queued. */
  #recentHandovers = 0
  #busyHandovers = 0
  #busyMs: Millis = 0
  #updatedAt: Millis = 0

  /**
   * Decays the observations up to `now`.
   *
   * @param now - monotonic time in milliseconds
   * @param busy - whether the queue was non-empty since the last call
   */
  advance (now: Millis, busy: boolean): void {
    const elapsedMs = Math.max(0, now - this.#updatedAt)
    this.#updatedAt = Math.max(now, this.#updatedAt)
    const decay = 0.5 ** (elapsedMs / HALF_LIFE_MS)
    this.#recentHandovers *= decay
    if (!busy) {
      this.#busyMs = 0
      this.#busyHandovers = 0
      return
    }
    this.#busyHandovers *= decay
    this.#busyMs = this.#busyMs * decay + (1 - decay) * HALF_LIFE_MS / Math.LN2
  }

  recordHandover (): void {
    this.#busyHandovers += 1
    this.#recentHandovers += 1
  }

  /**
   * Expected handovers per millisecond, or undefined after less than MIN_BUSY_MS of observation. One handover is added to the
   * count, so that the rate is above 0 before the first one.
   */
  get expectedPerMs (): number | undefined {
    return this.#busyMs < MIN_BUSY_MS ? undefined : (this.#busyHandovers + 1) / this.#busyMs
  }

  /**
   * Upper estimate of the rate, by which requests are refused early: one standard deviation above the expected rate and at
   * least the recent handover rate. A stall of a few seconds while links or upstreams are replaced then refuses nothing.
   */
  get optimisticPerMs (): number | undefined {
    if (this.#busyMs < MIN_BUSY_MS) return undefined
    const expected = this.#busyHandovers + 1
    return Math.max((expected + Math.sqrt(expected)) / this.#busyMs, this.#recentHandovers * Math.LN2 / HALF_LIFE_MS)
  }
}
