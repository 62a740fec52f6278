/** Rate-limited logging of recurring failures. */
import type { Clock, Log, Millis } from '@fuchsiaworks/kernel'

/** Minimum interval between two log lines in milliseconds. */
const LOG_INTERVAL_MS = 10_000

/** Counts failures and logs at most one warning per interval. The count covers all failures since the previous line. */
export class RateLimitedWarning {
  #count = 0
  #nextLogAt: Millis = -Infinity

  /**
   * @param clock - source of time
   * @param log - log to write to
   * @param message - log message
   */
  constructor (readonly clock: Clock, readonly log: Log, readonly message: string) {}

  /**
   * Records a failure.
   *
   * @param lastReason - reason of the failure
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
