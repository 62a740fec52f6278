/** A fake clock for tests; its time advances only by calls of the test. */
import type { Clock, Millis, Timer } from './clock.js'

interface ScheduledTimer {
  dueAt: Millis
  sequence: number
  period: Millis | undefined
  run: () => void
}

/** Clock whose time is set by the test; due timers run in order of due time, then of creation. */
export class ManualClock implements Clock {
  #now: Millis
  #nextSequence = 0
  readonly #timers = new Set<ScheduledTimer>()

  /** @param start - first reading, in milliseconds */
  constructor (start: Millis = 0) {
    this.#now = start
  }

  now = (): Millis => this.#now
  wall = (): Millis => this.#now
  after = (delay: Millis, run: () => void): Timer => this.#schedule(delay, undefined, run)
  every = (period: Millis, run: () => void): Timer => this.#schedule(period, period, run)

  /**
   * Advances the clock and runs every timer that becomes due, each at its due time.
   *
   * @param span - milliseconds to advance
   */
  advance (span: Millis): void {
    const end = this.#now + span
    for (let next = this.#findNextDue(end); next !== undefined; next = this.#findNextDue(end)) this.#fire(next)
    this.#now = end
  }

  /**
   * Advances the clock without running timers, which simulates a process that was stopped.
   *
   * @param span - milliseconds to skip
   */
  skip (span: Millis): void {
    this.#now += span
  }

  #schedule (delay: Millis, period: Millis | undefined, run: () => void): Timer {
    const timer: ScheduledTimer = { dueAt: this.#now + delay, sequence: this.#nextSequence++, period, run }
    this.#timers.add(timer)
    return { close: () => { this.#timers.delete(timer) } }
  }

  #findNextDue (end: Millis): ScheduledTimer | undefined {
    const due = [...this.#timers].filter(timer => timer.dueAt <= end)
    return due.sort((a, b) => a.dueAt - b.dueAt || a.sequence - b.sequence)[0]
  }

  #fire (timer: ScheduledTimer): void {
    this.#now = Math.max(this.#now, timer.dueAt)
    if (timer.period === undefined) this.#timers.delete(timer)
    else timer.dueAt = this.#now + timer.period
    timer.run()
  }
}
