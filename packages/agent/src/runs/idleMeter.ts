/** Measures the share of slot time that was idle while work waited, by samples. */

/** What one sample sees. */
export interface SlotSample {
  readonly limit: number
  readonly running: number
  /** True when some router offers work that this agent has not asked for, or a pull is under way. */
  readonly waiting: boolean
}

/** Sums of samples since the last report. */
export class IdleMeter {
  #slots = 0
  #idle = 0

  /** @param sample - state of the slots now */
  take ({ limit, running, waiting }: SlotSample): void {
    if (!waiting) return
    this.#slots += limit
    this.#idle += Math.max(0, limit - running)
  }

  /** @returns the share from 0 to 1 since the last call; undefined when no work waited */
  report (): number | undefined {
    const share = this.#slots === 0 ? undefined : this.#idle / this.#slots
    this.#slots = 0
    this.#idle = 0
    return share
  }
}
