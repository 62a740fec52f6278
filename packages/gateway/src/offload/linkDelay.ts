/** How long data takes on a link beyond the fastest data of late: the clocks of two hosts differ by an unknown amount, so that more cannot be measured. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Time for which the fastest data counts, once or twice over: long enough to see an idle moment, and short enough for clocks that drift by 0.01 %. */
const WINDOW_MS: Millis = 30_000

/** Delays on one link in one direction. */
export class LinkDelay {
  #windowStart: Millis = -Infinity
  /** Smallest differences of the two clocks in this window and the one before it. */
  #shortest = Infinity
  #previous = Infinity

  /**
   * Records data and returns its delay, which is at most the real one.
   *
   * @param readAt - time of the other host's clock at which it read the data
   * @param now - time of the own clock
   */
  record (readAt: Millis, now: Millis): Millis {
    const ageMs = now - this.#windowStart
    if (ageMs >= WINDOW_MS) {
      this.#previous = ageMs < WINDOW_MS * 2 ? this.#shortest : Infinity
      this.#shortest = Infinity
      this.#windowStart = now
    }
    this.#shortest = Math.min(this.#shortest, now - readAt)
    return now - readAt - Math.min(this.#shortest, this.#previous)
  }
}
