/** Warns of failures that come again and again without filling the log. */
import type { Clock, Log, Millis } from '@fuchsiaworks/kernel'

/** Milliseconds between two lines. */
const LOG_INTERVAL_MS = 10_000

/** Counts failures and writes one line for those of a period. */
export class RateLimitedWarning {
  #count = 0
  #nextLogAt: Millis = -Infinity

  /**
   * @param clock - source of time
   * @param log - log of the part
   * @param message - what failed
   */
  constructor (readonly clock: Clock, readonly log: Log, readonly message: string) {}

  /**
   * Notes a failure.
   *
   * @param lastReason - why it failed
   */
  record (lastReason: string): void {
    this.#count += 1
    const now = this.clock.now()
    if (now < this.#nextLogAt) return
    this.log.warn(this.message, { count: this.#count, lastReason })
    this.#count = 0
    this.#nextLogAt = now + LOG_INTERVAL_MS
  }
}
