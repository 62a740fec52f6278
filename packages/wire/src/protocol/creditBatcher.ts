/** Credit-based flow control of request and response bodies; both ends of a link use the same constants. */

/** Window size: bytes of a body that may be in flight before the receiver has consumed them. */
export const BODY_WINDOW_BYTES = 64 * 1024

/** Consumed bytes after which credit is sent. */
const GRANT_THRESHOLD_BYTES = 16 * 1024

/** Batches consumed bytes into credit messages, so that not every chunk of a body costs a message. */
export class CreditBatcher {
  #ungrantedBytes = 0

  /** @param sendCredit - sends a credit message for the given number of bytes */
  constructor (readonly sendCredit: (bytes: number) => void) {}

  /**
   * Records consumed bytes and sends credit once the threshold is reached.
   *
   * @param bytes - number of bytes consumed
   */
  consumeBytes (bytes: number): void {
    this.#ungrantedBytes += bytes
    if (this.#ungrantedBytes < GRANT_THRESHOLD_BYTES) return
    this.sendCredit(this.#ungrantedBytes)
    this.#ungrantedBytes = 0
  }
}
