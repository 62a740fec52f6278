/** Ends an exchange whose caller is silent for too long while it is its turn. */
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'

/** A timer that runs while the caller is to act. */
export class IdleTimeout {
  #timer: Timer | undefined

  /**
   * @param clock - source of time
   * @param timeoutMs - longest silence in milliseconds
   * @param onTimeout - called once the silence is too long
   */
  constructor (readonly clock: Clock, readonly timeoutMs: Millis, readonly onTimeout: () => void) {}

  /** Begins to wait for the caller, or begins anew. */
  restart (): void {
    this.stop()
    this.#timer = this.clock.after(this.timeoutMs, this.onTimeout)
  }

  /** Ends the wait. */
  stop (): void {
    this.#timer?.close()
    this.#timer = undefined
  }
}
