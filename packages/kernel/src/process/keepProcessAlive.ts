/** Keeps the event loop alive, since the timers of the clock are unreferenced and a process may temporarily have no open socket. */

/** Interval of the no-op timer; long to avoid wake-ups, but below 2 ** 31, from which on Node.js uses 1 ms instead. */
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
