/** Clock interface through which all code reads time, so that tests can replace it; times are in milliseconds. */

/** A duration or a reading of a clock, in milliseconds. */
export type Millis = number

/** Handle of a scheduled callback. */
export interface Timer {
  /** Cancels the callback; for one-shot timers a no-op after it has run. */
  close: () => void
}

/** Source of time and timers. Policy code receives readings as arguments; only services hold a clock. */
export interface Clock {
  /** Monotonic reading in milliseconds; it continues to advance while the process is stopped, but not while the host is suspended. */
  now: () => Millis
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wall: () => Millis
  /** Calls `run` once after `delay` milliseconds, or after the longest delay of a timer if that is shorter. */
  after: (delay: Millis, run: () => void) => Timer
  /** Calls `run` every `period` milliseconds until the timer is closed. */
  every: (period: Millis, run: () => void) => Timer
}

/** Longest delay of a timer of Node.js, 24.8 days; it takes a longer one for a millisecond. */
const MAX_DELAY_MS: Millis = 2 ** 31 - 1

/** Clock of the running process. Its timers are unreferenced, so they do not keep the process alive. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after: (delay, run) => {
    const handle = setTimeout(run, Math.min(delay, MAX_DELAY_MS))
    handle.unref()
    return { close: () => { clearTimeout(handle) } }
  },
  every: (period, run) => {
    const handle = setInterval(run, Math.min(period, MAX_DELAY_MS))
    handle.unref()
    return { close: () => { clearInterval(handle) } }
  }
}
