/** One attempt: the request is sent to one upstream, whose response is checked and forwarded. */
import { createLog, type Millis, newId, toError } from '@fuchsiaworks/kernel'
import { type AttemptFailure, attributeResponse, type EmbeddedResponseVerdict, type Placement, type RunId } from '@fuchsiaworks/policy'
import { type BodyEnd, type EmbeddedHead, type ExchangeReport, SplicedBodyError, SplicedHeadError, UnsendableRequestError, type UpstreamExchange } from '@fuchsiaworks/upstreams'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { ResponseHead } from '../port/headerPort.js'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import type { AttemptScope } from './attemptScope.js'
import { AttemptZoneBytes } from './attemptZoneBytes.js'
import { judgeEmbeddedHead } from './embeddedHeadJudge.js'
import { findHeadFailure } from './responseHeadCheck.js'
import { recordAnnouncements } from './upstreamAnnouncements.js'

/** Time within which a declined response must end for its connection to be reused; otherwise the connection is closed. */
const DECLINED_RESPONSE_TIMEOUT_MS = 300

/** Lowest status of a response that is an error; how long it took says nothing of the time of work. */
const FIRST_ERROR_STATUS = 400

/** Share of the latency target for which an upstream that is not an engine may send no byte before another one is tried. */
const NON_ENGINE_SILENCE_TARGET_RATIO = 0.9

/** Pause within a stream of an upstream that is not an engine after which it counts as silent: half of the pause after which callers give up. */
const STREAM_PAUSE = { minMs: 1000, targetRatio: 2 } as const

/** Time beyond the expected start of the response after which an engine that sends no byte counts as silent. */
const ENGINE_SILENCE_MS = 800

/** Time for which an event may arrive in part; an upstream sends each event whole, so one that takes longer has stalled, whatever trickles in. */
const PARTIAL_EVENT_MS: Millis = 1500

/**
 * Bytes of a response that may be something else than its body: a constant part for headers and for what is received ahead of a slow caller, and a
 * part that grows with the body, for the framing of small chunks.
 */
const MAX_OVERHEAD = { bytes: 256 * 1024, bodyRatio: 8 } as const

const log = createLog('gateway')

/** Handles what happens to an attempt. */
export interface AttemptHandlers {
  /** Bytes arrived, also after the attempt has ended. */
  readonly onActivity: () => void
  /** The first byte of the body arrived. */
  readonly onFirstByte: () => void
  /** The complete response has been forwarded. */
  readonly onAnswered: () => void
  readonly onFailed: (failure: AttemptFailure) => void
  /** Returns whether the request can be sent to another upstream in place of an error response. */
  readonly canReplace: (error: AttemptFailure) => boolean
}

/** Returns what an exchange failed by of which the upstream has received something. */
const brokenBy = (err: Error): 'garbled' | 'spliced' | 'reset' => {
  if (err instanceof SplicedBodyError) return 'spliced'
  return err instanceof SplicedHeadError ? 'garbled' : 'reset'
}

/** How long an attempt has been without progress. */
export type AttemptSilence = 'none' | 'silent' | 'stalled'

/** One attempt at one upstream. */
export class Attempt {
  readonly run = newId<RunId>()
  readonly startedAt: Millis
  readonly #scope: AttemptScope
  readonly #handlers: AttemptHandlers
  #exchange: UpstreamExchange | undefined
  /** True once the attempt has ended; anything that still arrives is ignored. */
  #isOver = false
  #bodyBytes = 0
  /** Undefined before the head of the response has arrived. */
  #head: ResponseHead | undefined
  readonly #zoneBytes: AttemptZoneBytes
  #firstByteAt: Millis | undefined
  /** Time at which bytes were last forwarded, or at which the event that is arriving began. */
  #progressAt: Millis

  /**
   * @param scope - the request and what its attempts share
   * @param upstream - where to send the request
   * @param placement - the decision for that upstream
   * @param handlers - handle what happens to the attempt
   */
  constructor (scope: AttemptScope, readonly upstream: GatewayUpstream, readonly placement: Placement, handlers: AttemptHandlers) {
    this.#scope = scope
    this.#handlers = handlers
    this.startedAt = this.#now
    this.#progressAt = this.startedAt
    this.#zoneBytes = new AttemptZoneBytes(scope, upstream, placement)
  }

