/** Rate at which a service serves over the whole fleet, as far as this process has heard. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Milliseconds over which one sample is taken. */
const WINDOW_MS = 2_000

/** Share of the known rate that is kept over one window without a larger sample. */
const DECAY_PER_WINDOW = 0.98

/** Largest recent rate; it falls slowly, so that a pause does not read as a slow service. */
export class ServiceRate {
  #rate = 0
  #windowAmount = 0
  #windowStart: Millis | undefined

  /** Virtual cost a second. */
  get perSecond (): number { return this.#rate }

  /**
   * Counts service.
   *
   * @param amount - virtual cost
   * @param now - monotonic reading
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
