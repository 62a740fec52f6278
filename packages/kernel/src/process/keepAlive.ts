/** Keeps the event loop alive: the timers of the clock do not, and a process may have no open socket for a while. */

/** Milliseconds of the idle timer; its length does not matter. */
const IDLE_MS = 2 ** 30

/**
 * Keeps the process alive until closed.
 *
 * @returns a handle that lets it end
 */
export const keepProcessAlive = (): { close: () => void } => {
  const timer = setInterval(() => {}, IDLE_MS)
  return { close: () => { clearInterval(timer) } }
}
