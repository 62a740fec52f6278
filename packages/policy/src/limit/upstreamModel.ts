/** Simulation of a batching engine, for the tests and the measurement of the limit. */
import { asId, type Millis, type RequestId } from '@fuchsiaworks/kernel'
import type { LimitEvent } from './limitTypes.js'

/** Properties of a simulated engine. */
export interface UpstreamModelConfig {
  /** Concurrent requests at which a warm engine produces tokens 59 ms apart. */
  readonly knee: number
  /** Share of the knee available to a cold engine. */
  readonly coldShare: number
  /** Completions after which a cold engine is warm. */
  readonly warmAfter: number
  /** Multiple of the current knee above which the engine crashes; Infinity for an engine that only slows down. */
  readonly crashFactor: number
  /** Mean number of tokens of a response. */
  readonly tokens: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

interface ModelRequest {
  readonly id: RequestId
  readonly startedAt: Millis
  readonly firstByteAt: Millis
  firstByteSent: boolean
  tokensLeft: number
  reportedAt: Millis
}

/** Milliseconds between tokens without load. */
const IDLE_GAP_MS = 15

/** Milliseconds between tokens at the knee. */
const KNEE_GAP_MS = 59

/** Milliseconds between two `token-gap` events of a request. */
const TOKEN_GAP_EVENT_PERIOD_MS = 200

/** Engine that slows down with load, starts cold and may crash under overload. */
export class UpstreamModel {
  readonly running = new Map<RequestId, ModelRequest>()
  /** Number of crashes under overload. */
  crashCount = 0
  completed = 0
  #warmth = 0
  #nextId = 0

  /** @param config - properties of the engine */
  constructor (readonly config: UpstreamModelConfig) {}

  /** Concurrent requests at which the engine just meets its target in its current state. */
  get knee (): number {
    const { knee, coldShare } = this.config
    return knee * (coldShare + (1 - coldShare) * this.#warmth)
  }

  /** Milliseconds between tokens under the current load. */
  get tokenGap (): Millis {
    return IDLE_GAP_MS + (KNEE_GAP_MS - IDLE_GAP_MS) * this.running.size / this.knee
  }

  /** Makes the engine cold without ending its running requests. */
  makeCold (): void {
    this.#warmth = 0
  }

  /** Makes the engine warm at once. */
  makeWarm (): void {
    this.#warmth = 1
  }

  start (now: Millis): LimitEvent {
    const id = asId<RequestId>(`r${this.#nextId++}`)
    const load = (this.running.size + 1) / this.knee
    const firstByteMs = (250 + 1_200 * load ** 2) * this.#noise()
    const tokensLeft = this.config.tokens * (0.2 + 1.6 * this.config.random())
    this.running.set(id, { id, startedAt: now, firstByteAt: now + firstByteMs, firstByteSent: false, tokensLeft, reportedAt: now + firstByteMs })
    return { kind: 'started', now, request: id }
  }

  /**
   * Advances the simulated time.
   *
   * @returns the events that an agent would report
   */
  step (now: Millis, stepMs: Millis): LimitEvent[] {
    if (this.running.size > this.config.crashFactor * this.knee) return this.#crash(now)
    return [...this.running.values()].flatMap(request => this.#advance(request, now, stepMs))
  }

  #advance (request: ModelRequest, now: Millis, stepMs: Millis): LimitEvent[] {
    if (now < request.firstByteAt) return []
    const events: LimitEvent[] = []
    if (!request.firstByteSent) events.push({ kind: 'first-byte', now, request: request.id, latency: request.firstByteAt - request.startedAt })
    request.firstByteSent = true
    request.tokensLeft -= stepMs / this.tokenGap
    if (now - request.reportedAt >= TOKEN_GAP_EVENT_PERIOD_MS) {
      request.reportedAt = now
      events.push({ kind: 'token-gap', now, request: request.id, gap: this.tokenGap * this.#noise() })
    }
    if (request.tokensLeft > 0) return events
    this.running.delete(request.id)
    this.completed += 1
    this.#warmth = Math.min(1, this.#warmth + 1 / this.config.warmAfter)
    events.push({ kind: 'ended', now, request: request.id, ok: true, duration: now - request.startedAt })
    return events
  }

  #crash (now: Millis): LimitEvent[] {
    const lost = [...this.running.keys()]
    this.running.clear()
    this.crashCount += 1
    this.#warmth = 0
    return lost.map(request => ({ kind: 'failed', now, request, reason: 'crashed' }))
  }

  #noise (): number {
    return 0.95 + 0.1 * this.config.random()
  }
}
