/** Rate at which work arrives or starts, as an average in which the past fades. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Time constant; about the length of a burst. */
const FADE_MS: Millis = 1000

/** Units per millisecond. */
export class ArrivalRate {
  #units = 0
  #at: Millis = 0

  record (units: number, now: Millis): void {
    this.#units = this.#units * this.#fading(now) + units
    this.#at = now
  }

  rate (now: Millis): number {
    return this.#units * this.#fading(now) / FADE_MS
  }

  #fading (now: Millis): number {
    return Math.exp((this.#at - now) / FADE_MS)
  }
}
