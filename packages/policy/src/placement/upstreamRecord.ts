/** State of one upstream as known to one gateway: runs of this gateway, loads from peer gateways, prefill speed and cached parts. */
import { clamp, type Millis, type UpstreamId } from '@fuchsiaworks/kernel'
import { queueRounds } from '../instanceLoad/instanceLoad.js'
import type { InstanceRecord } from '../instanceLoad/instanceRecord.js'
import type { PartHash, PeerId, PlacementUpstream, RunId, UpstreamLoad } from './placementTypes.js'

/** Milliseconds to the first event at an idle upstream, apart from the prefill. */
export const BASE_LATENCY_MS = 15

/** Initial estimate of the milliseconds to prefill a thousand prompt tokens: an engine that prefills 48 tokens a millisecond between decoding steps. */
const INITIAL_MS_PER_KTOKEN = 21

/** Bounds of the estimated prefill time, in milliseconds for a thousand tokens. */
const MS_PER_KTOKEN_RANGE = { min: 14, max: 160 } as const

/**
 * Bounds of the measured prefill time of an engine that reports its slowness, in milliseconds for a thousand tokens; machines of 1.7 times the
 * usual speed need less than 5.
 */
const REPORTING_MS_PER_KTOKEN_RANGE = { min: 1, max: 400 } as const

/** Bounds of the measured time of a plain request, in milliseconds. */
const PLAIN_MS_RANGE = { min: 1, max: 60_000 } as const

/** Weight of a new measurement in the moving average of the prefill time. */
const MEASUREMENT_WEIGHT = 0.15

/** Lower bound of the estimated prefill time without queue; the fastest known engines take 4.2 ms for a thousand tokens. */
const MIN_UNQUEUED_MS_PER_KTOKEN = 3

/**
 * Weights of a new measurement in the estimate without queue. Measurements above it mostly include prompts that other gateways
 * had sent since their last report, so they count less than those below it.
 */
const UNQUEUED_WEIGHT = { below: 0.15, above: 0.02 } as const

/** Minimum tokens of a measurement; with fewer, the fixed part of the latency dominates. */
const MIN_MEASURED_TOKENS = 3000

/** Milliseconds for which a part is expected to stay cached after its last use. */
export const PART_CACHED_MS: Millis = 10_000

/** Milliseconds after the first use of a part from which it is expected to be prefilled: the usual target for the first event. */
const PART_PREFILL_MS = 300

/** Maximum number of parts remembered for one upstream; an engine with memory for half a million tokens caches fewer parts of the usual size. */
const MAX_REMEMBERED_PARTS = 2000

/** A request that is running at an upstream. */
export interface OpenRun {
  readonly startedAt: Millis
  /** Tokens to prefill before the first event; 0 after it. */
  waitingTokens: number
  /** Prompt tokens and maximum output tokens, which occupy or will occupy memory. */
  readonly reservedTokens: number
  /** Tokens waiting for prefill at the upstream when the run started, including its own. */
  readonly queuedTokensAtStart: number
  /** Tokens that count towards the share of the request's workspace: prompt tokens are processed at the first event, output tokens at the end. */
  readonly charged: { readonly prompt: number, readonly output: number }
  /** True after the first event. */
  hasBegun: boolean
  /** Requests at the upstream when the run started, without its own. */
  readonly openAtStart: number
}

/** Times at which a part was used at an upstream. */
interface PartRecord {
  /** Monotonic time of the first use since the part was last expected to be evicted. */
  readonly firstUsedAt: Millis
  readonly lastUsedAt: Millis
}

const NO_LOAD: UpstreamLoad = { open: 0, waitingTokens: 0, reservedTokens: 0 }

const addLoads = (a: UpstreamLoad, b: UpstreamLoad, sign: 1 | -1): UpstreamLoad => ({
  open: a.open + sign * b.open,
  waitingTokens: a.waitingTokens + sign * b.waitingTokens,
  reservedTokens: a.reservedTokens + sign * b.reservedTokens
})

/** State of one upstream at one gateway. Load totals are maintained incrementally, because each placement reads those of all upstreams. */
export class UpstreamRecord {
  readonly runs = new Map<RunId, OpenRun>()
  /** Monotonic time until which the upstream is excluded from placement. */
  avoidUntil: Millis = 0
  /** Monotonic time of the last byte from the upstream, or of the last start of a run while it was idle. */
  lastActivityAt: Millis = 0
  /** Estimated milliseconds to prefill a thousand prompt tokens. */
  msPerKToken = INITIAL_MS_PER_KTOKEN
  /** The same without the effect of requests that were not known when the measured ones started. */
  unqueuedMsPerKToken = INITIAL_MS_PER_KTOKEN
  #measurements = 0
  #ownLoad: UpstreamLoad = NO_LOAD
  readonly #peerLoads = new Map<PeerId, UpstreamLoad>()
  #peerLoadSum: UpstreamLoad = NO_LOAD
  /** Uses by part, least recently used first. */
  readonly #parts = new Map<PartHash, PartRecord>()

  /**
   * @param upstream - the upstream as listed
   * @param instance - what it reports of its load
   */
  constructor (public upstream: PlacementUpstream, public instance: InstanceRecord) {}

