/** What one upstream has reported of its load, and the speed of its machine. */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import type { InstanceLoad, InstanceProcess, SlownessReport, WorkEstimate } from './instanceLoadTypes.js'
import { WorkTime } from './workTime.js'

/** Age at which a reported slowness no longer counts: slow phases last for some 600 ms. */
const SLOWNESS_VALID_MS: Millis = 600

/** Age at which reported counts no longer count. The requests of unreachable gateways change more slowly than the slowness of a machine. */
const COUNTS_VALID_MS: Millis = 2000

/** Time without a PERCENT after which the upstream counts as one that reports none. */
const REPORTS_PERCENT_MS: Millis = 60_000

/** Bounds of the reported slowness, so that a forged figure has a bounded effect until it has lost its weight. */
const SLOWNESS_RANGE = { min: 0.25, max: 8 } as const

/** Weight of a new report in the average of the requests of unreachable gateways. */
const COUNTS_WEIGHT = 0.25

/** Difference from what peer gateways assume from which a report is sent to them. */
const SHARED_LOG_DIFFERENCE = Math.log(1.25)

const PERCENT = 100

const logSlownessOf = (workPercent: number): number => Math.log(clamp(workPercent / PERCENT, SLOWNESS_RANGE.min, SLOWNESS_RANGE.max))

/** State of one upstream. */
export class InstanceRecord {
  readonly #workTime = new WorkTime()
  /** Natural logarithm of the last reported slowness. */
  #logSlowness = 0
  #slownessAt: Millis = -Infinity
  #unaccountedRequests = 0
  #countsAt: Millis = -Infinity
  /** True when a rejected report of the upstream was logged. */
  hasLoggedRejection = false

  constructor (public process: InstanceProcess) {}

  /** Sets the process that the list names; a report of an earlier one no longer counts, but the machine is the same. */
  setProcess (process: InstanceProcess): void {
    if (process.startedAt !== this.process.startedAt) {
      this.#slownessAt = -Infinity
      this.#countsAt = -Infinity
    }
    this.process = process
  }

  /** @returns whether the upstream has reported a PERCENT recently */
  reportsPercent (now: Millis): boolean {
    return now - this.#slownessAt < REPORTS_PERCENT_MS
  }

  /**
   * Records a report that this gateway has received.
   *
   * @param knownRequests - requests at the upstream as known from this gateway and its peers
   * @returns the report to send to peer gateways; undefined when it is about what they assume
   */
  record (load: InstanceLoad, knownRequests: number, now: Millis): SlownessReport | undefined {
    const { workPercent } = load
    if (workPercent === undefined) return undefined
    const unaccounted = clamp(load.running + load.waiting - knownRequests, 0, load.slots)
    this.#unaccountedRequests += (unaccounted - this.#unaccountedRequests) * COUNTS_WEIGHT
    this.#countsAt = now
    const assumed = this.#workTime.usualLogSlowness + this.#freshness(now) * (this.#logSlowness - this.#workTime.usualLogSlowness)
    this.#logSlowness = logSlownessOf(workPercent)
    this.#slownessAt = now
    return Math.abs(this.#logSlowness - assumed) > SHARED_LOG_DIFFERENCE ? { upstream: this.process, workPercent, ageMs: 0 } : undefined
  }

  /** Applies a report that a peer gateway has received, unless a later one is known. */
  apply ({ workPercent, ageMs }: SlownessReport, now: Millis): void {
    const at = now - Math.max(0, ageMs)
    if (at <= this.#slownessAt) return
    this.#logSlowness = logSlownessOf(workPercent)
    this.#slownessAt = at
  }

  /** Records the measured time of a unit of work, together with the slowness reported at that time. */
  measure (unitMs: Millis, now: Millis): void {
    this.#workTime.add(unitMs, this.#freshness(now) > 0 ? this.#logSlowness : undefined, now)
  }

  /** @returns milliseconds for a unit of work at the usual slowness; undefined when it was not measured recently */
  usualMs (now: Millis): Millis | undefined {
    return this.#workTime.usualMs(now)
  }

  /**
   * Estimates how long work takes now.
   *
   * @param assumedMs - milliseconds for a unit of work to the extent that it was not measured recently
   */
  estimate (assumedMs: Millis, now: Millis): WorkEstimate {
    const slowness = this.#workTime.slowness(this.#logSlowness, this.#freshness(now))
    return { unitMs: this.#workTime.expectedMs(assumedMs, now) * slowness, slowness }
  }

  /** @returns milliseconds since the last report; infinite when there is none of this process */
  reportAgeMs (now: Millis): Millis {
    return now - this.#slownessAt
  }

  /** @returns requests at the upstream from unreachable gateways, by its reports */
  unaccountedRequests (now: Millis): number {
    return this.#unaccountedRequests * clamp(1 - (now - this.#countsAt) / COUNTS_VALID_MS, 0, 1)
  }

  #freshness (now: Millis): number {
    return clamp(1 - (now - this.#slownessAt) / SLOWNESS_VALID_MS, 0, 1)
  }
}
