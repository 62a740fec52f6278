/** Estimates how long a unit of work takes at one machine, separate from its momentary slowness. */
import { clamp, type Millis } from '@fuchsiaworks/kernel'

/** Weight of a new measurement in the averages; the first measurements count equally. */
const MEASUREMENT_WEIGHT = 0.02

/** Factor by which earlier measurements count less in the relation between reported and measured slowness: some hundred requests. */
const RELATION_DECAY = 0.99

/** Weight of the assumption that measured times follow the reported slowness: that of some three measurements in a slow phase. */
const PRIOR_RELATION = 0.3

/** Measurements from which the measured time and the reported slowness have their full weight; a single one is often an outlier. */
const TRUSTED_MEASUREMENTS = 5

/** Time without a measurement within which the estimate loses its weight, so that a machine that was slow is tried again. */
const ESTIMATE_VALID_MS: Millis = 60_000

/**
 * Linear regression of the logarithm of the measured time on the logarithm of the reported slowness. A machine that always reports
 * the same has no slope, and one whose reports do not agree with the measured times has one close to 0.
 */
export class WorkTime {
  #measurements = 0
  #measuredAt: Millis = -Infinity
  #meanLogMs = 0
  #meanLogSlowness = 0
  /** These two follow from the averages and are read for each candidate of each placement. */
  #usualMs: Millis = 1
  #trust = 0
  #covariance = 0
  #variance = 0

  /**
   * Adds a measurement.
   *
   * @param unitMs - measured time of a unit of work, above 0
   * @param logSlowness - natural logarithm of the slowness reported at that time; undefined when it is not known
   */
  add (unitMs: Millis, logSlowness: number | undefined, now: Millis): void {
    if (now - this.#measuredAt > ESTIMATE_VALID_MS) this.#measurements = 0
    this.#measurements += 1
    this.#measuredAt = now
    const weight = Math.max(MEASUREMENT_WEIGHT, 1 / this.#measurements)
    const slowness = logSlowness ?? this.#meanLogSlowness
    // Both means move by the same weight, so a slow phase that is reported does not change the time expected at a given slowness.
    const deviation = Math.log(unitMs) - this.#meanLogMs
    const slownessDeviation = slowness - this.#meanLogSlowness
    if (this.#measurements > 1) {
      this.#covariance = this.#covariance * RELATION_DECAY + slownessDeviation * deviation
      this.#variance = this.#variance * RELATION_DECAY + slownessDeviation ** 2
    }
    this.#meanLogMs += deviation * weight
    this.#meanLogSlowness += slownessDeviation * weight
    this.#usualMs = Math.exp(this.#meanLogMs)
    const slope = (this.#covariance + PRIOR_RELATION) / (this.#variance + PRIOR_RELATION)
    this.#trust = clamp(slope, 0, 1) * this.#measuredPart
  }

  /** @returns milliseconds for a unit of work at the usual slowness; undefined when it was not measured recently */
  usualMs (now: Millis): Millis | undefined {
    return this.#measurements === 0 || now - this.#measuredAt > ESTIMATE_VALID_MS ? undefined : this.#usualMs
  }

  /**
   * Expects the time of a unit of work at the usual slowness.
   *
   * @param assumedMs - time that is assumed to the extent that the machine was measured too seldom or too long ago
   */
  expectedMs (assumedMs: Millis, now: Millis): Millis {
    const weight = clamp(1 - (now - this.#measuredAt) / ESTIMATE_VALID_MS, 0, 1) * this.#measuredPart
    // An average of speeds rather than times, so that a single outlier has a small effect.
    return weight === 0 ? assumedMs : 1 / (weight / this.#usualMs + (1 - weight) / assumedMs)
  }

  /** Natural logarithm of the slowness that the machine usually reports. */
  get usualLogSlowness (): number {
    return this.#meanLogSlowness
  }

  get #measuredPart (): number {
    return Math.min(1, this.#measurements / TRUSTED_MEASUREMENTS)
  }

  /** @returns the factor by which work takes longer than usual, for a part (0 to 1) of the reported slowness that still holds */
  slowness (logSlowness: number, freshness: number): number {
    if (freshness <= 0) return 1
    return Math.exp(this.#trust * freshness * (logSlowness - this.#meanLogSlowness))
  }
}
