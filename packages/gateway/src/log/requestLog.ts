/** One line for each request, bounded in volume: lines beyond the bound are counted and the count is written. */
import { type Clock, createLog, type LogContext, type Millis } from '@fuchsiaworks/kernel'

/** Lines a second that are written at most. */
const MAX_LINES_PER_SECOND = 200

/** Milliseconds of the span in which lines are counted. */
const RATE_WINDOW_MS: Millis = 1000

const log = createLog('requests')

/** Writes what became of requests. */
export class RequestLog {
  #windowStart: Millis = 0
  #written = 0
  #dropped = 0

  /** @param clock - source of time */
  constructor (readonly clock: Clock) {}

  /** Writes a line, or counts it when too many were written. */
  write (sentence: string, context: LogContext): void {
    const now = this.clock.now()
    if (now - this.#windowStart >= RATE_WINDOW_MS) this.#startWindow(now)
    if (this.#written >= MAX_LINES_PER_SECOND) {
      this.#dropped += 1
      return
    }
    this.#written += 1
    log.info(sentence, context)
  }

  #startWindow (now: Millis): void {
    if (this.#dropped > 0) log.warn('lines about requests were left out', { lines: this.#dropped })
    this.#windowStart = now
    this.#written = 0
    this.#dropped = 0
  }
}
