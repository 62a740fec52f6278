/** Estimates how many requests to pull before their slots are free, so that slots are not idle during the round trip of a pull. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Weight of a new measurement in the exponentially weighted moving averages. */
const EWMA_WEIGHT = 0.1

/** Round trip of a pull, as a share of the run duration, below which nothing is prefetched. */
const NEGLIGIBLE_SHARE = 0.005

/** Moving averages of the round trip of a pull and of the duration of a run. */
export class PrefetchEstimator {
  #pullRoundTrip: Millis | undefined
  #runDuration: Millis | undefined

  /** Records the time from a pull to its reply, in milliseconds. */
  recordRoundTrip (duration: Millis): void {
    this.#pullRoundTrip = ewma(this.#pullRoundTrip, duration)
  }

  /** Records the duration of a run, in milliseconds. */
  recordRunDuration (duration: Millis): void {
    this.#runDuration = ewma(this.#runDuration, duration)
  }

  /**
   * Computes how many requests to prefetch.
   *
   * @param limit - number of slots
   * @returns requests to pull beyond the slots, at most `limit`; 0 when runs are long compared with a pull, or before measurements
   */
  prefetchCount (limit: number): number {
    if (this.#pullRoundTrip === undefined || this.#runDuration === undefined || this.#runDuration <= 0) return 0
    const share = this.#pullRoundTrip / this.#runDuration
    return share < NEGLIGIBLE_SHARE ? 0 : Math.min(limit, Math.ceil(limit * share))
  }
}

const ewma = (old: Millis | undefined, next: Millis): Millis => old === undefined ? next : old + EWMA_WEIGHT * (next - old)
