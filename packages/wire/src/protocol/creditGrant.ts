/** Credit for bodies, the same at both ends of a link: how much may be on the way, and when more is granted. */

/** Bytes of a body that may be on the way without having been taken at the other end. */
export const BODY_WINDOW_BYTES = 64 * 1024

/** Bytes taken after which credit is granted. */
const CREDIT_STEP_BYTES = 16 * 1024

/** Gathers taken bytes into grants, so that not every part of a body makes a message. */
export class CreditBatcher {
  #taken = 0

  /** @param grant - sends credit for so many bytes */
  constructor (readonly grant: (bytes: number) => void) {}

  /**
   * Notes bytes that were taken.
   *
   * @param bytes - how many
   */
  consumeBytes (bytes: number): void {
    this.#taken += bytes
    if (this.#taken < CREDIT_STEP_BYTES) return
    this.grant(this.#taken)
    this.#taken = 0
  }
}
