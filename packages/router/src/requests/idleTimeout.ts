/** Idle timeout of a caller that is expected to send or read data. */
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'

/** A timer that runs only while the router waits for the caller. */
export class IdleTimeout {
  #timer: Timer | undefined

  /**
   * @param clock - source of time
   * @param timeoutMs - maximum time without activity of the caller
   * @param onTimeout - called when the timeout expires
   */
  constructor (readonly clock: Clock, readonly timeoutMs: Millis, readonly onTimeout: () => void) {}

  /** Starts the timer, or restarts it after activity of the caller. */
  restart (): void {
    this.stop()
    this.#timer = this.clock.after(this.timeoutMs, this.onTimeout)
  }

  /** Stops the timer when the router no longer waits for the caller. */
  stop (): void {
    this.#timer?.close()
    this.#timer = undefined
  }
}
