/** A clock for tests that moves only when told to. */
import type { Clock, Millis, Timer } from './clock.js'

interface Entry {
  due: Millis
  order: number
  period: Millis | undefined
  run: () => void
}

/** Clock whose time is set by the test; timers run in order of their due time. */
export class ManualClock implements Clock {
  #now: Millis
  #order = 0
  readonly #entries = new Set<Entry>()

  /** @param start - first reading, in milliseconds */
  constructor (start: Millis = 0) {
    this.#now = start
  }

  now = (): Millis => this.#now
  wall = (): Millis => this.#now
  after = (delay: Millis, run: () => void): Timer => this.#add(delay, undefined, run)
  every = (period: Millis, run: () => void): Timer => this.#add(period, period, run)

  /**
   * Moves time on and runs each timer that falls due on the way.
   *
   * @param span - milliseconds to move
   */
  advance (span: Millis): void {
    const end = this.#now + span
    for (let next = this.#next(end); next !== undefined; next = this.#next(end)) this.#fire(next)
    this.#now = end
  }

  /**
   * Moves time on without running timers, as for a process that was stopped.
   *
   * @param span - milliseconds to skip
   */
  skip (span: Millis): void {
    this.#now += span
  }

  #add (delay: Millis, period: Millis | undefined, run: () => void): Timer {
    const entry: Entry = { due: this.#now + delay, order: this.#order++, period, run }
    this.#entries.add(entry)
    return { close: () => { this.#entries.delete(entry) } }
  }

  #next (end: Millis): Entry | undefined {
    const due = [...this.#entries].filter(entry => entry.due <= end)
    return due.sort((a, b) => a.due - b.due || a.order - b.order)[0]
  }

  #fire (entry: Entry): void {
    this.#now = Math.max(this.#now, entry.due)
    if (entry.period === undefined) this.#entries.delete(entry)
    else entry.due = this.#now + entry.period
    entry.run()
  }
}
