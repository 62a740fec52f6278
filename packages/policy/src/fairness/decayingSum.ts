/** A sum in which older parts count less. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Sum with a half-life. */
export class DecayingSum {
  #sum = 0
  #updatedAt: Millis = 0

  /** @param halfLife - milliseconds after which a part counts half */
  constructor (readonly halfLife: Millis) {}

  add (amount: number, now: Millis): void {
    this.#sum = this.at(now) + amount
    this.#updatedAt = Math.max(now, this.#updatedAt)
  }

  /** @returns the sum at a reading */
  at (now: Millis): number {
    return this.#sum * 0.5 ** (Math.max(0, now - this.#updatedAt) / this.halfLife)
  }
}
