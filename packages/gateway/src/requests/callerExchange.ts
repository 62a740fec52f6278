/** The life of one request: placed, sent, passed on, and sent again where that is allowed. */
import { asId, type Millis, newId, type Timer, type UpstreamId } from '@fuchsiaworks/kernel'
import {
  type AttemptFailure, decideAttempt, type Placement, type RequestHash, type RunId, remainingWait, type QueuedRequest
} from '@fuchsiaworks/policy'
import type { UpstreamExchange } from '@fuchsiaworks/upstreams'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { ResponseHead } from '../port/headerPort.js'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import { Admission, NO_UPSTREAM_RETURN_MS } from './admission.js'
import { AnswerRelay } from './answerRelay.js'
import type { CallerCall } from './callerCall.js'
import type { FlowContext } from './flowContext.js'
import { type Refusal, sendRefusal } from './refusals.js'

/** Milliseconds for which an upstream that accepts no connection is not chosen. */
const UNREACHABLE_AVOID_MS = 1500

/** Milliseconds for which an upstream is not chosen after it was full. */
const FULL_AVOID_MS = 150

/** Milliseconds for which an upstream is not chosen after a connection to it broke. */
const BROKEN_AVOID_MS = 300

/** Milliseconds within which the rest of a declined answer arrives; then its connection can be used again. */
const DECLINE_END_MS = 300

/** Status of an upstream that is not the one that was meant. */
const MISDIRECTED = 421

/** Share of its target that a plain request may stay without an answer before another upstream is tried. */
const PLAIN_SILENCE_SHARE = 0.9

/** Milliseconds without a byte from an engine with open runs after which it counts as dead, beyond the expected start. */
const ENGINE_SILENCE_MS = 800

/** @returns milliseconds for which an upstream is not chosen after a failure */
const avoidanceOf = (failure: AttemptFailure): Millis => {
  switch (failure.kind) {
    case 'not-run':
      if (failure.reason === 'unreachable') return UNREACHABLE_AVOID_MS
      return failure.reason === 'full' ? FULL_AVOID_MS : 0
    case 'uncertain':
      return BROKEN_AVOID_MS
    case 'error-answer':
      return 0
  }
}

/** One attempt at one upstream. */
interface Attempt {
  readonly run: RunId
  readonly upstream: GatewayUpstream
  readonly startedAt: Millis
  readonly placement: Placement
  exchange: UpstreamExchange | undefined
  /** True once nothing that it brings is of interest. */
  isOver: boolean
  hasBody: boolean
}

/** How a request ended, for log and metrics. */
type Outcome = 'answered' | 'refused' | 'unknown' | 'broken-off' | 'timeout' | 'caller-gone'

/** Follows one request to its end. */
export class CallerExchange {
  readonly #ctx: FlowContext
  readonly #call: CallerCall
  readonly #relay: AnswerRelay
  readonly #deadlineAt: Millis
  readonly #admission: Admission
  readonly #timer: Timer
  /** True while it is to be tried again when there may be room. */
  isWaiting = false
  #attempt: Attempt | undefined
  #attempts = 0
  #lastReason = ''
  #firstByteMs: Millis | undefined
  #lastByteAt: Millis = 0
  #placement: Placement | undefined
  #waitedMs = 0
  #mayHaveRun = false
  #isDone = false

