/** Lifecycle of one request from its arrival to its end: deadline, departure of the caller, refusal, log and metrics. */
import type { Timer } from '@fuchsiaworks/kernel'
import { exchangeFields } from '../log/responseLog.js'
import { AttemptSeries } from './attemptSeries.js'
import { type CallerRequest, deadlineOf } from './callerRequest.js'
import type { FlowContext } from './flowContext.js'
import { type Refusal, sendRefusal } from './refusals.js'
import { ResponseRelay } from './responseRelay.js'

/** Outcome of a request in the log and metrics. */
type Outcome = 'answered' | 'refused' | 'unknown' | 'broken-off' | 'timeout' | 'caller-gone'

/** Handles one request until it ends. */
export class CallerExchange {
  /** Placement of the request and its attempts. */
  readonly attempts: AttemptSeries
  readonly #ctx: FlowContext
  readonly #request: CallerRequest
  readonly #relay: ResponseRelay
  readonly #timer: Timer
  #isDone = false

  /**
   * @param ctx - services of the process
   * @param request - the request
   * @param onDone - called once when the request has ended
   */
  constructor (ctx: FlowContext, request: CallerRequest, readonly onDone: (exchange: CallerExchange) => void) {
    this.#ctx = ctx
    this.#request = request
    const { route, head, res } = request
    this.#relay = new ResponseRelay(res, route.isStream, head.lastEventId, route.repeatability === 'resumable' ? ctx.headers : undefined)
    const deadlineAt = deadlineOf(route, head, request.arrivedAt)
    this.attempts = new AttemptSeries(ctx, request, this.#relay, deadlineAt, {
      isDone: () => this.#isDone,
      onAnswered: () => { this.#finish('answered', '') },
      onRefused: refusal => { this.#refuse(refusal) },
      onUnknown: reason => { this.#respondUnknown(reason) },
      onBrokenOff: reason => { this.#breakOff(reason) },
      onInternalError: () => { this.abort() }
    })
    this.#timer = ctx.clock.after(Math.max(0, deadlineAt - ctx.clock.now()), () => { this.#onTimeout() })
    res.on('close', () => { this.#onCallerGone() })
  }

  /** Tries to place and send the request for the first time. */
  start (): void {
    this.attempts.start()
  }

  /** True while the request waits for an upstream with room. */
  get isWaiting (): boolean {
    return this.attempts.isWaiting
  }

  /** Aborts the request because the process shuts down. */
  abort (): void {
    if (this.#isDone) return
    this.attempts.endAttempt('aborted')
    this.#breakOff('process shut down')
  }

  #breakOff (reason: string): void {
    this.#relay.breakOff()
    this.#finish('broken-off', reason)
  }

  /** Responds with 502: the request may or may not have run. */
  #respondUnknown (reason: string): void {
    if (this.#relay.hasStarted) return this.#breakOff(reason)
    sendRefusal(this.#request.res, this.#ctx.headers, { status: 502, reason })
    this.#finish('unknown', reason)
  }

  #refuse (refusal: Refusal): void {
    if (this.#relay.hasStarted) return this.#breakOff(refusal.reason)
    // Status 503 states that the request did not run; if it may have run, the caller must get 502 instead.
    const status = this.attempts.mayHaveRun ? 502 : refusal.status
    sendRefusal(this.#request.res, this.#ctx.headers, { ...refusal, status })
    this.#finish('refused', refusal.reason)
  }

  #onTimeout (): void {
    if (this.#isDone) return
    this.attempts.endAttempt('timeout')
    if (this.#relay.hasStarted) this.#relay.breakOff()
    else sendRefusal(this.#request.res, this.#ctx.headers, { status: 504, reason: 'timeout' })
    this.#finish('timeout', 'timeout')
  }

  #onCallerGone (): void {
    if (this.#isDone) return
    this.attempts.endAttempt('caller-gone')
    this.#finish('caller-gone', 'connection closed by the caller')
  }

  #finish (outcome: Outcome, reason: string): void {
    if (this.#isDone) return
    this.#isDone = true
    this.attempts.leaveQueue()
    this.#timer.close()
    const { service } = this.#request
    const { firstByteMs } = this.attempts
    const { metrics } = this.#ctx
    metrics.requests.inc({ service, outcome })
    if (firstByteMs !== undefined) metrics.firstByte.observe({ service }, firstByteMs / 1000)
    this.#writeLog(outcome, reason)
    this.onDone(this)
  }

  #writeLog (outcome: Outcome, reason: string): void {
    const request = this.#request
    const { admission, placement, versions, waitedMs, leftMs, firstByteMs, report } = this.attempts
    this.#ctx.requestLog.write('request ended', {
      request: request.head.attempt,
      route: request.route.id,
      workspace: request.workspace ?? 'public',
      outcome,
      reason,
      status: request.res.statusCode,
      upstreams: [...admission.tried].join(','),
      versions: versions.join(','),
      resumes: request.head.resumes ?? '',
      lastEventId: request.head.lastEventId ?? -1,
      parts: this.attempts.promptPartIds(),
      revision: request.revision,
      pressure: Number((placement?.pressure ?? -1).toFixed(2)),
      zoneDecision: placement?.zoneDecision?.reason ?? '',
      ownZonePressure: Number((placement?.zoneDecision?.ownPressure ?? -1).toFixed(2)),
      acceptedBy: request.acceptedBy ?? 'self',
      unreadMs: Math.round(request.unreadMs),
      waitedMs: Math.round(waitedMs),
      leftMs: Math.round(leftMs ?? -1),
      expectedMs: Math.round(placement?.expectedMs ?? -1),
      slowness: Number((placement?.slowness ?? -1).toFixed(2)),
      reportAgeMs: Math.round(placement?.reportAgeMs ?? -1),
      tokens: admission.chargedTokens,
      readTokens: placement?.readTokens ?? -1,
      rereadTokens: placement?.rereadTokens ?? -1,
      copiedTokens: placement?.copiedTokens ?? -1,
      shareUse: Number(admission.shareUse.toFixed(2)),
      firstMs: Math.round(firstByteMs ?? -1),
      ms: Math.round(this.#ctx.clock.now() - request.arrivedAt),
      ...exchangeFields(report),
      forwardedBytes: this.#relay.forwardedBytes
    }, outcome === 'refused' ? 'refusal' : 'request')
  }
}