  get isOver (): boolean {
    return this.#isOver
  }

  get firstByteAt (): Millis | undefined {
    return this.#firstByteAt
  }

  /** What is known of the response and its connection; undefined before the request is sent. */
  get report (): ExchangeReport | undefined {
    return this.#exchange?.report
  }

  /** Records the attempt with the policies and sends the request. */
  send (timeLeftMs: Millis): void {
    const { ctx, admission, origin } = this.#scope
    const { upstream, placement } = this
    admission.recordSend(upstream)
    origin.recordSend(upstream)
    ctx.placement.startRun(this.run, upstream.id, admission.placementRequest, placement.readTokens, this.#now)
    ctx.mesh.scheduleUpdate()
    try {
      this.#exchange = this.#startExchange(timeLeftMs)
    } catch (err) {
      if (this.#isOver) throw err
      log.error('request not sent: internal error', { upstream: upstream.id, reason: toError(err).stack ?? String(err) })
      ctx.clock.after(0, () => { this.#onFailed(toError(err), false) })
    }
  }

  #startExchange (timeLeftMs: Millis): UpstreamExchange {
    const { ctx, request, relay } = this.#scope
    const { upstream, placement } = this
    const headers = ctx.headers.encodeUpstreamHeaders(request.headers, {
      upstream: upstream.id,
      deadlineMs: Math.max(1, Math.floor(timeLeftMs)),
      workspace: request.workspace,
      lastEventId: relay.lastEventId,
      copyFrom: placement.copyFrom === undefined ? undefined : ctx.fleet.view.upstreams.get(placement.copyFrom)?.address
    })
    this.#zoneBytes.countRequest(headers)
    return ctx.clients.get(upstream).send({
      id: request.head.attempt,
      method: request.method,
      path: request.target,
      headers,
      body: request.body.length > 0 ? request.body : undefined,
      idempotent: request.route.repeatability !== 'once',
      headTimeoutMs: 0
    }, {
      head: (status, responseHeaders) => { this.#onHead(status, responseHeaders) },
      data: chunk => { this.#onData(chunk) },
      judgeHead: (embedded, end) => this.#judgeHead(embedded, end),
      end: () => { this.#onEnd() },
      failed: (err, sent) => { this.#onFailed(err, sent) }
    })
  }

  /**
   * Returns whether the upstream has sent nothing, or has not completed an event, for too long.
   *
   * @param lastByteAt - time of the last byte of any attempt of the request
   */
  silence (lastByteAt: Millis): AttemptSilence {
    if (this.#bodyBytes > 0 && this.#scope.relay.hasPartialEvent && this.#now - this.#progressAt > PARTIAL_EVENT_MS) return 'stalled'
    return this.#now - Math.max(this.startedAt, lastByteAt) < this.#silenceLimit ? 'none' : 'silent'
  }

  /** True when the upstream has sent too many bytes that are no response, such as a header line without end. */
  get hasExcessiveOverhead (): boolean {
    if (this.#exchange === undefined || this.#isOver) return false
    return this.#exchange.overheadBytes > MAX_OVERHEAD.bytes + this.#bodyBytes * MAX_OVERHEAD.bodyRatio
  }

  /** Ends the attempt and, unless it was answered, closes its connection, which cancels a run that may still be active. */
  end (outcome: string): void {
    if (this.#isOver) return
    this.#isOver = true
    const { ctx, request } = this.#scope
    ctx.placement.endRun(this.run)
    ctx.queue?.wake()
    ctx.mesh.scheduleUpdate()
    ctx.metrics.attempts.inc({ service: request.service, outcome })
    if (outcome !== 'answered') this.#closeConnection(outcome)
  }

  get #now (): Millis {
    return this.#scope.ctx.clock.now()
  }

  get #silenceLimit (): Millis {
    const { request, relay, admission } = this.#scope
    const { latencyTargetMs } = request.route
    if (!admission.isEngine) return relay.hasStarted ? Math.max(STREAM_PAUSE.minMs, latencyTargetMs * STREAM_PAUSE.targetRatio) : latencyTargetMs * NON_ENGINE_SILENCE_TARGET_RATIO
    return ENGINE_SILENCE_MS + this.placement.expectedMs
  }

  #onHead (status: number, headers: HeaderList): void {
    this.#recordActivity()
    const { ctx, request, relay } = this.#scope
    this.#zoneBytes.countResponseHead(headers)
    const head = ctx.headers.decodeResponseHead(status, headers)
    const attribution = attributeResponse({ requestId: request.head.attempt, responseId: head.attempt, isFirstExchange: this.#exchange?.isFirstOnConnection === true })
    recordAnnouncements(ctx, request, this.upstream, status, head, attribution)
    if (this.#isOver) return
    this.#head = head
    const failure = findHeadFailure(this.#scope, head, status, headers, attribution)
    if (failure !== undefined) return this.#handlers.onFailed(failure)
    if (status >= 500 && !relay.hasStarted) {
      const error: AttemptFailure = { kind: 'error-answer', status }
      // Without another upstream to try, the upstream's own error is more useful to the caller than one of the gateway.
      if (this.#handlers.canReplace(error)) return this.#handlers.onFailed(error)
    }
    relay.head(status, headers)
  }

  #onData (chunk: Buffer): void {
    this.#recordActivity()
    const { relay, origin } = this.#scope
    this.#zoneBytes.countResponse(chunk.length)
    if (this.#isOver) return
    if (this.#bodyBytes === 0) this.#onFirstByte()
    this.#bodyBytes += chunk.length
    const { forwardedBytes, hasPartialEvent } = relay
    const isWritable = relay.data(chunk)
    if (forwardedBytes === 0 && relay.forwardedBytes > 0) origin.recordBegin(this.upstream)
    if (!hasPartialEvent || relay.forwardedBytes > forwardedBytes) this.#progressAt = this.#now
    if (relay.hasMismatch) return this.#handlers.onFailed({ kind: 'uncertain', reason: 'not-continued' })
    if (relay.isEventTooLong) return this.#handlers.onFailed({ kind: 'uncertain', reason: 'garbled' })
    if (isWritable) return
    this.#exchange?.pause()
    relay.onDrain(() => { this.#exchange?.resume() })
  }

  #judgeHead (embedded: EmbeddedHead, end: BodyEnd | undefined): EmbeddedResponseVerdict {
    if (this.#isOver || this.#exchange === undefined || this.#head === undefined) return 'quoted'
    return judgeEmbeddedHead(this.#scope, this.upstream, this.#exchange, this.#head, embedded, end)
  }

  #onFirstByte (): void {
    this.#firstByteAt = this.#now
    const { ctx, traits, relay } = this.#scope
    ctx.crashSuspects.recordBegin(this.upstream, traits, this.#now)
    ctx.placement.recordFirstEvent(this.run, this.#now, relay.status < FIRST_ERROR_STATUS)
    ctx.queue?.wake()
    ctx.mesh.scheduleUpdate()
    this.#handlers.onFirstByte()
  }

  #onEnd (): void {
    if (this.#isOver) return
    const { relay } = this.#scope
    if (!relay.end()) return this.#handlers.onFailed({ kind: 'uncertain', reason: relay.hasRequiredEvents ? 'reset' : 'not-continued' })
    this.end('answered')
    this.#handlers.onAnswered()
  }

  #onFailed (err: Error, sent: boolean): void {
    if (this.#isOver) return
    if (sent) return this.#handlers.onFailed({ kind: 'uncertain', reason: brokenBy(err) })
    this.#handlers.onFailed({ kind: 'not-run', reason: err instanceof UnsendableRequestError ? 'unsendable' : 'unreachable' })
  }

  #recordActivity (): void {
    this.#handlers.onActivity()
    const record = this.#scope.ctx.placement.record(this.upstream.id)
    if (record !== undefined) record.lastActivityAt = this.#now
  }

  /** Closes the connection; a declined response gets time to end, so that its connection can be reused. */
  #closeConnection (outcome: string): void {
    const cancel = (): void => { this.#exchange?.cancel(new Error(`attempt ended: ${outcome}`)) }
    if (outcome === 'full' || outcome === 'declined') this.#scope.ctx.clock.after(DECLINED_RESPONSE_TIMEOUT_MS, cancel)
    else cancel()
  }
}
