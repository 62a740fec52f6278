/** A request in its relation to the queue: what the queue needs to know of it, and its entry. */
import { asId, type Millis } from '@fuchsiaworks/kernel'
import type { AdmissionRequest, Placement, QueueEntry } from '@fuchsiaworks/policy'
import type { Admission } from './admission.js'
import type { CallerRequest } from './callerRequest.js'
import type { FlowContext } from './flowContext.js'
import type { Refusal } from './refusals.js'
import type { QueueOwner, RequestQueue } from './requestQueue.js'

/** What the queue does with the request. */
export interface QueuedRequestActions {
  readonly setWaiting: (isWaiting: boolean) => void
  /** Returns true when the request has ended or must be refused for another reason than capacity, which it then has been. */
  readonly hasEnded: () => boolean
  readonly send: (placement: Placement) => void
  readonly refuse: (refusal: Refusal) => void
}

/** The entry of one request in the queue. */
export class QueuedRequestHandle {
  readonly #ctx: FlowContext
  readonly #queue: RequestQueue
  readonly #request: CallerRequest
  readonly #admission: Admission
  readonly #deadlineAt: Millis
  readonly #actions: QueuedRequestActions
  #admissionRequest: AdmissionRequest | undefined
  #entry: QueueEntry<QueueOwner> | undefined

  /**
   * @param ctx - services of the process
   * @param queue - the queue
   * @param request - the request
   * @param admission - decides whether the request may be sent now
   * @param deadlineAt - time by which the response must be complete
   * @param actions - start or refuse the request
   */
  constructor (ctx: FlowContext, queue: RequestQueue, request: CallerRequest, admission: Admission, deadlineAt: Millis, actions: QueuedRequestActions) {
    this.#ctx = ctx
    this.#queue = queue
    this.#request = request
    this.#admission = admission
    this.#deadlineAt = deadlineAt
    this.#actions = actions
  }

  /** Starts the request, lets it wait or refuses it. */
  open (): void {
    const { placementRequest, isEngine, isTakenUp, maxPressure } = this.#admission
    // Without any upstream to wait for, the request is refused at once.
    if (!this.#admission.hasVersion || this.#admission.msUntilUsable > this.#deadlineAt - this.#ctx.clock.now()) {
      return this.#actions.refuse(this.#admission.noUpstream())
    }
    const { refuse } = this.#actions
    this.#entry = this.#queue.open(this.#toAdmissionRequest(), { attempt: this.#request.head.attempt, placementRequest, isEngine, isTakenUp, maxPressure, tryStart: () => this.#tryStart(), refuse })
    if (this.#entry !== undefined) this.#actions.setWaiting(true)
  }

  /** Records that the request has been sent to its first upstream. */
  recordStart (): void {
    this.#queue.recordStart(this.#toAdmissionRequest())
  }

  /** Records how long the request took at its upstream. */
  recordAnswered (firstByteMs: Millis, totalMs: Millis): void {
    this.#queue.serviceTime(this.#request.route.id).record(firstByteMs, totalMs)
  }

  /** Removes the request from the queue. */
  leave (): void {
    if (this.#entry !== undefined) this.#queue.remove(this.#entry)
    this.#entry = undefined
  }

  #tryStart (): boolean {
    const { hasEnded, send, refuse } = this.#actions
    if (hasEnded()) return true
    const placement = this.#admission.place()
    if (placement !== undefined && this.#admission.check(placement) === undefined) send(placement)
    else if (placement !== undefined || this.#admission.hasVersion) return false
    else refuse(this.#admission.noUpstream())
    return true
  }

  #toAdmissionRequest (): AdmissionRequest {
    this.#admissionRequest ??= this.#createAdmissionRequest()
    return this.#admissionRequest
  }

  #createAdmissionRequest (): AdmissionRequest {
    const { service, route, body, arrivedAt, workspace } = this.#request
    const time = this.#queue.serviceTime(route.id)
    const ownPriority = workspace === undefined ? undefined : this.#ctx.fleet.view.table?.priorityByWorkspace?.get(workspace)
    return {
      service,
      workspace: workspace ?? asId('public'),
      route: route.id,
      priority: ownPriority ?? route.priority ?? 0,
      units: this.#admission.isEngine ? Math.max(1, this.#admission.chargedTokens) : 1,
      bytes: body.length,
      arrivedAt,
      deadlineAt: this.#deadlineAt,
      targetAt: arrivedAt + route.latencyTargetMs,
      firstMs: route.isStream ? time.firstByteMs : time.totalMs,
      serviceMs: time.totalMs
    }
  }
}
