/** Request log with a rate limit: lines above the limit are dropped, and the number of dropped lines is logged. */
import { type Clock, createLog, type LogContext, type Millis } from '@fuchsiaworks/kernel'

/** Lines a second; refusals, and what is seen of responses, have limits of their own, so that a flood of them hides no request that reached an upstream. */
const MAX_LINES_PER_SECOND = { request: 200, refusal: 100, response: 50 } as const

/** What a line is about. */
export type LineKind = keyof typeof MAX_LINES_PER_SECOND

/** Window of the rate limit. */
const RATE_WINDOW_MS: Millis = 1000

const log = createLog('requests')

/** Logs the outcome of requests. */
export class RequestLog {
  #windowStart: Millis = 0
  #written: Record<LineKind, number> = { request: 0, refusal: 0, response: 0 }
  #dropped: Record<LineKind, number> = { request: 0, refusal: 0, response: 0 }

  /** @param clock - source of time */
  constructor (readonly clock: Clock) {}

  /** Writes a line, or counts it as dropped when the rate limit is reached. */
  write (sentence: string, context: LogContext, kind: LineKind = 'request'): 'written' | 'dropped' {
    const now = this.clock.now()
    if (now - this.#windowStart >= RATE_WINDOW_MS) this.#startWindow(now)
    if (this.#written[kind] >= MAX_LINES_PER_SECOND[kind]) {
      this.#dropped[kind] += 1
      return 'dropped'
    }
    this.#written[kind] += 1
    log.info(sentence, context)
    return 'written'
  }

  #startWindow (now: Millis): void {
    const { request, refusal, response } = this.#dropped
    const lines = request + refusal + response
    if (lines > 0) log.warn('request log lines dropped by the rate limit', { lines, refusals: refusal, responses: response })
    this.#windowStart = now
    this.#written = { request: 0, refusal: 0, response: 0 }
    this.#dropped = { request: 0, refusal: 0, response: 0 }
  }
}
