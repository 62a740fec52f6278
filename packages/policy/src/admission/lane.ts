/** Requests of one workspace for one service that the same upstreams may run, in order of arrival. */
import type { Millis, RequestId, UpstreamId } from '@fuchsiaworks/kernel'
import { DrainRate } from './drainRate.js'
import type { WaitingRequest } from './admissionTypes.js'

/** First in, first out, with the rate at which it drains. */
export class Lane {
  readonly drainRate = new DrainRate()
  #waiting = new Map<RequestId, WaitingRequest>()
  #lastOrder = 0

  get size (): number { return this.#waiting.size }

  /** The oldest request. */
  get oldest (): WaitingRequest | undefined {
    return this.#waiting.values().next().value
  }

  /** @returns the oldest request that did not fail at the upstream before */
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

  /** Moves the drain rate on to a reading. */
  advance (now: Millis): void {
    this.drainRate.advance(now, this.size > 0)
  }

  /** Puts a request in its place by order of arrival. */
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
