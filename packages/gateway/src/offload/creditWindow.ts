/** Flow control of one direction of an offloaded connection: bounds the bytes that are on their way. */
import { CREDIT_BYTES } from './offloadTypes.js'

/** Share of the window after which the receiver returns credit, so that most connections need no credit frame. */
const RETURN_RATIO = 0.5

/** The sender's side. */
export class SendCredit {
  #left = CREDIT_BYTES

  /** True when no more bytes may be sent. */
  get isExhausted (): boolean {
    return this.#left <= 0
  }

  consume (bytes: number): void {
    this.#left -= bytes
  }

  restore (bytes: number): void {
    this.#left += bytes
  }
}

/** The receiver's side. */
export class ReceiveCredit {
  #owed = 0

  /**
   * Counts bytes that were passed on.
   *
   * @returns the credit to return now; 0 for none
   */
  release (bytes: number): number {
    this.#owed += bytes
    if (this.#owed < CREDIT_BYTES * RETURN_RATIO) return 0
    const returned = this.#owed
    this.#owed = 0
    return returned
  }
}
