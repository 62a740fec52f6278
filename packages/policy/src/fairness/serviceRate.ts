/** Rate of a service over the whole fleet, from the updates that this process has received. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Length of one sample in milliseconds. */
const WINDOW_MS = 2_000

/** Factor by which the rate decays over one window without a larger sample. */
const DECAY_PER_WINDOW = 0.98

/** Decaying maximum of the rate; the slow decay keeps a pause from being taken for a slow service. */
export class ServiceRate {
  #rate = 0
  #windowAmount = 0
  #windowStart: Millis | undefined

  /** Virtual cost per second. */
  get perSecond (): number { return this.#rate }

  /**
   * Adds service to the current sample.
   *
   * @param amount - virtual cost
   * @param now - monotonic time in milliseconds
   */
  add (amount: number, now: Millis): void {
    this.#windowStart ??= now
    this.#windowAmount += amount
    const elapsedMs = now - this.#windowStart
    if (elapsedMs < WINDOW_MS) return
    this.#rate = Math.max(this.#windowAmount * 1000 / elapsedMs, this.#rate * DECAY_PER_WINDOW ** (elapsedMs / WINDOW_MS))
    this.#windowAmount = 0
    this.#windowStart = now
  }
}