  get id (): UpstreamId {
    return this.upstream.id
  }

  /** @returns the load from this gateway */
  get ownLoad (): UpstreamLoad {
    return this.#ownLoad
  }

  /** @returns the load from all known gateways */
  get totalLoad (): UpstreamLoad {
    return addLoads(this.#ownLoad, this.#peerLoadSum, 1)
  }

  /** Sets the load from a peer gateway; undefined when there is none or the gateway is unreachable. */
  setPeerLoad (peer: PeerId, load: UpstreamLoad | undefined): void {
    const before = this.#peerLoads.get(peer) ?? NO_LOAD
    if (load === undefined) this.#peerLoads.delete(peer)
    else this.#peerLoads.set(peer, load)
    const after = load ?? NO_LOAD
    if (after.open === before.open && after.waitingTokens === before.waitingTokens && after.reservedTokens === before.reservedTokens) return
    const sum = this.#peerLoadSum
    this.#peerLoadSum = {
      open: sum.open + after.open - before.open,
      waitingTokens: sum.waitingTokens + after.waitingTokens - before.waitingTokens,
      reservedTokens: sum.reservedTokens + after.reservedTokens - before.reservedTokens
    }
  }

  addRun (id: RunId, run: OpenRun): void {
    this.runs.set(id, run)
    this.#ownLoad = addLoads(this.#ownLoad, { open: 1, waitingTokens: run.waitingTokens, reservedTokens: run.reservedTokens }, 1)
  }

  removeRun (id: RunId): void {
    const run = this.runs.get(id)
    if (run === undefined) return
    this.runs.delete(id)
    this.#ownLoad = addLoads(this.#ownLoad, { open: 1, waitingTokens: run.waitingTokens, reservedTokens: run.reservedTokens }, -1)
  }

  /** Records that a run is about to start; at an idle upstream, silence counts from now on. */
  recordStart (now: Millis): void {
    if (this.runs.size === 0) this.lastActivityAt = now
  }

  recordFirstEvent (run: OpenRun, now: Millis, isServed: boolean): void {
    this.#ownLoad = addLoads(this.#ownLoad, { ...NO_LOAD, waitingTokens: run.waitingTokens }, -1)
    run.waitingTokens = 0
    if (isServed) this.#measureWork(run, now)
    if (run.queuedTokensAtStart < MIN_MEASURED_TOKENS) return
    const measured = (now - run.startedAt) / (run.queuedTokensAtStart / 1000)
    const bounded = clamp(measured, MS_PER_KTOKEN_RANGE.min, MS_PER_KTOKEN_RANGE.max)
    this.msPerKToken += (bounded - this.msPerKToken) * MEASUREMENT_WEIGHT
    const unqueued = clamp(measured, MIN_UNQUEUED_MS_PER_KTOKEN, MS_PER_KTOKEN_RANGE.max)
    this.#measurements += 1
    // The first measurements replace the initial estimate, which may be three times too high.
    const weight = unqueued < this.unqueuedMsPerKToken ? Math.max(UNQUEUED_WEIGHT.below, 1 / this.#measurements) : UNQUEUED_WEIGHT.above
    this.unqueuedMsPerKToken += (unqueued - this.unqueuedMsPerKToken) * weight
  }

  /** Measures how long a unit of work takes: a plain request, or the prefill of a token. */
  #measureWork ({ startedAt, openAtStart, queuedTokensAtStart }: OpenRun, now: Millis): void {
    const { kvCapacityTokens, slots } = this.upstream
    if (kvCapacityTokens === undefined) return this.instance.measure(clamp((now - startedAt) / queueRounds(openAtStart, slots), PLAIN_MS_RANGE.min, PLAIN_MS_RANGE.max), now)
    if (queuedTokensAtStart < MIN_MEASURED_TOKENS) return
    const { min, max } = REPORTING_MS_PER_KTOKEN_RANGE
    this.instance.measure(clamp((now - startedAt - BASE_LATENCY_MS) / queuedTokensAtStart, min / 1000, max / 1000), now)
  }

  /** Records that a gateway has sent a prompt with the part to this upstream. */
  recordPartUse (part: PartHash, now: Millis): void {
    const known = this.#parts.get(part)
    this.#parts.delete(part)
    this.#parts.set(part, { firstUsedAt: known !== undefined && now - known.lastUsedAt < PART_CACHED_MS ? known.firstUsedAt : now, lastUsedAt: now })
    if (this.#parts.size <= MAX_REMEMBERED_PARTS) return
    const [oldest] = this.#parts.keys()
    if (oldest !== undefined) this.#parts.delete(oldest)
  }

  /** @returns whether the upstream is expected to have the part cached */
  hasCachedPart (part: PartHash, now: Millis): boolean {
    const known = this.#parts.get(part)
    return known !== undefined && now - known.lastUsedAt < PART_CACHED_MS
  }

  /** @returns whether the upstream is expected to have finished the prefill of the part, so that other upstreams can copy it */
  hasPrefilledPart (part: PartHash, now: Millis): boolean {
    const known = this.#parts.get(part)
    return known !== undefined && now - known.lastUsedAt < PART_CACHED_MS && now - known.firstUsedAt > PART_PREFILL_MS
  }
}
