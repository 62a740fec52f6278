/** Tokens requested and served by workspace over a sliding window, summed over the fleet. */
import { getOrMake, type Millis, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { PeerId } from '../placement/placementTypes.js'
import { CapacityEstimate } from './capacityEstimate.js'
import { maxMinShares } from './maxMin.js'
import type { TokenShareConfig, TokenTotals, WorkspaceShare } from './tokenShareTypes.js'

/** Buckets of the window; tokens expire up to one bucket early. */
const BUCKET_COUNT = 16

const SECOND_MS = 1000

interface MutableTotals {
  requested: number
  served: number
}

/** Tokens of one workspace over the sliding window. */
class SlidingTotals {
  readonly #requested = new Float64Array(BUCKET_COUNT)
  readonly #served = new Float64Array(BUCKET_COUNT)
  requested = 0
  served = 0

  add (bucket: number, requested: number, served: number): void {
    this.#requested[bucket]! += requested
    this.#served[bucket]! += served
    this.requested += requested
    this.served += served
  }

  clear (bucket: number): void {
    this.requested -= this.#requested[bucket]!
    this.served -= this.#served[bucket]!
    this.#requested[bucket] = 0
    this.#served[bucket] = 0
  }
}

/** State of the token share policy. */
export class TokenShareDb {
  readonly #windows = new Map<WorkspaceId, SlidingTotals>()
  readonly #ownTotals = new Map<WorkspaceId, MutableTotals>()
  readonly #peerTotals = new Map<PeerId, Map<WorkspaceId, TokenTotals>>()
  readonly #bucketMs: Millis
  #bucket = 0
  readonly #capacity: CapacityEstimate
  /** Tokens processed since the start of this process; undefined until they are reported. */
  #ownProcessed: number | undefined
  readonly #peerProcessed = new Map<PeerId, number>()
  #shares: { at: Millis, byWorkspace: Map<WorkspaceId, number> } = { at: -Infinity, byWorkspace: new Map() }
  /** Tokens that all upstreams together process in a second, as estimated by the operator; undefined or zero when not configured. */
  capacityPerSecond: number | undefined

  /** @param config - length of the window */
  constructor (readonly config: TokenShareConfig) {
    this.#bucketMs = config.windowMs / BUCKET_COUNT
    this.#capacity = new CapacityEstimate(this.#bucketMs, BUCKET_COUNT)
  }

  /** Records the tokens of a request that arrived at this process. */
  recordRequested (workspace: WorkspaceId, tokens: number, now: Millis): void {
    this.#recordOwn(workspace, tokens, 0, now)
  }

  /** Records the tokens of a request that was sent to an upstream; negative tokens undo this for a request that did not run. */
  recordServed (workspace: WorkspaceId, tokens: number, now: Millis): void {
    this.#recordOwn(workspace, 0, tokens, now)
    if (this.#ownProcessed === undefined) this.#capacity.recordProcessed(tokens, now)
  }

  /**
   * Sets the tokens of requests of this process that upstreams have processed since its start. A process that never calls this
   * counts tokens as processed when they are sent.
   */
  setOwnProcessed (tokens: number, now: Millis): void {
    this.#capacity.recordProcessed(tokens - (this.#ownProcessed ?? tokens), now)
    this.#ownProcessed = tokens
  }

  /** Records the load of the least loaded upstream at a decision, which tells whether the upstreams are full. */
  recordLeastLoad (load: number, now: Millis): void {
    this.#capacity.recordLeastLoad(load, now)
  }

  /** @returns totals of this process since its start, to be sent to other processes */
  ownTotals (): ReadonlyMap<WorkspaceId, TokenTotals> {
    return this.#ownTotals
  }

  /**
   * Applies the totals of another process. The difference to its previous totals is added to the current bucket; the first
   * totals only set the baseline, because it is unknown when they accumulated.
   *
   * @param processed - tokens that upstreams have processed for the peer since its start; undefined from an earlier build, whose
   * tokens count as processed when they are sent
   */
  setPeerTotals (peer: PeerId, totals: ReadonlyMap<WorkspaceId, TokenTotals>, now: Millis, processed?: number): void {
    this.#advance(now)
    if (processed !== undefined) {
      this.#capacity.recordProcessed(processed - (this.#peerProcessed.get(peer) ?? processed), now)
      this.#peerProcessed.set(peer, processed)
    }
    const known = this.#peerTotals.get(peer)
    if (known === undefined) {
      this.#peerTotals.set(peer, new Map(totals))
      return
    }
    for (const [workspace, current] of totals) {
      const previous = known.get(workspace) ?? { requested: 0, served: 0 }
      known.set(workspace, current)
      this.#windowOf(workspace).add(this.#bucket % BUCKET_COUNT, current.requested - previous.requested, current.served - previous.served)
      if (processed === undefined) this.#capacity.recordProcessed(current.served - previous.served, now)
    }
  }

  removePeer (peer: PeerId): void {
    this.#peerTotals.delete(peer)
    this.#peerProcessed.delete(peer)
  }

  /** @returns tokens requested and served in the window, fleet-wide */
  totals (workspace: WorkspaceId, now: Millis): TokenTotals {
    this.#advance(now)
    const window = this.#windows.get(workspace)
    return { requested: window?.requested ?? 0, served: window?.served ?? 0 }
  }

  /**
   * Computes the max-min fair share of a workspace over the window.
   *
   * @returns share in tokens, infinite while no capacity is known; never below an equal part of the capacity, even if the demand is smaller, because the demand may grow
   */
  share (workspace: WorkspaceId, now: Millis): number {
    this.#advance(now)
    if (now - this.#shares.at >= this.#bucketMs) this.#shares = { at: now, byWorkspace: this.#computeShares(now) }
    return this.#shares.byWorkspace.get(workspace) ?? this.#windowCapacity(now) / Math.max(1, this.#windows.size)
  }

  /**
   * Estimates what all upstreams together process: what they did while they were full, and the configured rate before they ever
   * were. It is never less than what they have processed in the window.
   *
   * @returns tokens in a second; infinite when nothing is known
   */
  estimatedCapacity (now: Millis): number {
    const { capacityPerSecond: configured } = this
    const assumed = configured === undefined || configured <= 0 ? Infinity : configured
    return this.#capacity.perSecond(now) ?? Math.max(assumed, this.#capacity.processedPerSecond(now))
  }

  /** @returns the share and the use of a workspace */
  shareOf (workspace: WorkspaceId, now: Millis): WorkspaceShare {
    const perSecond = SECOND_MS / this.config.windowMs
    return { sharePerSecond: this.share(workspace, now) * perSecond, servedPerSecond: this.totals(workspace, now).served * perSecond }
  }

  /** @returns the workspaces that have requested tokens */
  workspaces (): Iterable<WorkspaceId> {
    return this.#windows.keys()
  }

  #windowCapacity (now: Millis): number {
    return this.estimatedCapacity(now) * this.config.windowMs / SECOND_MS
  }

  #computeShares (now: Millis): Map<WorkspaceId, number> {
    const demands = [...this.#windows].map(([workspace, { requested }]) => ({ key: workspace, demand: requested }))
    return maxMinShares(demands, this.#windowCapacity(now))
  }

  #recordOwn (workspace: WorkspaceId, requested: number, served: number, now: Millis): void {
    this.#advance(now)
    const totals = getOrMake(this.#ownTotals, workspace, () => ({ requested: 0, served: 0 }))
    totals.requested += requested
    totals.served += served
    this.#windowOf(workspace).add(this.#bucket % BUCKET_COUNT, requested, served)
  }

  #windowOf (workspace: WorkspaceId): SlidingTotals {
    return getOrMake(this.#windows, workspace, () => new SlidingTotals())
  }

  #advance (now: Millis): void {
    const current = Math.floor(now / this.#bucketMs)
    const steps = Math.min(BUCKET_COUNT, current - this.#bucket)
    for (let step = 0; step < steps; step++) {
      const expired = (current - step) % BUCKET_COUNT
      for (const window of this.#windows.values()) window.clear(expired)
    }
    this.#bucket = Math.max(this.#bucket, current)
  }
}
