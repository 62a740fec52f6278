/** Tokens asked for and served by workspace over a sliding window, summed over the fleet. */
import { getOrMake, type Millis, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { PeerId } from '../placement/placementTypes.js'
import { maxMinShares } from './maxMin.js'
import type { TokenShareConfig, TokenTotals } from './tokenShareTypes.js'

/** Buckets of a window; the sums lag by at most one bucket. */
const BUCKETS = 16

interface MutableTotals {
  requested: number
  served: number
}

/** Sums of one workspace over the last window. */
class SlidingTotals {
  readonly #asked = new Float64Array(BUCKETS)
  readonly #served = new Float64Array(BUCKETS)
  asked = 0
  served = 0

  add (bucket: number, asked: number, served: number): void {
    this.#asked[bucket]! += asked
    this.#served[bucket]! += served
    this.asked += asked
    this.served += served
  }

  clear (bucket: number): void {
    this.asked -= this.#asked[bucket]!
    this.served -= this.#served[bucket]!
    this.#asked[bucket] = 0
    this.#served[bucket] = 0
  }
}

/** State of the sharing, and the only functions that change it. */
export class TokenShareDb {
  readonly #windows = new Map<WorkspaceId, SlidingTotals>()
  readonly #own = new Map<WorkspaceId, MutableTotals>()
  readonly #remote = new Map<PeerId, Map<WorkspaceId, TokenTotals>>()
  readonly #bucketMs: Millis
  #bucket = 0
  #shares: { at: Millis, byWorkspace: Map<WorkspaceId, number> } = { at: -Infinity, byWorkspace: new Map() }
  /** Tokens that all upstreams together produce in a second; undefined when the configuration does not say. */
  capacityPerSecond: number | undefined

  /** @param config - span of the window */
  constructor (readonly config: TokenShareConfig) {
    this.#bucketMs = config.windowMs / BUCKETS
  }

  /** Notes that a request arrived at this process. */
  recordRequested (workspace: WorkspaceId, tokens: number, now: Millis): void {
    this.#addOwn(workspace, tokens, 0, now)
  }

  /** Notes that a request was sent, or with negative tokens that it did not run after all. */
  recordServed (workspace: WorkspaceId, tokens: number, now: Millis): void {
    this.#addOwn(workspace, 0, tokens, now)
  }

  /** @returns totals of this process since its start, for other processes */
  ownTotals (): ReadonlyMap<WorkspaceId, TokenTotals> {
    return this.#own
  }

  /**
   * Takes the totals of another process. What has been added since its last totals counts as happening now; the first
   * totals only set the start, as nothing says when they were added.
   */
  setPeerTotals (peer: PeerId, totals: ReadonlyMap<WorkspaceId, TokenTotals>, now: Millis): void {
    this.#advance(now)
    const before = this.#remote.get(peer)
    if (before !== undefined) {
      for (const [workspace, { requested: asked, served }] of totals) {
        const old = before.get(workspace) ?? { requested: 0, served: 0 }
        this.#window(workspace).add(this.#bucket % BUCKETS, asked - old.requested, served - old.served)
      }
    }
    this.#remote.set(peer, new Map([...before ?? [], ...totals]))
  }

  removePeer (peer: PeerId): void {
    this.#remote.delete(peer)
  }

  /** @returns tokens asked for and served in the last window, fleet-wide */
  totals (workspace: WorkspaceId, now: Millis): TokenTotals {
    this.#advance(now)
    const window = this.#windows.get(workspace)
    return { requested: window?.asked ?? 0, served: window?.served ?? 0 }
  }

  /**
   * Works out the max-min fair share of a workspace over one window. Without a configured capacity, what was served of
   * late stands for it.
   *
   * @returns tokens; at least an even part of the capacity, since a workspace that asks for less may ask for more
   */
  share (workspace: WorkspaceId, now: Millis): number {
    this.#advance(now)
    if (now - this.#shares.at >= this.#bucketMs) this.#shares = { at: now, byWorkspace: this.#computeShares() }
    return this.#shares.byWorkspace.get(workspace) ?? this.#capacity() / Math.max(1, this.#windows.size)
  }

  #capacity (): number {
    if (this.capacityPerSecond !== undefined) return this.capacityPerSecond * this.config.windowMs / 1000
    let served = 0
    for (const window of this.#windows.values()) served += window.served
    return served
  }

  #computeShares (): Map<WorkspaceId, number> {
    const demands = [...this.#windows].map(([workspace, { asked }]) => ({ key: workspace, demand: asked }))
    return maxMinShares(demands, this.#capacity())
  }

  #addOwn (workspace: WorkspaceId, asked: number, served: number, now: Millis): void {
    this.#advance(now)
    const own = getOrMake(this.#own, workspace, () => ({ requested: 0, served: 0 }))
    own.requested += asked
    own.served += served
    this.#window(workspace).add(this.#bucket % BUCKETS, asked, served)
  }

  #window (workspace: WorkspaceId): SlidingTotals {
    return getOrMake(this.#windows, workspace, () => new SlidingTotals())
  }

  #advance (now: Millis): void {
    const current = Math.floor(now / this.#bucketMs)
    const steps = Math.min(BUCKETS, current - this.#bucket)
    for (let step = 0; step < steps; step++) {
      const expired = (current - step) % BUCKETS
      for (const window of this.#windows.values()) window.clear(expired)
    }
    this.#bucket = Math.max(this.#bucket, current)
  }
}
