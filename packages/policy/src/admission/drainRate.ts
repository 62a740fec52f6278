/** Requests handed over a second while a queue was not empty. Newer time counts more. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Milliseconds after which an observation counts half. */
const HALF_LIFE_MS = 15_000

/** Milliseconds of waiting that must have been observed before a rate is told. */
const MIN_OBSERVED_MS = 200

/** Drain rate of one queue since it was last empty, and the rate of handovers whether requests waited or not. */
export class DrainRate {
  /** Handovers of late, also of requests that hardly waited. */
  #flow = 0
  #handed = 0
  #busy: Millis = 0
  #at: Millis = 0

  /**
   * Moves on to a reading.
   *
   * @param now - monotonic reading
   * @param busy - whether requests have waited since the last reading
   */
  advance (now: Millis, busy: boolean): void {
    const span = Math.max(0, now - this.#at)
    this.#at = Math.max(now, this.#at)
    const keep = 0.5 ** (span / HALF_LIFE_MS)
    this.#flow *= keep
    if (!busy) {
      this.#busy = 0
      this.#handed = 0
      return
    }
    this.#handed *= keep
    this.#busy = this.#busy * keep + (1 - keep) * HALF_LIFE_MS / Math.LN2
  }

  /** Counts one request that was handed over. */
  count (): void {
    this.#handed += 1
    this.#flow += 1
  }

  /** Expected requests a millisecond, or undefined while too little was observed. */
  get perMs (): number | undefined {
    return this.#busy < MIN_OBSERVED_MS ? undefined : (this.#handed + 1) / this.#busy
  }

  /**
   * Rate for refusals that must not be hasty: one standard deviation above the expected one, and no less than what was
   * handed over of late, so that a stall of seconds while links or upstreams are replaced is not taken for the queue's rate.
   */
  get hopefulPerMs (): number | undefined {
    if (this.#busy < MIN_OBSERVED_MS) return undefined
    const expected = this.#handed + 1
    return Math.max((expected + Math.sqrt(expected)) / this.#busy, this.#flow * Math.LN2 / HALF_LIFE_MS)
  }
}
