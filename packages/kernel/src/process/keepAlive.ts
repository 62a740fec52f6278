/** Keeps the event loop alive: the timers of the clock do not, and a process may have no open socket for a while. */

/** Milliseconds of the idle timer; its length does not matter. */
const TIMER_INTERVAL_MS = 2 ** 30

/**
 * Keeps the process alive until closed.
 *
 * @returns a handle that lets it end
 */
export const keepAlive = (): { close: () => void } => {
  const timer = setInterval(() => {}, TIMER_INTERVAL_MS)
  return { close: () => { clearInterval(timer) } }
}
