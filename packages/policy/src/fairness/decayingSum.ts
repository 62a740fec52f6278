/** Exponentially decaying sum. */
import type { Millis } from '@fuchsiaworks/kernel'

export class DecayingSum {
  #sum = 0
  #updatedAt: Millis = 0

  /** @param halfLife - half-life of an amount in milliseconds */
  constructor (readonly halfLife: Millis) {}

  add (amount: number, now: Millis): void {
    this.#sum = this.at(now) + amount
    this.#updatedAt = Math.max(now, this.#updatedAt)
  }

  /** @returns the sum at a point in time */
  at (now: Millis): number {
    return this.#sum * 0.5 ** (Math.max(0, now - this.#updatedAt) / this.halfLife)
  }
}
