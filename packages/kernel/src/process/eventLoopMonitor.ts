/** Measures how busy the event loop of the process is. */
import { performance } from 'node:perf_hooks'
import type { Clock, Millis, Timer } from '../clock/clock.js'

/** Interval of the timer whose lateness is measured. */
const LATENESS_CHECK_INTERVAL_MS: Millis = 100

/** Load of the event loop between two samples. */
export interface EventLoopLoad {
  /** Share of the time in which the loop did not wait for events, from 0 to 1; time in which the process got no processor counts as busy. */
  readonly utilization: number
  /** Largest lateness of a timer. */
  readonly maxDelayMs: Millis
}

/** Measures the event loop until closed. */
export class EventLoopMonitor {
  readonly #clock: Clock
  readonly #timer: Timer
  #last = performance.eventLoopUtilization()
  #expectedAt: Millis
  #maxDelayMs: Millis = 0

  /** @param clock - source of time */
  constructor (clock: Clock) {
    this.#clock = clock
    this.#expectedAt = clock.now() + LATENESS_CHECK_INTERVAL_MS
    this.#timer = clock.every(LATENESS_CHECK_INTERVAL_MS, () => { this.#checkLateness() })
  }

  /** Returns the load since the last sample and starts a new one. */
  takeSample (): EventLoopLoad {
    const current = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(current, this.#last)
    this.#last = current
    const sample = { utilization, maxDelayMs: Math.max(this.#maxDelayMs, this.#clock.now() - this.#expectedAt, 0) }
    this.#maxDelayMs = 0
    return sample
  }

  close (): void {
    this.#timer.close()
  }

  #checkLateness (): void {
    const now = this.#clock.now()
    this.#maxDelayMs = Math.max(this.#maxDelayMs, now - this.#expectedAt)
    this.#expectedAt = now + LATENESS_CHECK_INTERVAL_MS
  }
}
