/** Detects that the process was stopped or its event loop was blocked, by the lateness of a periodic timer. */
import type { Clock, Millis, Timer } from './clock.js'

const CHECK_INTERVAL_MS = 100

/** Minimum lateness of a check that counts as a pause. */
const PAUSE_THRESHOLD_MS = 500

/**
 * Starts a periodic check for pauses of the process.
 *
 * @param clock - source of time
 * @param onPause - called after each pause with its length in milliseconds
 * @returns timer that stops the checks when closed
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
