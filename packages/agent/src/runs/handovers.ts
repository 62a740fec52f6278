/** Handles handed-over requests: declines those whose pull has expired or that the agent cannot accept, looks up keys, starts the rest. */
import { assertNever, createLog, type Millis, onEvent, type RequestId, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { FleetLink, LinkHub, MembershipService, ProcessContext } from '@fuchsiaworks/fleet'
import type { KeysCommand, ScopedKey } from '@fuchsiaworks/policy'
import type { ServiceConfig } from '@fuchsiaworks/settings'
import type { DeclinedMessage, HandoverMessage } from '@fuchsiaworks/wire'
import type { KeyQueries } from '../keys/keyQueries.js'
import type { KeyService } from '../keys/keyService.js'
import type { LimitService } from '../limits/limitService.js'
import type { StartGate } from './startGate.js'
import { scopedKeyOf } from './keyedResponses.js'
import { keyConflict, keyRefusals, responseNotStored, sendProblem, sendResponse } from './localResponses.js'
import type { Runner } from './runner.js'
import type { Slots } from './slots.js'

const log = createLog('handovers')

/** A request that has not started: it waits for the start gate, for a query about its key or for the first run of its key. */
interface PendingHandover {
  readonly link: FleetLink
  readonly handover: HandoverMessage
  /** Time from which it may no longer start, because its router may have withdrawn it. */
  readonly startDeadline: Millis
  /** False once its slot was released while it waits for the first run of its key. */
  hasSlot: boolean
}

/** Receives handovers and tracks them until they start or end here. */
export class Handovers {
  readonly #pending = new Map<RequestId, PendingHandover>()

  constructor (
    readonly context: ProcessContext,
    hub: LinkHub,
    readonly membership: MembershipService,
    readonly limits: LimitService,
    readonly slots: Slots,
    readonly keys: KeyService,
    readonly keyQueries: KeyQueries,
    readonly runner: Runner,
    readonly gate: StartGate
  ) {
    hub.dispatcher.on('handover', (link, message) => { this.#onHandover(link, message) })
    hub.dispatcher.on('cancel', (link, message) => { this.#onCancel(link, message.request) })
    keys.onCommand(command => { this.#execute(command) })
    onEvent(hub.closed, log, ({ link }) => { this.#onLinkClosed(link) })
  }

  #onHandover (link: FleetLink, handover: HandoverMessage): void {
    const { request, pull } = handover
    const startDeadline = this.slots.claim(pull, request)
    if (startDeadline === undefined) return this.#sendDeclined(link, request, 'expired')
    const declineReason = this.#declineReasonOf(handover)
    if (declineReason !== undefined) {
      this.#sendDeclined(link, request, declineReason)
      return this.slots.release(request)
    }
    this.#pending.set(request, { link, handover, startDeadline, hasSlot: true })
    const scopedKey = scopedKeyOf(handover)
    if (scopedKey === undefined) return this.#start(request)
    const { clock } = this.context
    this.keys.report({ kind: 'key-presented', ...scopedKey, request, fingerprint: handover.fingerprint, now: clock.now(), wall: clock.wall() })
  }

  #declineReasonOf (handover: HandoverMessage): DeclinedMessage['reason'] | undefined {
    if (this.membership.workState !== 'open' || this.limits.capacity.state === 'down') return 'not-accepting'
    if (this.runner.serviceOf(handover) === undefined) return 'not-accepting'
    return undefined
  }

  #execute (command: KeysCommand): void {
    const pending = this.#pending.get(command.request)
    if (pending === undefined) return
    const { link } = pending
    switch (command.kind) {
      case 'run': return this.#startKeyed(pending)
      case 'wait': return this.#releaseSlot(pending)
      case 'ask': return this.keyQueries.send(link, command)
      case 'replay': return this.#respond(pending, () => { sendResponse(link, command.request, command.answer) })
      case 'answer-unknown': return this.#respond(pending, () => { this.#sendDeclined(link, command.request, 'key-unknown') })
      case 'response-not-stored': return this.#respond(pending, () => { sendProblem(link, command.request, responseNotStored) })
      case 'conflict': return this.#respond(pending, () => { sendProblem(link, command.request, keyConflict) })
      case 'refuse': return this.#respond(pending, () => { this.#refuse(pending, command.reason) })
      default: return assertNever(command)
    }
  }

  #refuse ({ link, handover }: PendingHandover, reason: Extract<KeysCommand, { kind: 'refuse' }>['reason']): void {
    if (reason === 'not-home') return this.#sendDeclined(link, handover.request, 'not-home')
    sendProblem(link, handover.request, keyRefusals[reason])
  }

  /** Frees the slot of a request that waits while its key runs for another one. */
  #releaseSlot (pending: PendingHandover): void {
    if (!pending.hasSlot) return
    pending.hasSlot = false
    this.slots.release(pending.handover.request)
  }

  /**
   * Starts a request whose key is free to run. Declines it, so that its router requeues it, if the agent stopped accepting while the
   * request waited or if its slot was released.
   */
  #startKeyed (pending: PendingHandover): void {
    const declineReason = pending.hasSlot ? this.#declineReasonOf(pending.handover) : 'expired'
    if (declineReason === undefined) return this.#start(pending.handover.request)
    this.#decline(pending, declineReason)
  }

  #start (request: RequestId): void {
    const pending = this.#pending.get(request)
    const service = pending === undefined ? undefined : this.runner.serviceOf(pending.handover)
    if (pending === undefined || service === undefined) return
    this.gate.enter({
      request,
      alone: pending.handover.alone,
      start: () => { this.#startNow(pending, service) },
      decline: () => { this.#decline(pending, 'not-accepting') }
    })
  }

  #startNow (pending: PendingHandover, service: ServiceConfig): void {
    if (this.context.clock.now() >= pending.startDeadline) return this.#decline(pending, 'expired')
    this.#pending.delete(pending.handover.request)
    this.runner.run(pending.link, pending.handover, service)
  }

  /** Declines a request that was about to run; the next request that waits for its key may run instead. */
  #decline (pending: PendingHandover, reason: DeclinedMessage['reason']): void {
    const { handover, link } = pending
    const scopedKey = scopedKeyOf(handover)
    this.#pending.delete(handover.request)
    this.#sendDeclined(link, handover.request, reason)
    this.slots.release(handover.request)
    if (scopedKey !== undefined) this.keys.report({ kind: 'run-failed', ...scopedKey, now: this.context.clock.now(), outcome: 'not-run' })
  }

  #respond (pending: PendingHandover, sendReply: () => void): void {
    const { request } = pending.handover
    this.#pending.delete(request)
    sendReply()
    this.slots.release(request)
  }

  #sendDeclined (link: FleetLink, request: RequestId, reason: DeclinedMessage['reason']): void {
    this.context.metrics.count('handovers.declined', 1, { reason })
    link.send({ kind: 'declined', request, reason })
  }

  #onCancel (link: FleetLink, request: RequestId): void {
    const pending = this.#pending.get(request)
    if (pending?.link === link) this.#drop(pending)
    else this.runner.cancel(link, request)
  }

  #onLinkClosed (link: FleetLink): void {
    for (const pending of this.#pending.values()) {
      if (pending.link === link) this.#drop(pending)
    }
  }

  /** Drops a request that has not started, because its caller or its router is gone. */
  #drop ({ handover }: PendingHandover): void {
    const { request } = handover
    const scopedKey = scopedKeyOf(handover)
    this.#pending.delete(request)
    if (scopedKey !== undefined) this.#releaseKey(scopedKey, request)
    this.gate.leave(request)
    this.slots.release(request)
  }

  /**
   * Reports a dropped request to the keys policy. One at the start gate was to run for its key, so the run is reported as `not-run`
   * and the next waiter may run; any other request was a waiter itself.
   */
  #releaseKey (scopedKey: ScopedKey, request: RequestId): void {
    const now = this.context.clock.now()
    if (!this.gate.isWaiting(request)) return this.keys.report({ kind: 'waiter-gone', ...scopedKey, request })
    this.keys.report({ kind: 'run-failed', ...scopedKey, now, outcome: 'not-run' })
  }
}

/** Service key of the handovers. */
export const handoversKey: ServiceKey<Handovers> = serviceKey('handovers')
