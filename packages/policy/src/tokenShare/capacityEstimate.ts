/**
 * Estimate of what the upstreams process, learned from the time in which all of them are full. Refusals are no input: what is not
 * admitted shows only as upstreams that have room, and such time is not counted.
 */
import type { Millis } from '@fuchsiaworks/kernel'

/** Mean load of the least loaded upstream from which all count as full; below it workspaces beyond their share are admitted as well. */
const FULL_LOAD = 0.7

/** Time with full upstreams, within the window, from which their rate is known; a shorter time depends on when requests happen to end. */
const MIN_FULL_MS: Millis = 1000

/**
 * Growth of the estimate in a second without full upstreams, as a part of it. Capacity that came back is noticed only when more is
 * admitted, and an estimate that is too high costs less than one that is too low.
 */
const GROWTH_PER_SECOND = 0.05

const SECOND_MS = 1000

/** What the upstreams process over a sliding window, and at which rate they did so while full. */
export class CapacityEstimate {
  readonly #processed: Float64Array
  readonly #isFull: boolean[]
  #bucket = 0
  /** Load of the least loaded upstream at the last decision of the current bucket; undefined before the first one. */
  #leastLoad: { readonly load: number, readonly at: Millis } | undefined
  /** Sum of the load in the current bucket by time, and the time since its first decision. */
  #loadSum = { loadMs: 0, ms: 0 }
  #perSecond: number | undefined

  /**
   * @param bucketMs - time in which upstreams either count as full or not
   * @param bucketCount - buckets of the window
   */
  constructor (readonly bucketMs: Millis, readonly bucketCount: number) {
    this.#processed = new Float64Array(bucketCount)
    this.#isFull = Array.from({ length: bucketCount }, () => false)
  }

  /** Records the load of the least loaded upstream at a decision; it counts until the next one. */
  recordLeastLoad (load: number, now: Millis): void {
    this.#advance(now)
    this.#addLoadUntil(now)
    this.#leastLoad = { load, at: now }
  }

  /** Records tokens that upstreams have processed. */
  recordProcessed (tokens: number, now: Millis): void {
    this.#advance(now)
    this.#processed[this.#bucket % this.bucketCount]! += tokens
  }

  /** @returns tokens that the upstreams process in a second, never less than they did in the window; undefined when they have not been full yet */
  perSecond (now: Millis): number | undefined {
    this.#advance(now)
    return this.#perSecond === undefined ? undefined : Math.max(this.#perSecond, this.processedPerSecond(now))
  }

  /** @returns tokens processed in a second, on average over the window; its oldest bucket has made room for the current one */
  processedPerSecond (now: Millis): number {
    this.#advance(now)
    const coveredMs = this.bucketMs * (this.bucketCount - 1) + now - this.#bucket * this.bucketMs
    return this.#processed.reduce((sum, tokens) => sum + tokens, 0) * SECOND_MS / coveredMs
  }

  #advance (now: Millis): void {
    const current = Math.floor(now / this.bucketMs)
    if (current - this.#bucket > this.bucketCount) this.#bucket = current - this.bucketCount
    for (; this.#bucket < current; this.#bucket++) {
      this.#closeBucket()
      const next = (this.#bucket + 1) % this.bucketCount
      this.#processed[next] = 0
      this.#isFull[next] = false
    }
  }

  #addLoadUntil (end: Millis): void {
    if (this.#leastLoad === undefined) return
    const ms = Math.max(0, end - this.#leastLoad.at)
    this.#loadSum = { loadMs: this.#loadSum.loadMs + this.#leastLoad.load * ms, ms: this.#loadSum.ms + ms }
  }

  /** Ends the current bucket. One without a decision counts as not full. */
  #closeBucket (): void {
    this.#addLoadUntil((this.#bucket + 1) * this.bucketMs)
    const { loadMs, ms } = this.#loadSum
    const isFull = ms > 0 && loadMs >= FULL_LOAD * ms
    this.#isFull[this.#bucket % this.bucketCount] = isFull
    this.#leastLoad = undefined
    this.#loadSum = { loadMs: 0, ms: 0 }
    if (!isFull) {
      if (this.#perSecond !== undefined) this.#perSecond *= 1 + GROWTH_PER_SECOND * this.bucketMs / SECOND_MS
      return
    }
    const fullMs = this.#isFull.filter(Boolean).length * this.bucketMs
    if (fullMs < MIN_FULL_MS) return
    this.#perSecond = this.#processed.reduce((sum, tokens, at) => sum + (this.#isFull[at] === true ? tokens : 0), 0) * SECOND_MS / fullMs
  }
}
