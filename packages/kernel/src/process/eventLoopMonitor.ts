/** Measures how busy the event loop of the process is. */
import { performance } from 'node:perf_hooks'
import type { Clock, Millis, Timer } from '../clock/clock.js'

/** Interval of the measurements; a timer that fires later than this is late by the difference. */
const TICK_MS: Millis = 100

/** Weight of the newest measurement in the smoothed utilization: load that rises is to be answered at once. */
const SMOOTHING = { rise: 0.8, fall: 0.3 } as const

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
  #sampleStart = performance.eventLoopUtilization()
  #tickStart = this.#sampleStart
  #expectedAt: Millis
  #maxDelayMs: Millis = 0
  #recentUtilization = 0

  /**
   * @param clock - source of time
   * @param onTick - called after each measurement, ten times a second unless the loop is late
   */
  constructor (clock: Clock, onTick: () => void = () => {}) {
    this.#clock = clock
    this.#expectedAt = clock.now() + TICK_MS
    this.#timer = clock.every(TICK_MS, () => {
      this.#tick()
      onTick()
    })
  }

  /** Utilization over the last few tenths of a second. */
  get recentUtilization (): number {
    return this.#recentUtilization
  }

  /** Returns the load since the last sample and starts a new one. */
  takeSample (): EventLoopLoad {
    const current = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(current, this.#sampleStart)
    this.#sampleStart = current
    const sample = { utilization, maxDelayMs: Math.max(this.#maxDelayMs, this.#clock.now() - this.#expectedAt, 0) }
    this.#maxDelayMs = 0
    return sample
  }

  close (): void {
    this.#timer.close()
  }

  #tick (): void {
    const now = this.#clock.now()
    this.#maxDelayMs = Math.max(this.#maxDelayMs, now - this.#expectedAt)
    this.#expectedAt = now + TICK_MS
    const current = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(current, this.#tickStart)
    this.#tickStart = current
    const change = utilization - this.#recentUtilization
    this.#recentUtilization += change * (change > 0 ? SMOOTHING.rise : SMOOTHING.fall)
  }
}
