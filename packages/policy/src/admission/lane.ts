/** Requests of one workspace for one service that the same upstreams may run, in order of arrival. */
import type { Millis, RequestId, UpstreamId } from '@fuchsiaworks/kernel'
import { DrainRate } from './drainRate.js'
import type { WaitingRequest } from './admissionTypes.js'

/** First-in, first-out queue that measures its drain rate. */
export class Lane {
  readonly drainRate = new DrainRate()
  #waiting = new Map<RequestId, WaitingRequest>()
  #lastOrder = 0

  get size (): number { return this.#waiting.size }

  /** The request that arrived first. */
  get oldest (): WaitingRequest | undefined {
    return this.#waiting.values().next().value
  }

  /** @returns the oldest request that has not failed at this upstream before */
  oldestFor (upstream: UpstreamId): WaitingRequest | undefined {
    for (const waiting of this.#waiting.values()) {
      if (waiting.avoid?.includes(upstream) !== true) return waiting
    }
    return undefined
  }

  /** @returns the requests, oldest first */
  requests (): WaitingRequest[] {
    return [...this.#waiting.values()]
  }

  /** Updates the drain rate for the time up to `now`. */
  advance (now: Millis): void {
    this.drainRate.advance(now, this.size > 0)
  }

  /** Inserts a request by order of arrival; a declined request returns to its old position. */
  insert (waiting: WaitingRequest, now: Millis): void {
    this.advance(now)
    this.#waiting.set(waiting.request, waiting)
    if (waiting.order < this.#lastOrder) this.#waiting = new Map([...this.#waiting].sort(([, a], [, b]) => a.order - b.order))
    this.#lastOrder = Math.max(this.#lastOrder, waiting.order)
  }

  remove (request: RequestId, now: Millis): void {
    this.advance(now)
    this.#waiting.delete(request)
  }
}
