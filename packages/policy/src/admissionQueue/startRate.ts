/** Rate at which a gateway can start work at a service, learned while requests wait. */
import type { Millis } from '@fuchsiaworks/kernel'

const BUCKET_MS: Millis = 50

/** Time with a backlog over which the rate is taken; it holds some tens of starts at one of many gateways, and capacity changes within seconds. */
const BACKLOG_WINDOW_MS: Millis = 3000

/** Weight of the rate before the backlog, as time: the first starts of a backlog are too few to tell the rate. */
const PRIOR_MS: Millis = 500

/** Age from which an observation is dropped: longer than the usual pause between two bursts. */
const MAX_AGE_MS: Millis = 15_000

/** Window of the rate of all starts, which stands in until the queue has had a backlog for long enough. */
const ALL_WINDOW_MS: Millis = 1000

interface Bucket {
  readonly startedAt: Millis
  units: number
  backlogUnits: number
  backlogMs: Millis
}

/** Learns the rate from starts and from the times at which the queue fills and empties. */
export class StartRate {
  readonly #buckets: Bucket[] = []
  #backlogSince: Millis | undefined
  #backlogStartedAt: Millis | undefined
  /** Rate at the beginning of the backlog; undefined when nothing had started recently. */
  #prior: number | undefined

  /** Records that work has started at an upstream. */
  recordStart (units: number, now: Millis): void {
    const bucket = this.#bucket(now)
    bucket.units += units
    if (this.#backlogSince !== undefined) bucket.backlogUnits += units
  }

  /** Records whether requests wait from now on. */
  setBacklog (hasBacklog: boolean, now: Millis): void {
    this.#settle(now)
    if (hasBacklog) this.#prior = this.#rateOfAll(now)
    this.#backlogSince = hasBacklog ? now : undefined
    this.#backlogStartedAt = hasBacklog ? now : undefined
  }

  /** @returns how long requests have waited without a pause */
  backlogMs (now: Millis): Millis {
    return this.#backlogStartedAt === undefined ? 0 : now - this.#backlogStartedAt
  }

  /** @returns units per millisecond; undefined when nothing has started recently */
  rate (now: Millis): number | undefined {
    this.#settle(now)
    let [units, backlogMs] = [0, 0]
    for (let at = this.#buckets.length - 1; at >= 0 && backlogMs < BACKLOG_WINDOW_MS; at--) {
      units += this.#buckets[at]!.backlogUnits
      backlogMs += this.#buckets[at]!.backlogMs
    }
    if (backlogMs === 0) return this.#rateOfAll(now)
    if (this.#prior === undefined) return backlogMs < PRIOR_MS ? this.#rateOfAll(now) : units / backlogMs
    return (units + this.#prior * PRIOR_MS) / (backlogMs + PRIOR_MS)
  }

  #rateOfAll (now: Millis): number | undefined {
    const all = this.#buckets.reduce((sum, bucket) => bucket.startedAt > now - ALL_WINDOW_MS ? sum + bucket.units : sum, 0)
    return all > 0 ? all / ALL_WINDOW_MS : undefined
  }

  #settle (now: Millis): void {
    if (this.#backlogSince === undefined) return
    this.#bucket(now).backlogMs += now - this.#backlogSince
    this.#backlogSince = now
  }

  #bucket (now: Millis): Bucket {
    const last = this.#buckets.at(-1)
    if (last !== undefined && now - last.startedAt < BUCKET_MS) return last
    const bucket = { startedAt: now, units: 0, backlogUnits: 0, backlogMs: 0 }
    this.#buckets.push(bucket)
    while (this.#buckets[0]!.startedAt < now - MAX_AGE_MS) this.#buckets.shift()
    return bucket
  }
}
