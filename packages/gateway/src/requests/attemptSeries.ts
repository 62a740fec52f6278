/** Places one request, sends it to upstreams one after the other, and retries it where that is allowed. */
import { asId, createLog, type Millis, toError, type UpstreamId } from '@fuchsiaworks/kernel'
import { type AttemptFailure, decideAttempt, decideCrashSuspect, type Placement, remainingRefusalMs, remainingWait, type QueuedRequest, type StreamVersionDecision } from '@fuchsiaworks/policy'
import type { ExchangeReport } from '@fuchsiaworks/upstreams'
import { exchangeFields } from '../log/responseLog.js'
import { Admission } from './admission.js'
import { Attempt } from './attempt.js'
import type { AttemptScope } from './attemptScope.js'
import type { CallerRequest } from './callerRequest.js'
import { CallerTraits } from './callerTraits.js'
import type { FlowContext } from './flowContext.js'
import { type Refusal, TOO_LATE } from './refusals.js'
import type { ResponseRelay } from './responseRelay.js'
import type { SeriesHandlers } from './seriesHandlers.js'
import { StreamOrigin } from './streamOrigin.js'
import { QueuedRequestHandle } from './queuedRequest.js'
import { recordAttemptFailure } from './upstreamFailure.js'

const log = createLog('gateway')

/** The attempts of one request, in order. */
export class AttemptSeries {
  /** True while the request waits for an upstream with room. */
  isWaiting = false
  /** Time from the arrival of the request to its last attempt. */
  waitedMs: Millis = 0
  /** Time until the deadline when the last attempt was sent; undefined when there was none. */
  leftMs: Millis | undefined
  /** Time from the arrival of the request to the first byte of a response; undefined before it. */
  firstByteMs: Millis | undefined
  /** True when an attempt that failed may have run. */
  mayHaveRun = false
  /** What is known of the last response and its connection; undefined while nothing was sent. */
  report: ExchangeReport | undefined
  /** The last decision on where to send the request. */
  placement: Placement | undefined
  /** Software versions of the upstreams of all attempts, in order. */
  readonly versions: string[] = []
  readonly admission: Admission
  readonly #ctx: FlowContext
  readonly #request: CallerRequest
  readonly #relay: ResponseRelay
  readonly #origin: StreamOrigin
  readonly #traits: CallerTraits
  readonly #scope: AttemptScope
  readonly #deadlineAt: Millis
  readonly #handlers: SeriesHandlers
  /** The request's entry in the queue; undefined without the setting `queue`. */
  readonly #queued: QueuedRequestHandle | undefined
  #attempt: Attempt | undefined
  #failureReason = ''
  #lastByteAt: Millis = 0
  /** True while peer gateways are asked at which version the stream has begun. */
  #isLookingUp = false
  /** True when the request tests whether a suspected prompt part still crashes upstreams. */
  #isTrial = false

