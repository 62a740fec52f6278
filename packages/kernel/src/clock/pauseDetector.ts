/** Notices that the process was stopped, or its loop was blocked, by the lateness of a periodic timer. */
import type { Clock, Millis, Timer } from './clock.js'

/** Milliseconds between two checks. */
const CHECK_PERIOD_MS = 100

/** Lateness in milliseconds from which a gap counts as a pause. */
const PAUSE_THRESHOLD_MS = 500

/**
 * Watches for pauses of the process.
 *
 * @param clock - source of time
 * @param onPause - called once after each pause with its length in milliseconds
 * @returns a handle that ends the watch
 */
export const watchPauses = (clock: Clock, onPause: (length: Millis) => void): Timer => {
  let last = clock.now()
  return clock.every(CHECK_PERIOD_MS, () => {
    const now = clock.now()
    const late = now - last - CHECK_PERIOD_MS
    last = now
    if (late >= PAUSE_THRESHOLD_MS) onPause(late)
  })
}
