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
  #slotSum = 0
  #idleSum = 0

  /** @param sample - state of the slots now */
  addSample ({ limit, running, waiting }: SlotSample): void {
    if (!waiting) return
    this.#slotSum += limit
    this.#idleSum += Math.max(0, limit - running)
  }

  /** @returns the share from 0 to 1 since the last call; undefined when no work waited */
  report (): number | undefined {
    const share = this.#slotSum === 0 ? undefined : this.#idleSum / this.#slotSum
    this.#slotSum = 0
    this.#idleSum = 0
    return share
  }
}
