/** All open requests of a process. */
import type { Millis, Service, Timer } from '@fuchsiaworks/kernel'
import { compareQueued } from '@fuchsiaworks/policy'
import type { CallerCall } from './callerCall.js'
import { CallerExchange } from './callerExchange.js'
import type { FlowContext } from './flowContext.js'

/** Milliseconds between two looks for attempts that have fallen silent. */
const SILENCE_CHECK_MS = 100

/** Milliseconds between two looks for room for waiting requests; short against every target. */
const WAITING_CHECK_MS = 15

/** Milliseconds without a byte after which an upstream with open runs counts as silent. */
const UPSTREAM_SILENCE_MS: Millis = 600

/** Opens requests and follows them. */
export class RequestFlow implements Service {
  readonly #open = new Set<CallerExchange>()
  readonly #waiting = new Set<CallerExchange>()
  /** Runs only while something waits: an idle process is not woken. */
  #waitingTimer: Timer | undefined
  /** Runs only while requests are open. */
  #silenceTimer: Timer | undefined

  /** @param ctx - services of the process */
  constructor (readonly ctx: FlowContext) {}

  /** Requests that have not ended. */
  get size (): number {
    return this.#open.size
  }

  /** Begins a request. */
  open (call: CallerCall): void {
    const exchange = new CallerExchange(this.ctx, call, done => {
      this.#open.delete(done)
      this.ctx.metrics.open.set(this.#open.size)
    })
    this.#open.add(exchange)
    this.ctx.metrics.open.set(this.#open.size)
    exchange.start()
    this.#silenceTimer ??= this.ctx.clock.every(SILENCE_CHECK_MS, () => { this.#checkSilence() })
    if (exchange.isWaiting) this.#wait(exchange)
  }

  close (): void {
    this.#silenceTimer?.close()
    this.#waitingTimer?.close()
    for (const exchange of [...this.#open]) exchange.abort()
  }

  #wait (exchange: CallerExchange): void {
    this.#waiting.add(exchange)
    this.#waitingTimer ??= this.ctx.clock.every(WAITING_CHECK_MS, () => { this.#tryWaiting() })
  }

  /** Offers room to waiting requests, the least served workspace's first. */
  #tryWaiting (): void {
    const ordered = [...this.#waiting].sort((a, b) => compareQueued(a.waiting, b.waiting))
    for (const exchange of ordered) {
      exchange.tryStart()
      if (!exchange.isWaiting) this.#waiting.delete(exchange)
    }
    if (this.#waiting.size > 0) return
    this.#waitingTimer?.close()
    this.#waitingTimer = undefined
  }

  #checkSilence (): void {
    if (this.#open.size === 0) {
      this.#silenceTimer?.close()
      this.#silenceTimer = undefined
      return
    }
    const now = this.ctx.clock.now()
    for (const exchange of [...this.#open]) {
      exchange.checkSilence(id => now - (this.ctx.placement.record(id)?.lastActivityAt ?? 0) > UPSTREAM_SILENCE_MS)
    }
  }
}
