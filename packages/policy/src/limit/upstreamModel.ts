/** A small model of a batching engine, for the limit's specification and measurement. */
import { asId, type Millis, type RequestId } from '@fuchsiaworks/kernel'
import type { LimitEvent } from './limitTypes.js'

/** Properties of a modelled engine. */
export interface UpstreamModelConfig {
  /** Requests at which the time between tokens is exactly 59 ms once warm. */
  readonly knee: number
  /** Share of the knee that a cold engine has. */
  readonly coldShare: number
  /** Completions that make a cold engine warm. */
  readonly warmAfter: number
  /** Multiple of the present knee above which the engine ends; Infinity for an engine that only slows down. */
  readonly collapseAt: number
  /** Tokens of one answer, on average. */
  readonly tokens: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

interface ModelRequest {
  readonly id: RequestId
  readonly startedAt: Millis
  readonly firstAt: Millis
  seen: boolean
  left: number
  reportedAt: Millis
}

/** Milliseconds between tokens of an idle engine. */
const IDLE_GAP_MS = 15

/** Milliseconds between tokens at the knee. */
const KNEE_GAP_MS = 59

/** Milliseconds between a stream's summaries of its token gaps. */
const SUMMARY_PERIOD_MS = 200

/** An engine that slows down with load, is cold at first and may end under load. */
export class UpstreamModel {
  readonly running = new Map<RequestId, ModelRequest>()
  /** Number of times that it ended under load. */
  collapses = 0
  completed = 0
  #warmth = 0
  #count = 0

  /** @param config - its properties */
  constructor (readonly config: UpstreamModelConfig) {}

  /** Requests at which it meets its target now. */
  get knee (): number {
    const { knee, coldShare } = this.config
    return knee * (coldShare + (1 - coldShare) * this.#warmth)
  }

  /** Present milliseconds between tokens. */
  get gap (): Millis {
    return IDLE_GAP_MS + (KNEE_GAP_MS - IDLE_GAP_MS) * this.running.size / this.knee
  }

  /** Makes it cold without ending what runs. */
  chill (): void {
    this.#warmth = 0
  }

  /** Makes it warm at once. */
  warm (): void {
    this.#warmth = 1
  }

  /** Starts a request. */
  start (now: Millis): LimitEvent {
    const id = asId<RequestId>(`r${this.#count++}`)
    const load = (this.running.size + 1) / this.knee
    const first = (250 + 1_200 * load ** 2) * this.#noise()
    const left = this.config.tokens * (0.2 + 1.6 * this.config.random())
    this.running.set(id, { id, startedAt: now, firstAt: now + first, seen: false, left, reportedAt: now + first })
    return { kind: 'started', now, request: id }
  }

  /**
   * Moves the engine on.
   *
   * @returns what the agent sees
   */
  step (now: Millis, span: Millis): LimitEvent[] {
    if (this.running.size > this.config.collapseAt * this.knee) return this.#collapse(now)
    return [...this.running.values()].flatMap(request => this.#advance(request, now, span))
  }

  #advance (request: ModelRequest, now: Millis, span: Millis): LimitEvent[] {
    if (now < request.firstAt) return []
    const events: LimitEvent[] = []
    if (!request.seen) events.push({ kind: 'first-byte', now, request: request.id, latency: request.firstAt - request.startedAt })
    request.seen = true
    request.left -= span / this.gap
    if (now - request.reportedAt >= SUMMARY_PERIOD_MS) {
      request.reportedAt = now
      events.push({ kind: 'token-gap', now, request: request.id, gap: this.gap * this.#noise() })
    }
    if (request.left > 0) return events
    this.running.delete(request.id)
    this.completed += 1
    this.#warmth = Math.min(1, this.#warmth + 1 / this.config.warmAfter)
    events.push({ kind: 'ended', now, request: request.id, ok: true, duration: now - request.startedAt })
    return events
  }

  #collapse (now: Millis): LimitEvent[] {
    const lost = [...this.running.keys()]
    this.running.clear()
    this.collapses += 1
    this.#warmth = 0
    return lost.map(request => ({ kind: 'failed', now, request, reason: 'crashed' }))
  }

  #noise (): number {
    return 0.95 + 0.1 * this.config.random()
  }
}
