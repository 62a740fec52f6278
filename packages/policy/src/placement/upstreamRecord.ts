/** What one router knows of one upstream: its own runs there, those of other routers, and how fast the upstream reads. */
import { clamp, type Millis, type UpstreamId } from '@fuchsiaworks/kernel'
import type { PartHash, PeerId, PlacementUpstream, RunId, UpstreamLoad } from './placementTypes.js'

/** Milliseconds to read a thousand prompt tokens before anything was measured: an engine that reads 48 tokens a millisecond between decoding steps. */
const INITIAL_MS_PER_KTOKEN = 21

/** Bounds of the learned reading time, in milliseconds for a thousand tokens. */
const MS_PER_KTOKEN_RANGE = { min: 14, max: 160 } as const

/** Weight of a new reading in the moving average. */
const READING_WEIGHT = 0.15

/** Fewest tokens of a reading; shorter prompts mostly measure the fixed part of the latency. */
const MIN_READING_TOKENS = 3000

/** Milliseconds for which a part is expected to be kept after its last use. */
export const PART_KEPT_MS: Millis = 10_000

/** Milliseconds from the first use of a part until it can be expected to have been read: the usual target of a first event. */
const PART_READ_MS = 300

/** Parts of prompts remembered by upstream; a memory of half a million tokens keeps fewer of the usual size. */
const MAX_REMEMBERED_PARTS = 2000

/** An open run. */
export interface OpenRun {
  readonly startedAt: Millis
  /** Tokens still to be read before the first event; 0 after it. */
  waitingTokens: number
  readonly heldTokens: number
  /** Tokens that were to be read before and with this run when it started. */
  readonly tokensAtStart: number
}

/** Uses of a part at an upstream. */
interface PartRecord {
  /** Monotonic time of the first use since the part was last expected to be gone. */
  readonly firstUse: Millis
  readonly lastUse: Millis
}

const NO_LOAD: UpstreamLoad = { open: 0, waitingTokens: 0, reservedTokens: 0 }

const addLoads = (a: UpstreamLoad, b: UpstreamLoad, sign: 1 | -1): UpstreamLoad => ({
  open: a.open + sign * b.open,
  waitingTokens: a.waitingTokens + sign * b.waitingTokens,
  reservedTokens: a.reservedTokens + sign * b.reservedTokens
})

/** State of one upstream at one router. The sums of loads are kept up to date, as each request reads those of all upstreams. */
export class UpstreamRecord {
  readonly runs = new Map<RunId, OpenRun>()
  /** Monotonic time until which the upstream is not chosen. */
  avoidUntil: Millis = 0
  /** Monotonic time of the last byte from the upstream, or of the first start after it had nothing to do. */
  lastActivityAt: Millis = 0
  msPerKToken = INITIAL_MS_PER_KTOKEN
  #own: UpstreamLoad = NO_LOAD
  readonly #remote = new Map<PeerId, UpstreamLoad>()
  #remoteSum: UpstreamLoad = NO_LOAD
  /** Uses by part, the longest unused first. */
  readonly #parts = new Map<PartHash, PartRecord>()

  constructor (public facts: PlacementUpstream) {}

  get id (): UpstreamId {
    return this.facts.id
  }

  /** @returns what this router has open here */
  get ownLoad (): UpstreamLoad {
    return this.#own
  }

  /** @returns what all known routers have open here */
  get totalLoad (): UpstreamLoad {
    return addLoads(this.#own, this.#remoteSum, 1)
  }

  /** Takes what another router has open here; undefined when it has nothing or is out of sight. */
  setRemote (peer: PeerId, load: UpstreamLoad | undefined): void {
    const before = this.#remote.get(peer)
    if (before !== undefined) this.#remoteSum = addLoads(this.#remoteSum, before, -1)
    if (load === undefined) {
      this.#remote.delete(peer)
      return
    }
    this.#remote.set(peer, load)
    this.#remoteSum = addLoads(this.#remoteSum, load, 1)
  }

  addRun (id: RunId, run: OpenRun): void {
    this.runs.set(id, run)
    this.#own = addLoads(this.#own, { open: 1, waitingTokens: run.waitingTokens, reservedTokens: run.heldTokens }, 1)
  }

  removeRun (id: RunId): void {
    const run = this.runs.get(id)
    if (run === undefined) return
    this.runs.delete(id)
    this.#own = addLoads(this.#own, { open: 1, waitingTokens: run.waitingTokens, reservedTokens: run.heldTokens }, -1)
  }

  noteStart (now: Millis): void {
    if (this.runs.size === 0) this.lastActivityAt = now
  }

  noteFirstEvent (run: OpenRun, now: Millis): void {
    this.#own = addLoads(this.#own, { ...NO_LOAD, waitingTokens: run.waitingTokens }, -1)
    run.waitingTokens = 0
    if (run.tokensAtStart < MIN_READING_TOKENS) return
    const reading = (now - run.startedAt) / (run.tokensAtStart / 1000)
    const bounded = clamp(reading, MS_PER_KTOKEN_RANGE.min, MS_PER_KTOKEN_RANGE.max)
    this.msPerKToken += (bounded - this.msPerKToken) * READING_WEIGHT
  }

  /** Remembers that a router sent a prompt with the part here. */
  notePart (part: PartHash, now: Millis): void {
    const known = this.#parts.get(part)
    this.#parts.delete(part)
    this.#parts.set(part, { firstUse: known !== undefined && now - known.lastUse < PART_KEPT_MS ? known.firstUse : now, lastUse: now })
    if (this.#parts.size <= MAX_REMEMBERED_PARTS) return
    const [oldest] = this.#parts.keys()
    if (oldest !== undefined) this.#parts.delete(oldest)
  }

  /** @returns whether the upstream is expected to keep the part */
  keepsPart (part: PartHash, now: Millis): boolean {
    const known = this.#parts.get(part)
    return known !== undefined && now - known.lastUse < PART_KEPT_MS
  }

  /** @returns whether the upstream is expected to have read the part, so that others can copy it */
  canGivePart (part: PartHash, now: Millis): boolean {
    const known = this.#parts.get(part)
    return known !== undefined && now - known.lastUse < PART_KEPT_MS && now - known.firstUse > PART_READ_MS
  }
}
