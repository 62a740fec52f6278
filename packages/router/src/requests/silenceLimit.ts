/** Ends an exchange whose caller is silent for too long while it is its turn. */
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'

/** A timer that runs while the caller is to act. */
export class SilenceLimit {
  #timer: Timer | undefined

  /**
   * @param clock - source of time
   * @param limit - longest silence in milliseconds
   * @param onSilent - called once the silence is too long
   */
  constructor (readonly clock: Clock, readonly limit: Millis, readonly onSilent: () => void) {}

  /** Begins to wait for the caller, or begins anew. */
  expect (): void {
    this.close()
    this.#timer = this.clock.after(this.limit, this.onSilent)
  }

  /** Ends the wait. */
  close (): void {
    this.#timer?.close()
    this.#timer = undefined
  }
}
