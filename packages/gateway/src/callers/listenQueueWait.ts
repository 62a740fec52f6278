/** How long the first request of a connection has waited in the listen queue together with it. */
import type { Clock, Millis } from '@fuchsiaworks/kernel'
import { afterNextPoll } from './nextPoll.js'

/**
 * Wait of the bytes that are read in the first poll of a connection. A caller sends its first request as soon as the connection is established, so
 * that these bytes are as old as the connection; bytes that are read later may have just been sent.
 */
export class ListenQueueWait {
  readonly #clock: Clock
  #queuedAt: Millis | undefined

  /**
   * @param clock - source of time
   * @param waitedMs - time for which the connection waited at least; 0 for unknown
   */
  constructor (clock: Clock, waitedMs: Millis) {
    this.#clock = clock
    if (waitedMs <= 0) return
    this.#queuedAt = clock.now() - waitedMs
    afterNextPoll(() => { this.#queuedAt = undefined })
  }

  /** Time for which bytes that are read now have waited at least. */
  get ms (): Millis {
    return this.#queuedAt === undefined ? 0 : this.#clock.now() - this.#queuedAt
  }
}
