/** Samples the share of slots that are idle although requests are queued for them. */

/** State of the slots at the time of a sample. */
export interface SlotSample {
  readonly limit: number
  readonly running: number
  /** True when a router has queued requests that this agent has not pulled, or a pull is outstanding. */
  readonly hasDemand: boolean
}

/** Sums of the samples since the last report. */
export class IdleMeter {
  #slotSum = 0
  #idleSum = 0

  /** Adds a sample; without queued requests it is ignored. */
  addSample ({ limit, running, hasDemand }: SlotSample): void {
    if (!hasDemand) return
    this.#slotSum += limit
    this.#idleSum += Math.max(0, limit - running)
  }

  /** @returns the idle share since the last call, from 0 to 1; undefined when no requests were queued */
  takeIdleShare (): number | undefined {
    const share = this.#slotSum === 0 ? undefined : this.#idleSum / this.#slotSum
    this.#slotSum = 0
    this.#idleSum = 0
    return share
  }
}
