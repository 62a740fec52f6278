/** Warns of failures that come again and again without filling the log. */
import type { Clock, Log, Millis } from '@fuchsiaworks/kernel'

/** Milliseconds between two lines. */
const LINE_PERIOD_MS = 10_000

/** Counts failures and writes one line for those of a period. */
export class RepeatedWarning {
  #count = 0
  #nextLine: Millis = -Infinity

  /**
   * @param clock - source of time
   * @param log - log of the part
   * @param sentence - what failed
   */
  constructor (readonly clock: Clock, readonly log: Log, readonly sentence: string) {}

  /**
   * Notes a failure.
   *
   * @param lastReason - why it failed
   */
  add (lastReason: string): void {
    this.#count += 1
    const now = this.clock.now()
    if (now < this.#nextLine) return
    this.log.warn(this.sentence, { count: this.#count, lastReason })
    this.#count = 0
    this.#nextLine = now + LINE_PERIOD_MS
  }
}
