/** Logs refused connections, so that a stranger that comes again and again does not fill the log. */
import type { Clock, Log, Millis } from '@fuchsiaworks/kernel'

/** Milliseconds between two lines. */
const LINE_PERIOD_MS = 10_000

/** Counts refusals and writes one line for those of a period. */
export class RefusalLog {
  #count = 0
  #nextLine: Millis = -Infinity

  /**
   * @param clock - source of time
   * @param log - log of the part
   */
  constructor (readonly clock: Clock, readonly log: Log) {}

  /**
   * Notes a refusal.
   *
   * @param reason - why the connection was refused
   */
  add (reason: string): void {
    this.#count += 1
    const now = this.clock.now()
    if (now < this.#nextLine) return
    this.log.warn('refused connections', { count: this.#count, lastReason: reason })
    this.#count = 0
    this.#nextLine = now + LINE_PERIOD_MS
  }
}