  /**
   * @param ctx - services of the process
   * @param request - the request
   * @param relay - forwards the response
   * @param deadlineAt - time by which the response must be complete
   * @param handlers - end the request
   */
  constructor (ctx: FlowContext, request: CallerRequest, relay: ResponseRelay, deadlineAt: Millis, handlers: SeriesHandlers) {
    this.#ctx = ctx
    this.#request = request
    this.#relay = relay
    this.#deadlineAt = deadlineAt
    this.#handlers = handlers
    this.admission = new Admission(ctx, request)
    this.#origin = new StreamOrigin(ctx, request, this.admission)
    this.#traits = new CallerTraits(ctx.hash, request)
    this.#queued = ctx.queue && new QueuedRequestHandle(ctx, ctx.queue, request, this.admission, deadlineAt, {
      setWaiting: isWaiting => { this.isWaiting = isWaiting },
      hasEnded: () => handlers.isDone() || this.#refuseSuspect(),
      send: placement => {
        this.placement = placement
        this.#send(placement)
      },
      refuse: handlers.onRefused
    })
    this.#scope = { ctx, request, relay, admission: this.admission, origin: this.#origin, traits: this.#traits }
  }

  /** Tries to place and send the request for the first time. */
  start (): void {
    if (this.#refuseSuspect()) return
    if (this.#origin.isTakenUp) return this.#takeUp()
    this.#recordDemand()
    this.trySend()
  }

  /** Properties that determine the order in which waiting requests are sent. */
  get queueEntry (): QueuedRequest {
    return { shareUse: this.admission.shareUse, arrivedAt: this.#request.arrivedAt, latencyTargetMs: this.#request.route.latencyTargetMs }
  }

  /** Sends the request if an upstream has room for it; otherwise keeps it waiting or refuses it. */
  trySend (): void {
    if (this.#handlers.isDone() || this.#isLookingUp || this.versions.length > 0 || this.#refuseSuspect()) return
    if (this.#queued !== undefined) return this.#queued.open()
    const placement = this.admission.place()
    this.placement = placement
    const refusal = placement === undefined ? this.admission.noUpstream() : this.admission.check(placement)
    if (placement !== undefined && refusal === undefined) return this.#send(placement)
    this.isWaiting = remainingWait(this.queueEntry, this.#now) > (placement === undefined ? this.admission.msUntilUsable : 0)
    if (!this.isWaiting && refusal !== undefined) this.#handlers.onRefused(refusal)
  }

  /** Removes the request from the queue, because it has ended. */
  leaveQueue (): void {
    this.isWaiting = false
    this.#queued?.leave()
  }

  /** Refuses the request if it still waits, because the process ends. */
  refuseWaiting (refusal: Refusal): void {
    if (this.isWaiting) this.#handlers.onRefused(refusal)
  }

  /** Ends the current attempt, if any. */
  endAttempt (outcome: string): void {
    this.report = this.#attempt?.report ?? this.report
    this.#attempt?.end(outcome)
    this.#attempt = undefined
  }

  /** Retries the request at another upstream when its upstream is silent, or has not completed an event, for too long; keeps the attempt when there is no other upstream. */
  checkSilence (isUpstreamSilent: (upstream: UpstreamId) => boolean): void {
    const attempt = this.#attempt
    if (attempt === undefined || attempt.isOver || this.#request.route.repeatability === 'once') return
    const silence = attempt.silence(this.#lastByteAt)
    if (silence === 'none') return
    if (silence === 'silent' && this.admission.isEngine && !isUpstreamSilent(attempt.upstream.id)) return
    const silent: AttemptFailure = { kind: 'uncertain', reason: 'silent' }
    const next = this.#decideNext(silent).kind
    if ((next === 'retry' || next === 'resume') && this.admission.place() !== undefined) this.#failAttempt(attempt, silent)
  }

  /** Cancels an attempt to which no response has begun, once its request is found to crash upstreams. */
  cancelSuspect (): void {
    const attempt = this.#attempt
    if (attempt === undefined || attempt.firstByteAt !== undefined || this.#isTrial) return
    const retryAfterMs = remainingRefusalMs(this.#ctx.crashSuspects, this.#traits, this.#now)
    if (retryAfterMs === 0) return
    this.endAttempt('crashes-upstreams')
    this.mayHaveRun = true
    this.#handlers.onRefused({ status: 503, reason: 'crashes-upstreams', retryAfterMs })
  }

  /** Ends the attempt when its upstream sends bytes that are no response, such as a header line without end. */
  checkOverhead (): void {
    const attempt = this.#attempt
    if (attempt?.hasExcessiveOverhead === true) this.#failAttempt(attempt, { kind: 'uncertain', reason: 'garbled' })
  }

  /** Ids of the prompt parts that other requests may share, for the log. */
  promptPartIds (): string {
    return this.#request.head.prompt?.parts.slice(0, -1).map(({ id }) => id).join(',') ?? ''
  }

  get #now (): Millis {
    return this.#ctx.clock.now()
  }

  get #timeLeft (): Millis {
    return this.#deadlineAt - this.#now
  }

  /** Workspace to which retries are charged; all requests of public routes share one entry. */
  get #retryBudgetKey (): NonNullable<CallerRequest['workspace']> {
    return this.#request.workspace ?? asId('public')
  }

  /** Counts the request with the policies of the service to which it is routed. */
  #recordDemand (): void {
    this.#ctx.retries.recordFirstAttempt(this.#request.service, this.#retryBudgetKey, this.#now)
    this.admission.recordDemand()
  }

  /** Continues a stream where it has begun, and asks peer gateways for one that is not known here. */
  #takeUp (): void {
    const decision = this.#origin.decide()
    if (decision.kind !== 'unknown') return this.#applyOrigin(decision)
    this.isWaiting = true
    this.#isLookingUp = true
    this.#origin.ask().then(answer => {
      this.#isLookingUp = false
      if (this.#handlers.isDone()) return
      this.#applyOrigin(answer)
    }, (err: unknown) => {
      log.error('stream not resumed: internal error', { reason: toError(err).stack ?? String(err) })
      this.#handlers.onInternalError()
    })
  }

  #applyOrigin (decision: StreamVersionDecision): void {
    const refusal = this.#origin.apply(decision)
    this.#recordDemand()
    if (refusal !== undefined) return this.#handlers.onRefused(this.admission.noUpstream(refusal))
    this.trySend()
  }

  #send (placement: Placement): void {
    const upstream = this.#ctx.fleet.view.upstreams.get(placement.upstream)
    if (upstream === undefined) return this.#handlers.onRefused(this.admission.noUpstream())
    if (this.#timeLeft < 1) return this.#handlers.onRefused(TOO_LATE)
    const attempt: Attempt = new Attempt(this.#scope, upstream, placement, {
      onActivity: () => { this.#lastByteAt = this.#now },
      onFirstByte: () => { this.firstByteMs ??= this.#now - this.#request.arrivedAt },
      onAnswered: () => {
        this.report = attempt.report
        if (this.#attempt === attempt) this.#attempt = undefined
        this.#queued?.recordAnswered((attempt.firstByteAt ?? this.#now) - attempt.startedAt, this.#now - attempt.startedAt)
        this.#handlers.onAnswered()
      },
      onFailed: failure => { this.#failAttempt(attempt, failure) },
      canReplace: error => this.#decideNext(error).kind === 'retry' && this.admission.place() !== undefined
    })
    this.#attempt = attempt
    if (this.versions.length === 0) this.#queued?.recordStart()
    this.versions.push(upstream.version ?? 'none')
    this.isWaiting = false
    this.waitedMs = this.#now - this.#request.arrivedAt
    this.leftMs = this.#timeLeft
    attempt.send(this.leftMs)
  }

  #decideNext (failure: AttemptFailure): ReturnType<typeof decideAttempt> {
    const { route, service } = this.#request
    return decideAttempt({
      repeatability: this.#relay.canResume ? route.repeatability : 'once',
      failure,
      responseStarted: this.#relay.hasStarted,
      attemptsLeft: route.maxAttempts - this.versions.length,
      timeLeftMs: this.#timeLeft,
      retryBudgetAvailable: this.#ctx.retries.canAcquire(service, this.#retryBudgetKey, this.#now)
    })
  }

  #failAttempt (attempt: Attempt, failure: AttemptFailure): void {
    const decision = this.#decideNext(failure)
    this.report = attempt.report
    attempt.end(failure.kind === 'error-answer' ? 'error' : failure.reason)
    if (this.#attempt === attempt) this.#attempt = undefined
    recordAttemptFailure(this.#ctx, attempt, failure, this.#traits)
    if (failure.kind !== 'not-run') this.mayHaveRun = true
    if (failure.kind !== 'error-answer') this.#failureReason = failure.reason
    this.#ctx.requestLog.write('attempt failed', {
      request: this.#request.head.attempt,
      upstream: attempt.upstream.id,
      version: attempt.upstream.version ?? 'none',
      failure: failure.kind,
      reason: this.#failureReason,
      afterMs: Math.round(this.#now - attempt.startedAt),
      firstByteAgeMs: attempt.firstByteAt === undefined ? -1 : Math.round(this.#now - attempt.firstByteAt),
      parts: this.promptPartIds(),
      ...exchangeFields(this.report),
      next: decision.kind
    })
    switch (decision.kind) {
      case 'retry':
      case 'resume':
        return this.#resend()
      case 'refuse':
        return this.#handlers.onRefused(this.admission.noUpstream(this.#failureReason))
      case 'relay':
      case 'answer-unknown':
        return this.#handlers.onUnknown(this.#failureReason)
      case 'break-off':
        return this.#handlers.onBrokenOff(this.#failureReason)
    }
  }

  /** Retries the request; without a usable upstream or retry budget, ends it according to whether it may have run. */
  #resend (): void {
    if (this.#refuseSuspect()) return
    const placement = this.#isTrial ? undefined : this.admission.place()
    if (placement !== undefined && this.#ctx.retries.tryAcquire(this.#request.service, this.#retryBudgetKey, this.#now)) return this.#send(placement)
    if (this.#relay.hasStarted) return this.#handlers.onBrokenOff(this.#failureReason)
    if (!this.mayHaveRun) return this.#handlers.onRefused(this.admission.noUpstream(this.#failureReason))
    this.#handlers.onUnknown(this.#failureReason)
  }

  /** Refuses the request when it is known to crash upstreams; a trial, once granted, stays so. */
  #refuseSuspect (): boolean {
    const { crashSuspects, hash, mesh } = this.#ctx
    if (this.#isTrial || crashSuspects.accusations.size === 0) return false
    const decision = decideCrashSuspect(crashSuspects, hash, mesh.view(), this.#traits, this.#now)
    if (decision.kind === 'refuse') this.#handlers.onRefused({ status: 503, reason: 'crashes-upstreams', retryAfterMs: decision.retryAfterMs })
    this.#isTrial = decision.kind === 'trial'
    return decision.kind === 'refuse'
  }
}
