/** Limits the processor time of a process, as a small host does: stops and continues it in turn. */
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'

/** Time in which the process runs once and is stopped once. */
const PERIOD_MS: Millis = 40

/** Throttles one process until closed. */
export class Throttle {
  readonly #timer: Timer
  #closed = false

  /**
   * @param clock - source of timers
   * @param signal - sends a signal to the process
   * @param share - share of the time in which the process may run, from 0 to 1
   */
  constructor (readonly clock: Clock, readonly signal: (name: NodeJS.Signals) => void, share: number) {
    this.#timer = clock.every(PERIOD_MS, () => { this.#runFor(PERIOD_MS * share) })
  }

  /** Lets the process run without a limit again. */
  close (): void {
    this.#closed = true
    this.#timer.close()
    this.signal('SIGCONT')
  }

  #runFor (length: Millis): void {
    this.signal('SIGCONT')
    this.clock.after(length, () => { if (!this.#closed) this.signal('SIGSTOP') })
  }
}
