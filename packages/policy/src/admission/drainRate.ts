/** Requests handed over a second while a queue was not empty. Newer time counts more. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Milliseconds after which an observation counts half. */
const HALF_LIFE_MS = 15_000

/** Milliseconds of waiting that must have been observed before a rate is told. */
const MIN_BUSY_MS = 200

/** Drain rate of one queue since it was last empty, and the rate of handovers whether requests waited or not. */
export class DrainRate {
  /** Handovers of late, also of requests that hardly waited. */
  #recentHandovers = 0
  #busyHandovers = 0
  #busyMs: Millis = 0
  #updatedAt: Millis = 0

  /**
   * Moves on to a reading.
   *
   * @param now - monotonic reading
   * @param busy - whether requests have waited since the last reading
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

  /** Counts one request that was handed over. */
  recordHandover (): void {
    this.#busyHandovers += 1
    this.#recentHandovers += 1
  }

  /** Expected requests a millisecond, or undefined while too little was observed. */
  get expectedPerMs (): number | undefined {
    return this.#busyMs < MIN_BUSY_MS ? undefined : (this.#busyHandovers + 1) / this.#busyMs
  }

  /**
   * Rate for refusals that must not be hasty: one standard deviation above the expected one, and no less than what was
   * handed over of late, so that a stall of seconds while links or upstreams are replaced is not taken for the queue's rate.
   */
  get optimisticPerMs (): number | undefined {
    if (this.#busyMs < MIN_BUSY_MS) return undefined
    const expected = this.#busyHandovers + 1
    return Math.max((expected + Math.sqrt(expected)) / this.#busyMs, this.#recentHandovers * Math.LN2 / HALF_LIFE_MS)
  }
}
