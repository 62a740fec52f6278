/** Time that requests of a route take from their start at an upstream. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Weight of a new measurement. */
const MEASUREMENT_WEIGHT = 0.1

/** Mean and mean deviation of a time, as moving averages. */
class TimeAverage {
  #mean: Millis | undefined
  #deviation: Millis = 0

  record (ms: Millis): void {
    const mean = this.#mean ?? ms
    this.#deviation += (Math.abs(ms - mean) - this.#deviation) * MEASUREMENT_WEIGHT
    this.#mean = mean + (ms - mean) * MEASUREMENT_WEIGHT
  }

  /** Upper estimate: the mean and its deviation; 0 before the first measurement. */
  get upper (): Millis {
    return (this.#mean ?? 0) + this.#deviation
  }
}

/** Measured times of one route. */
export class ServiceTime {
  readonly #first = new TimeAverage()
  readonly #total = new TimeAverage()

  record (firstByteMs: Millis, totalMs: Millis): void {
    this.#first.record(firstByteMs)
    this.#total.record(totalMs)
  }

  /** Expected time until the first byte. */
  get firstByteMs (): Millis {
    return this.#first.upper
  }

  /** Expected time until the response is complete. */
  get totalMs (): Millis {
    return this.#total.upper
  }
}
