/** A monotonic clock that includes the time during which the host was suspended, like CLOCK_BOOTTIME; `performance.now()` omits it. */
import type { Clock, Millis } from './clock.js'

/** Gain of the wall clock over the monotonic clock between two readings above which a suspension is assumed. */
const SUSPENSION_THRESHOLD_MS: Millis = 50

/**
 * Adds to the monotonic time every forward jump of the wall clock. A forward step of the wall clock is indistinguishable from
 * a suspension and counts as one; a backward step is ignored. Ages by this clock may therefore be too large. They are too small
 * only when a suspension is shorter than the threshold, or when the wall clock is set back between the same two readings.
 */
export class SuspendClock {
  #wallOffset: Millis
  #suspendedMs: Millis = 0

  /** @param clock - source of the monotonic and the wall-clock readings */
  constructor (readonly clock: Clock) {
    this.#wallOffset = this.#readWallOffset()
  }

  /** @returns milliseconds since an arbitrary origin, including suspended time */
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
