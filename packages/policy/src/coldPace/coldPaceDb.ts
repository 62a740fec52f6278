/** Token buckets that limit the rate of requests from this gateway to cold upstreams. */
import { getOrMake, type Millis, type UpstreamId } from '@fuchsiaworks/kernel'

interface Bucket {
  tokens: number
  refilledAt: Millis
}

/** Capacity of a bucket: requests that may be sent at once after an idle period. */
const BUCKET_CAPACITY = 2

/** Token buckets by upstream. */
export class ColdPaceDb {
  readonly #buckets = new Map<UpstreamId, Bucket>()

  /** @returns true when at least one request may be sent now */
  hasToken (upstream: UpstreamId, requestsPerSecond: number, now: Millis): boolean {
    return this.#refill(upstream, requestsPerSecond, now).tokens >= 1
  }

  /** Takes the token of a request that is sent. */
  takeToken (upstream: UpstreamId, requestsPerSecond: number, now: Millis): void {
    this.#refill(upstream, requestsPerSecond, now).tokens -= 1
  }

  /** Removes the buckets of all upstreams but the given ones. */
  retainUpstreams (upstreams: ReadonlySet<UpstreamId>): void {
    for (const id of this.#buckets.keys()) if (!upstreams.has(id)) this.#buckets.delete(id)
  }

  #refill (upstream: UpstreamId, requestsPerSecond: number, now: Millis): Bucket {
    const bucket = getOrMake(this.#buckets, upstream, () => ({ tokens: 1, refilledAt: now }))
    bucket.tokens = Math.min(BUCKET_CAPACITY, bucket.tokens + (now - bucket.refilledAt) * requestsPerSecond / 1000)
    bucket.refilledAt = now
    return bucket
  }
}
