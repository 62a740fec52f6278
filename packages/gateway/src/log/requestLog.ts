/** Request log with a rate limit: lines above the limit are dropped, and the number of dropped lines is logged. */
import { type Clock, createLog, type LogContext, type Millis } from '@fuchsiaworks/kernel'

const MAX_LINES_PER_SECOND = 200

/** Window of the rate limit. */
const RATE_WINDOW_MS: Millis = 1000

const log = createLog('requests')

/** Logs the outcome of requests. */
export class RequestLog {
  #windowStart: Millis = 0
  #written = 0
  #dropped = 0

  /** @param clock - source of time */
  constructor (readonly clock: Clock) {}

  /** Writes a line, or counts it as dropped when the rate limit is reached. */
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
    if (this.#dropped > 0) log.warn('request log lines dropped by the rate limit', { lines: this.#dropped })
    this.#windowStart = now
    this.#written = 0
    this.#dropped = 0
  }
}
