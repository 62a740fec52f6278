/** Works out how many requests to pull before their slots are free, so that a slot is not idle for the time of a pull. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Weight of a new measurement in the averages. */
const WEIGHT = 0.1

/** Share of a run's length under which the time of a pull does not matter. */
const NEGLIGIBLE = 0.005

/** Averages of the time of a pull and of the length of a run. */
export class PullAhead {
  #trip: Millis | undefined
  #run: Millis | undefined

  /** Takes the time from a pull to its answer, in milliseconds. */
  noteTrip (span: Millis): void {
    this.#trip = average(this.#trip, span)
  }

  /** Takes the length of a run, in milliseconds. */
  noteRun (span: Millis): void {
    this.#run = average(this.#run, span)
  }

  /**
   * Tells how far to pull ahead.
   *
   * @param limit - slots of the upstream
   * @returns requests beyond the slots, at most as many as there are slots; 0 for runs that are long against a pull
   */
  count (limit: number): number {
    if (this.#trip === undefined || this.#run === undefined || this.#run <= 0) return 0
    const share = this.#trip / this.#run
    return share < NEGLIGIBLE ? 0 : Math.min(limit, Math.ceil(limit * share))
  }
}

const average = (old: Millis | undefined, next: Millis): Millis => old === undefined ? next : old + WEIGHT * (next - old)
