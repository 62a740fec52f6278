/** A clock that also counts the time for which the host was suspended, which the monotonic clock leaves out. */
import type { Clock, Millis } from './clock.js'

/** Milliseconds between two readings of both clocks by which the wall clock must gain to count as a suspension. */
const SUSPENSION_THRESHOLD_MS: Millis = 50

/**
 * Counts monotonic time and each leap ahead of the wall clock. A step of the time of day ahead counts as a suspension too,
 * and one back is ignored: an age by this clock is never too small for either.
 */
export class SuspendClock {
  #wallOffset: Millis
  #suspendedMs: Millis = 0

  /** @param clock - source of both readings */
  constructor (readonly clock: Clock) {
    this.#wallOffset = this.#readWallOffset()
  }

  /** @returns milliseconds since an arbitrary start, suspended time included */
  now (): Millis {
    const wallOffset = this.#readWallOffset()
    const wallGain = wallOffset - this.#wallOffset
    if (wallGain > SUSPENSION_THRESHOLD_MS) this.#suspendedMs += wallGain
    this.#wallOffset = wallOffset
    return this.clock.now() + this.#suspendedMs
  }

  #readWallOffset (): Millis {
    return this.clock.wall() - this.clock.now()
  }
}