  /**
   * @param ctx - services of the process
   * @param call - the request
   * @param onDone - called once when it has ended
   */
  constructor (ctx: FlowContext, call: CallerCall, readonly onDone: (exchange: CallerExchange) => void) {
    this.#ctx = ctx
    this.#call = call
    this.#relay = new AnswerRelay(call.res, call.route.isStream, call.head.lastEventId)
    const { route, head } = call
    this.#deadlineAt = call.arrivedAt + Math.min(head.deadlineMs ?? route.timeoutMs, route.timeoutMs)
    this.#admission = new Admission(ctx, call)
    this.#timer = ctx.clock.after(Math.max(0, this.#timeLeft), () => { this.#onTimeout() })
    call.res.on('close', () => { this.#onCallerGone() })
  }

  /** Places and sends the request for the first time. */
  start (): void {
    const refusedFor = this.#ctx.crashSuspects.isEmpty ? 0 : this.#ctx.crashSuspects.remainingRefusalMs(this.#print(), this.#now)
    if (refusedFor > 0) return this.#refuse({ status: 503, reason: 'crashes-upstreams', returnMs: refusedFor })
    this.#ctx.retries.recordFirstAttempt(this.#call.service, this.#budgetOwner, this.#now)
    this.#admission.noteAsked()
    this.tryStart()
  }

  /** What the order of waiting goes by. */
  get waiting (): QueuedRequest {
    return { usageRatio: this.#admission.shareUse, arrivedAt: this.#call.arrivedAt, latencyTargetMs: this.#call.route.latencyTargetMs }
  }

  /** Sends the request if an upstream has room for it, lets it wait, or refuses it. */
  tryStart (): void {
    if (this.#isDone || this.#attempts > 0) return
    const placement = this.#admission.place()
    this.#placement = placement
    const refusal = placement === undefined
      ? { status: 503, reason: 'no-upstream', returnMs: NO_UPSTREAM_RETURN_MS }
      : this.#admission.check(placement)
    if (placement !== undefined && refusal === undefined) return this.#send(placement)
    this.isWaiting = remainingWait(this.waiting, this.#now) > 0
    if (!this.isWaiting && refusal !== undefined) this.#refuse(refusal)
  }

  /** Ends the request because the process ends. */
  abort (): void {
    if (this.#isDone) return
    this.#call.res.destroy()
    this.#finish('broken-off', 'the router ended')
  }

  /** Moves the request to another upstream when its own has shown no sign of life for too long; without another it waits on. */
  checkSilence (isUpstreamSilent: (upstream: UpstreamId) => boolean): void {
    const attempt = this.#attempt
    if (attempt === undefined || attempt.isOver || this.#call.route.repeatability === 'once') return
    const limit = this.#silenceLimit(attempt)
    if (this.#now - Math.max(attempt.startedAt, this.#lastByteAt) < limit) return
    if (this.#admission.isEngine && !isUpstreamSilent(attempt.upstream.id)) return
    const silent: AttemptFailure = { kind: 'uncertain', reason: 'silent' }
    const next = this.#verdict(silent).kind
    if ((next === 'retry' || next === 'resume') && this.#admission.place() !== undefined) this.#fail(attempt, silent)
  }

  get #now (): Millis {
    return this.#ctx.clock.now()
  }

  get #timeLeft (): Millis {
    return this.#deadlineAt - this.#now
  }

  /** Public routes share one part of the retry budget. */
  get #budgetOwner (): NonNullable<CallerCall['workspace']> {
    return this.#call.workspace ?? asId('public')
  }

  #silenceLimit ({ placement }: Attempt): Millis {
    if (!this.#admission.isEngine) return this.#call.route.latencyTargetMs * PLAIN_SILENCE_SHARE
    return ENGINE_SILENCE_MS + placement.expectedMs
  }

  #send (placement: Placement): void {
    const call = this.#call
    const upstream = this.#ctx.fleet.view.upstreams.get(placement.upstream)
    if (upstream === undefined) return this.#refuse({ status: 503, reason: 'no-upstream', returnMs: NO_UPSTREAM_RETURN_MS })
    const attempt: Attempt = { run: newId<RunId>(), upstream, startedAt: this.#now, placement, exchange: undefined, isOver: false, hasBody: false }
    this.#attempt = attempt
    this.#attempts += 1
    this.isWaiting = false
    this.#waitedMs = this.#now - call.arrivedAt
    this.#admission.noteSent(upstream)
    this.#ctx.placement.startRun(attempt.run, upstream.id, this.#admission.request, placement.readTokens, this.#now)
    this.#ctx.mesh.touch()
    const headers = this.#ctx.headers.encodeUpstreamHeaders(call.headers, {
      upstream: upstream.id,
      deadlineMs: Math.max(1, Math.floor(this.#timeLeft)),
      workspace: call.workspace,
      lastEventId: this.#relay.lastEvent,
      copyFrom: placement.copyFrom === undefined ? undefined : this.#ctx.fleet.view.upstreams.get(placement.copyFrom)?.address
    })
    attempt.exchange = this.#ctx.clients.get(upstream).send({
      method: call.method,
      path: call.target,
      headers,
      body: call.body.length > 0 ? call.body : undefined,
      idempotent: call.route.repeatability !== 'once',
      headTimeoutMs: 0
    }, {
      head: (status, answer) => { this.#onHead(attempt, status, answer) },
      data: chunk => { this.#onData(attempt, chunk) },
      end: () => { this.#onEnd(attempt) },
      failed: (err, sent) => { this.#onFailed(attempt, err, sent) }
    })
  }

  #onHead (attempt: Attempt, status: number, headers: HeaderList): void {
    this.#signOfLife(attempt)
    if (attempt.isOver) return
    const head = this.#ctx.headers.decodeResponseHead(status, headers)
    const failure = this.#headFailure(head, status)
    if (failure !== undefined) return this.#fail(attempt, failure)
    if (status >= 500 && !this.#relay.hasBegun) {
      const error: AttemptFailure = { kind: 'error-answer', status }
      // The upstream's own error says more than ours would when there is nowhere else to send the request.
      if (this.#verdict(error).kind === 'retry' && this.#admission.place() !== undefined) return this.#fail(attempt, error)
    }
    this.#relay.head(status, headers)
  }

  #headFailure (head: ResponseHead, status: number): AttemptFailure | undefined {
    if (head.attempt !== undefined && head.attempt !== this.#call.head.attempt) return { kind: 'uncertain', reason: 'garbled' }
    if (head.isNotExecuted || status === MISDIRECTED) return { kind: 'not-run', reason: status === 503 ? 'full' : 'declined' }
    if (head.isEncoded || (status < 300 && !head.isSealed)) return { kind: 'uncertain', reason: 'garbled' }
    if (this.#relay.hasBegun && status !== this.#relay.status) return { kind: 'error-answer', status }
    return undefined
  }

  #onData (attempt: Attempt, chunk: Buffer): void {
    this.#signOfLife(attempt)
    if (attempt.isOver) return
    if (!attempt.hasBody) this.#onFirstByte(attempt)
    if (this.#relay.data(chunk)) return
    attempt.exchange?.pause()
    this.#relay.onDrain(() => { attempt.exchange?.resume() })
  }

  #onFirstByte (attempt: Attempt): void {
    attempt.hasBody = true
    this.#ctx.placement.recordFirstEvent(attempt.run, this.#now)
    this.#ctx.mesh.touch()
    this.#firstByteMs ??= this.#now - this.#call.arrivedAt
  }

  #onEnd (attempt: Attempt): void {
    if (attempt.isOver) return
    if (!this.#relay.end()) return this.#fail(attempt, { kind: 'uncertain', reason: 'garbled' })
    this.#close(attempt, 'answered')
    this.#finish('answered', '')
  }

  #onFailed (attempt: Attempt, err: Error, sent: boolean): void {
    if (attempt.isOver) return
    this.#lastReason = err.message
    this.#fail(attempt, sent ? { kind: 'uncertain', reason: 'reset' } : { kind: 'not-run', reason: 'unreachable' })
  }

  #signOfLife (attempt: Attempt): void {
    this.#lastByteAt = this.#now
    const record = this.#ctx.placement.record(attempt.upstream.id)
    if (record !== undefined) record.lastActivityAt = this.#now
  }

  #verdict (failure: AttemptFailure): ReturnType<typeof decideAttempt> {
    const { route, service } = this.#call
    return decideAttempt({
      repeatability: route.repeatability,
      failure,
      responseStarted: this.#relay.hasBegun,
      attemptsLeft: route.maxAttempts - this.#attempts,
      timeLeftMs: this.#timeLeft,
      retryBudgetAvailable: this.#ctx.retries.canAcquire(service, this.#budgetOwner, this.#now)
    })
  }

  #fail (attempt: Attempt, failure: AttemptFailure): void {
    const verdict = this.#verdict(failure)
    this.#close(attempt, failure.kind === 'error-answer' ? 'error' : failure.reason)
    this.#noteUpstream(attempt, failure)
    if (failure.kind !== 'not-run') this.#mayHaveRun = true
    if (failure.kind !== 'error-answer') this.#lastReason = failure.reason
    this.#ctx.requestLog.write('an attempt failed', {
      request: this.#call.head.attempt,
      upstream: attempt.upstream.id,
      failure: failure.kind,
      reason: this.#lastReason,
      afterMs: Math.round(this.#now - attempt.startedAt),
      next: verdict.kind
    })
    switch (verdict.kind) {
      case 'retry':
      case 'resume':
        return this.#again()
      case 'refuse':
        return this.#refuse({ status: 503, reason: this.#lastReason, returnMs: NO_UPSTREAM_RETURN_MS })
      case 'relay':
      case 'answer-unknown':
        return this.#answerUnknown()
      case 'break-off':
        this.#call.res.destroy()
        return this.#finish('broken-off', this.#lastReason)
    }
  }

  /** Sends the request once more; where no upstream can take it, ends it by what may have happened before. */
  #again (): void {
    const placement = this.#admission.place()
    if (placement !== undefined && this.#ctx.retries.tryAcquire(this.#call.service, this.#budgetOwner, this.#now)) return this.#send(placement)
    if (this.#relay.hasBegun) {
      this.#call.res.destroy()
      return this.#finish('broken-off', this.#lastReason)
    }
    if (!this.#mayHaveRun) return this.#refuse({ status: 503, reason: this.#lastReason, returnMs: NO_UPSTREAM_RETURN_MS })
    this.#answerUnknown()
  }

  /** Ends the request with an answer that promises nothing: it may have run. */
  #answerUnknown (): void {
    sendRefusal(this.#call.res, this.#ctx.headers, { status: 502, reason: this.#lastReason })
    this.#finish('unknown', this.#lastReason)
  }

  #noteUpstream (attempt: Attempt, failure: AttemptFailure): void {
    const { upstream } = attempt
    this.#noteCrash(upstream.id, failure)
    const avoidMs = avoidanceOf(failure)
    if (avoidMs === 0) return
    this.#ctx.placement.avoid(upstream.id, this.#now + avoidMs)
    this.#ctx.mesh.touch()
  }

  #noteCrash (upstream: UpstreamId, failure: AttemptFailure): void {
    if (failure.kind === 'uncertain' && failure.reason === 'reset') this.#ctx.crashSuspects.recordBrokenConnection(this.#print(), upstream, this.#now)
    if (failure.kind === 'not-run' && failure.reason === 'unreachable') this.#ctx.crashSuspects.recordUnreachable(upstream, this.#now)
  }

  /** Names the request by what it asks and for whom. */
  #print (): RequestHash {
    const { workspace, method, target, body } = this.#call
    return this.#ctx.hash(`${workspace ?? 'public'} ${method} ${target} ${body.toString('latin1')}`)
  }

  /** Ends an attempt; a run that may still be going on is cancelled. */
  #close (attempt: Attempt, outcome: string): void {
    if (attempt.isOver) return
    attempt.isOver = true
    this.#ctx.placement.endRun(attempt.run)
    this.#ctx.mesh.touch()
    this.#ctx.metrics.attempts.inc({ service: this.#call.service, outcome })
    if (outcome !== 'answered') this.#endExchange(attempt, outcome)
    if (this.#attempt === attempt) this.#attempt = undefined
  }

  /** Closes the connection of an attempt, or leaves it open where the upstream has declined in an orderly way. */
  #endExchange ({ exchange }: Attempt, outcome: string): void {
    const cancel = (): void => { exchange?.cancel(new Error(`the attempt is over: ${outcome}`)) }
    if (outcome === 'full' || outcome === 'declined') this.#ctx.clock.after(DECLINE_END_MS, cancel)
    else cancel()
  }

  #refuse (refusal: Refusal): void {
    // A refusal by 503 promises that nothing ran; a request that may have run gets an answer that promises nothing.
    const status = this.#mayHaveRun ? 502 : refusal.status
    sendRefusal(this.#call.res, this.#ctx.headers, { ...refusal, status })
    this.#finish('refused', refusal.reason)
  }

  #onTimeout (): void {
    if (this.#isDone) return
    const attempt = this.#attempt
    if (attempt !== undefined) this.#close(attempt, 'timeout')
    if (this.#relay.hasBegun) this.#call.res.destroy()
    else sendRefusal(this.#call.res, this.#ctx.headers, { status: 504, reason: 'timeout' })
    this.#finish('timeout', 'timeout')
  }

  #onCallerGone (): void {
    if (this.#isDone) return
    const attempt = this.#attempt
    if (attempt !== undefined) this.#close(attempt, 'caller-gone')
    this.#finish('caller-gone', 'the caller closed its connection')
  }

  #finish (outcome: Outcome, reason: string): void {
    if (this.#isDone) return
    this.#isDone = true
    this.isWaiting = false
    this.#timer.close()
    const call = this.#call
    const { metrics } = this.#ctx
    metrics.requests.inc({ service: call.service, outcome })
    if (this.#firstByteMs !== undefined) metrics.firstByte.observe({ service: call.service }, this.#firstByteMs / 1000)
    this.#ctx.requestLog.write('a request ended', {
      request: call.head.attempt,
      route: call.route.id,
      workspace: call.workspace ?? 'public',
      outcome,
      reason,
      status: call.res.statusCode,
      upstreams: [...this.#admission.tried].join(','),
      revision: call.revision,
      pressure: Number((this.#placement?.pressure ?? -1).toFixed(2)),
      waitedMs: Math.round(this.#waitedMs),
      expectedMs: Math.round(this.#placement?.expectedMs ?? -1),
      tokens: this.#admission.tokens,
      readTokens: this.#placement?.readTokens ?? -1,
      rereadTokens: this.#placement?.rereadTokens ?? -1,
      copiedTokens: this.#placement?.copiedTokens ?? -1,
      shareUse: Number(this.#admission.shareUse.toFixed(2)),
      firstMs: Math.round(this.#firstByteMs ?? -1),
      ms: Math.round(this.#now - call.arrivedAt)
    })
    this.onDone(this)
  }
}
