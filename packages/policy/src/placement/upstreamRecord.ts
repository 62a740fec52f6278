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

/** Span of the count of recent starts, in milliseconds. */
const RECENT_MS = 1000

/** Milliseconds for which a part is expected to be kept after its last use. */
const PART_KEPT_MS = 10_000

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

/** State of one upstream at one router. */
export class UpstreamRecord {
  readonly runs = new Map<RunId, OpenRun>()
  readonly remote = new Map<PeerId, UpstreamLoad>()
  /** Monotonic time until which the upstream is not chosen. */
  avoidUntil: Millis = 0
  /** Monotonic time of the last byte from the upstream, or of the first start after it had nothing to do. */
  lastSignOfLife: Millis = 0
  msPerKToken = INITIAL_MS_PER_KTOKEN
  readonly #starts: Millis[] = []
  /** Last use by part, oldest first. */
  readonly #parts = new Map<PartHash, Millis>()

  constructor (public facts: PlacementUpstream) {}

  get id (): UpstreamId {
    return this.facts.id
  }

  /** @returns what this router has open here */
  ownLoad (now: Millis): UpstreamLoad {
    let waitingTokens = 0
    let heldTokens = 0
    for (const run of this.runs.values()) {
      waitingTokens += run.waitingTokens
      heldTokens += run.heldTokens
    }
    return { open: this.runs.size, waitingTokens, heldTokens, recentStarts: this.#recentStarts(now) }
  }

  /** @returns what all known routers have open here */
  totalLoad (now: Millis): UpstreamLoad {
    let { open, waitingTokens, heldTokens, recentStarts } = this.ownLoad(now)
    for (const load of this.remote.values()) {
      open += load.open
      waitingTokens += load.waitingTokens
      heldTokens += load.heldTokens
      recentStarts += load.recentStarts
    }
    return { open, waitingTokens, heldTokens, recentStarts }
  }

  noteStart (now: Millis): void {
    if (this.runs.size === 0) this.lastSignOfLife = now
    this.#starts.push(now)
  }

  noteFirstEvent (run: OpenRun, now: Millis): void {
    run.waitingTokens = 0
    if (run.tokensAtStart < MIN_READING_TOKENS) return
    const reading = (now - run.startedAt) / (run.tokensAtStart / 1000)
    const bounded = clamp(reading, MS_PER_KTOKEN_RANGE.min, MS_PER_KTOKEN_RANGE.max)
    this.msPerKToken += (bounded - this.msPerKToken) * READING_WEIGHT
  }

  /** Remembers that a router sent a prompt with the part here. */
  notePart (part: PartHash, now: Millis): void {
    this.#parts.delete(part)
    this.#parts.set(part, now)
    if (this.#parts.size <= MAX_REMEMBERED_PARTS) return
    const [oldest] = this.#parts.keys()
    if (oldest !== undefined) this.#parts.delete(oldest)
  }

  /** @returns whether the upstream is expected to keep the part */
  keepsPart (part: PartHash, now: Millis): boolean {
    const lastUse = this.#parts.get(part)
    return lastUse !== undefined && now - lastUse < PART_KEPT_MS
  }

  #recentStarts (now: Millis): number {
    while (this.#starts[0] !== undefined && this.#starts[0] <= now - RECENT_MS) this.#starts.shift()
    return this.#starts.length
  }
}
