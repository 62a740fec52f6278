/** Credit for bodies, the same at both ends of a link: how much may be on the way, and when more is granted. */

/** Bytes of a body that may be on the way without having been taken at the other end. */
export const BODY_WINDOW_BYTES = 64 * 1024

/** Bytes taken after which credit is granted. */
const GRANT_THRESHOLD_BYTES = 16 * 1024

/** Gathers taken bytes into grants, so that not every part of a body makes a message. */
export class CreditGrant {
  #ungrantedBytes = 0

  /** @param sendCredit - sends credit for so many bytes */
  constructor (readonly sendCredit: (bytes: number) => void) {}

  /**
   * Notes bytes that were taken.
   *
   * @param bytes - how many
   */
  take (bytes: number): void {
    this.#ungrantedBytes += bytes
    if (this.#ungrantedBytes < GRANT_THRESHOLD_BYTES) return
    this.sendCredit(this.#ungrantedBytes)
    this.#ungrantedBytes = 0
  }
}
