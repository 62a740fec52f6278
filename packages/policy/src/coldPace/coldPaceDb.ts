/** Token buckets that limit the rate of requests from this router to cold upstreams. */
import { getOrMake, type Millis, type UpstreamId } from '@fuchsiaworks/kernel'

interface Bucket {
  tokens: number
  filledAt: Millis
}

/** Capacity of a bucket: requests that may be sent at once after an idle period. */
const BURST = 2

/** Token buckets by upstream. */
export class ColdPaceDb {
  readonly #buckets = new Map<UpstreamId, Bucket>()

  /** @returns true when at least one request may be sent now */
  hasToken (upstream: UpstreamId, perSecond: number, now: Millis): boolean {
    return this.#fill(upstream, perSecond, now).tokens >= 1
  }

  /** Takes the token of a request that is sent. */
  takeToken (upstream: UpstreamId, perSecond: number, now: Millis): void {
    this.#fill(upstream, perSecond, now).tokens -= 1
  }

  /** Removes the buckets of all other upstreams. */
  retainUpstreams (upstreams: ReadonlySet<UpstreamId>): void {
    for (const id of this.#buckets.keys()) if (!upstreams.has(id)) this.#buckets.delete(id)
  }

  #fill (upstream: UpstreamId, perSecond: number, now: Millis): Bucket {
    const bucket = getOrMake(this.#buckets, upstream, () => ({ tokens: 1, filledAt: now }))
    bucket.tokens = Math.min(BURST, bucket.tokens + (now - bucket.filledAt) * perSecond / 1000)
    bucket.filledAt = now
    return bucket
  }
}
