/** Works out how many requests to pull before their slots are free, so that a slot is not idle for the time of a pull. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Weight of a new measurement in the averages. */
const EWMA_WEIGHT = 0.1

/** Share of a run's length under which the time of a pull does not matter. */
const NEGLIGIBLE_SHARE = 0.005

/** Averages of the time of a pull and of the length of a run. */
export class PrefetchEstimator {
  #pullRoundTrip: Millis | undefined
  #runDuration: Millis | undefined

  /** Takes the time from a pull to its answer, in milliseconds. */
  recordRoundTrip (duration: Millis): void {
    this.#pullRoundTrip = ewma(this.#pullRoundTrip, duration)
  }

  /** Takes the length of a run, in milliseconds. */
  recordRunDuration (duration: Millis): void {
    this.#runDuration = ewma(this.#runDuration, duration)
  }

  /**
   * Tells how far to pull ahead.
   *
   * @param limit - slots of the upstream
   * @returns requests beyond the slots, at most as many as there are slots; 0 for runs that are long against a pull
   */
  prefetchCount (limit: number): number {
    if (this.#pullRoundTrip === undefined || this.#runDuration === undefined || this.#runDuration <= 0) return 0
    const share = this.#pullRoundTrip / this.#runDuration
    return share < NEGLIGIBLE_SHARE ? 0 : Math.min(limit, Math.ceil(limit * share))
  }
}

const ewma = (old: Millis | undefined, next: Millis): Millis => old === undefined ? next : old + EWMA_WEIGHT * (next - old)
