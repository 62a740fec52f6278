/** Requests that this router may still send to each cold upstream. */
import { getOrMake, type Millis, type UpstreamId } from '@fuchsiaworks/kernel'

interface Bucket {
  tokens: number
  filledAt: Millis
}

/** Requests that may be sent at once after a pause. */
const BURST = 2

/** Token buckets by upstream. */
export class ColdPaceDb {
  readonly #buckets = new Map<UpstreamId, Bucket>()

  /** @returns true when at least one request may be sent now */
  hasToken (upstream: UpstreamId, perSecond: number, now: Millis): boolean {
    return this.#fill(upstream, perSecond, now).tokens >= 1
  }

  /** Counts a request that is sent. */
  takeToken (upstream: UpstreamId, perSecond: number, now: Millis): void {
    this.#fill(upstream, perSecond, now).tokens -= 1
  }

  /** Forgets upstreams that are gone. */
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
