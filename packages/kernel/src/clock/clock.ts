/** The one notion of time in the system: milliseconds from a clock that is handed in. */

/** A span of time or a reading of a monotonic clock, in milliseconds. */
export type Millis = number

/** A scheduled call that can be taken back. */
export interface Timer {
  /** Cancels the call. Does nothing when it has already run. */
  close: () => void
}

/** Source of time and of timers. Policy code gets readings only; services get the clock. */
export interface Clock {
  /** Monotonic reading in milliseconds; it goes on while the process is stopped. */
  now: () => Millis
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wall: () => Millis
  /** Calls `run` once, `delay` milliseconds from now. */
  after: (delay: Millis, run: () => void) => Timer
  /** Calls `run` every `period` milliseconds until closed. */
  every: (period: Millis, run: () => void) => Timer
}

/** The clock of the running process. Its timers do not keep the process alive. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after: (delay, run) => {
    const handle = setTimeout(run, delay)
    handle.unref()
    return { close: () => { clearTimeout(handle) } }
  },
  every: (period, run) => {
    const handle = setInterval(run, period)
    handle.unref()
    return { close: () => { clearInterval(handle) } }
  }
}
