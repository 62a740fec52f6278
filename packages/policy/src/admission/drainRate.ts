/** Requests handed over a second while a queue was not empty. Newer time counts more. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Milliseconds after which an observation counts half. */
const HALF_LIFE_MS = 15_000

/** Milliseconds of waiting that must have been observed before a rate is told. */
const MIN_OBSERVED_MS = 200

/** Drain rate of one queue since it was last empty. */
export class DrainRate {
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
    if (!busy) {
      this.#busy = 0
      this.#handed = 0
      return
    }
    const keep = 0.5 ** (span / HALF_LIFE_MS)
    this.#handed *= keep
    this.#busy = this.#busy * keep + (1 - keep) * HALF_LIFE_MS / Math.LN2
  }

  /** Counts one request that was handed over. */
  count (): void {
    this.#handed += 1
  }

  /** Expected requests a millisecond, or undefined while too little was observed. */
  get perMs (): number | undefined {
    return this.#busy < MIN_OBSERVED_MS ? undefined : (this.#handed + 1) / this.#busy
  }

  /** Rate that is one standard deviation above the expected one, for refusals that must not be hasty. */
  get hopefulPerMs (): number | undefined {
    const expected = this.#handed + 1
    return this.#busy < MIN_OBSERVED_MS ? undefined : (expected + Math.sqrt(expected)) / this.#busy
  }
}
