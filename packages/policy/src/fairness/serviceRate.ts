/** Rate at which a service serves over the whole fleet, as far as this process has heard. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Milliseconds over which one sample is taken. */
const WINDOW_MS = 2_000

/** Share of the known rate that is kept over one window without a larger sample. */
const KEEP = 0.98

/** Largest recent rate; it falls slowly, so that a pause does not read as a slow service. */
export class ServiceRate {
  #rate = 0
  #amount = 0
  #start: Millis | undefined

  /** Virtual cost a second. */
  get perSecond (): number { return this.#rate }

  /**
   * Counts service.
   *
   * @param amount - virtual cost
   * @param now - monotonic reading
   */
  add (amount: number, now: Millis): void {
    this.#start ??= now
    this.#amount += amount
    const span = now - this.#start
    if (span < WINDOW_MS) return
    this.#rate = Math.max(this.#amount * 1000 / span, this.#rate * KEEP ** (span / WINDOW_MS))
    this.#amount = 0
    this.#start = now
  }
}
