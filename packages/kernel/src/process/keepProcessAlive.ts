/** Keeps the event loop alive, since the timers of the clock are unreferenced and a process may temporarily have no open socket. */

/** Interval of the no-op timer; any value works, a long one avoids wake-ups. */
const TIMER_INTERVAL_MS = 2 ** 30

/**
 * Keeps the process alive until the returned handle is closed.
 *
 * @returns handle that releases the process
 */
export const keepProcessAlive = (): { close: () => void } => {
  const timer = setInterval(() => {}, TIMER_INTERVAL_MS)
  return { close: () => { clearInterval(timer) } }
}
