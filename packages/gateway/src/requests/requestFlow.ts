/** Starts the requests of a process and keeps track of those that have not ended. */
import type { Millis, Service, Timer } from '@fuchsiaworks/kernel'
import { compareQueued } from '@fuchsiaworks/policy'
import type { CallerRequest } from './callerRequest.js'
import { CallerExchange } from './callerExchange.js'
import type { FlowContext } from './flowContext.js'

/** Interval at which attempts are checked for upstreams that are silent or send bytes that are no response. */
const ATTEMPT_CHECK_INTERVAL_MS = 100

/** Interval at which waiting requests are tried again; short compared to any latency target. */
const WAITING_CHECK_INTERVAL_MS = 15

/** Retry delay sent to callers whose requests still wait when the process ends. */
const ENDING_RETRY_AFTER_MS: Millis = 500

/** An upstream with open requests that sends no byte for this long counts as silent. */
const UPSTREAM_SILENCE_MS: Millis = 600

/** Starts requests and drives their periodic checks. */
export class RequestFlow implements Service {
  readonly #open = new Set<CallerExchange>()
  readonly #waiting = new Set<CallerExchange>()
  /** Runs only while requests wait, so that an idle process is not woken up. */
  #waitingTimer: Timer | undefined
  /** Runs only while requests are open. */
  #attemptTimer: Timer | undefined

  /** @param ctx - services of the process */
  constructor (readonly ctx: FlowContext) {}

  /** Requests that have not ended. */
  get size (): number {
    return this.#open.size
  }

  /** Starts a request. */
  open (request: CallerRequest): void {
    const exchange = new CallerExchange(this.ctx, request, done => {
      this.#open.delete(done)
      this.ctx.metrics.open.set(this.#open.size)
    })
    this.#open.add(exchange)
    this.ctx.metrics.open.set(this.#open.size)
    exchange.start()
    this.#attemptTimer ??= this.ctx.clock.every(ATTEMPT_CHECK_INTERVAL_MS, () => { this.#checkAttempts() })
    if (exchange.isWaiting && this.ctx.queue === undefined) this.#addWaiting(exchange)
  }

  /** Refuses the requests that still wait at the end of a drain; they have not run. */
  refuseWaiting (): void {
    for (const exchange of [...this.#open]) exchange.attempts.refuseWaiting({ status: 503, reason: 'ending', retryAfterMs: ENDING_RETRY_AFTER_MS })
  }

  close (): void {
    this.#attemptTimer?.close()
    this.#waitingTimer?.close()
    for (const exchange of [...this.#open]) exchange.abort()
  }

  #addWaiting (exchange: CallerExchange): void {
    this.#waiting.add(exchange)
    this.#waitingTimer ??= this.ctx.clock.every(WAITING_CHECK_INTERVAL_MS, () => { this.#trySendWaiting() })
  }

  /** Tries to send the waiting requests in the order of the waiting policy, least served workspace first. */
  #trySendWaiting (): void {
    const ordered = [...this.#waiting].sort((a, b) => compareQueued(a.attempts.queueEntry, b.attempts.queueEntry))
    for (const exchange of ordered) {
      exchange.attempts.trySend()
      if (!exchange.isWaiting) this.#waiting.delete(exchange)
    }
    if (this.#waiting.size > 0) return
    this.#waitingTimer?.close()
    this.#waitingTimer = undefined
  }

  #checkAttempts (): void {
    if (this.#open.size === 0) {
      this.#attemptTimer?.close()
      this.#attemptTimer = undefined
      return
    }
    const now = this.ctx.clock.now()
    for (const exchange of [...this.#open]) {
      exchange.attempts.checkOverhead()
      exchange.attempts.cancelSuspect()
      exchange.attempts.checkSilence(id => now - (this.ctx.placement.record(id)?.lastActivityAt ?? 0) > UPSTREAM_SILENCE_MS)
    }
  }
}
