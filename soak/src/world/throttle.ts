/** Limits the processor time of a gateway, as a small host does: suspends and resumes it in turn. */
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import type { GatewayProcess } from './gatewayProcess.js'

/** Time in which the process runs once and is suspended once. */
const PERIOD_MS: Millis = 40

const REASON = 'throttle'

/** Throttles one gateway until closed. */
export class Throttle {
  readonly #timer: Timer
  #closed = false

  /**
   * @param clock - source of timers
   * @param gateway - gateway to throttle
   * @param share - share of the time in which it may run, from 0 to 1
   */
  constructor (readonly clock: Clock, readonly gateway: GatewayProcess, share: number) {
    this.#timer = clock.every(PERIOD_MS, () => { this.#runFor(PERIOD_MS * share) })
  }

  /** Lets the gateway run without a limit again. */
  close (): void {
    this.#closed = true
    this.#timer.close()
    this.gateway.resume(REASON)
  }

  #runFor (length: Millis): void {
    this.gateway.resume(REASON)
    this.clock.after(length, () => { if (!this.#closed) this.gateway.suspend(REASON) })
  }
}
