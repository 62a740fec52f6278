/** Notices that the process was stopped, or its loop was blocked, by the lateness of a periodic timer. */
import type { Clock, Millis, Timer } from './clock.js'

/** Milliseconds between two checks. */
const CHECK_INTERVAL_MS = 100

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
  let lastCheckAt = clock.now()
  return clock.every(CHECK_INTERVAL_MS, () => {
    const now = clock.now()
    const lateness = now - lastCheckAt - CHECK_INTERVAL_MS
    lastCheckAt = now
    if (lateness >= PAUSE_THRESHOLD_MS) onPause(lateness)
  })
}
