/** Takes handed-over requests: checks that they may still start, looks up their keys, and starts or declines them. */
import { assertNever, createLog, type Millis, onEvent, type RequestId, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { FleetLink, LinkHub, MembershipService, ProcessContext } from '@fuchsiaworks/fleet'
import type { ScopedKey, KeysCommand } from '@fuchsiaworks/policy'
import type { ServiceConfig } from '@fuchsiaworks/settings'
import type { DeclinedMessage, HandoverMessage } from '@fuchsiaworks/wire'
import type { KeyAsks } from '../keys/keyAsks.js'
import type { KeyService } from '../keys/keyService.js'
import type { LimitService } from '../limits/limitService.js'
import type { StartGate } from './startGate.js'
import { keyNameOf } from './keyedAnswers.js'
import { answerNotKept, keyConflict, keyRefusals, sendAnswer, sendReplyProblem } from './replies.js'
import type { Runner } from './runner.js'
import type { Slots } from './slots.js'

const log = createLog('handovers')

/** A request that waits here for a slot or for the first run of its key. */
interface Held {
  readonly link: FleetLink
  readonly handover: HandoverMessage
  /** Reading after which it may no longer start, because its router may have given it up. */
  readonly startableUntil: Millis
  /** False once it has given its slot back, to wait for a run of its key. */
  slotTaken: boolean
}

/** The door through which requests come to the upstream. */
export class Handovers {
  readonly #held = new Map<RequestId, Held>()

  constructor (
    readonly context: ProcessContext,
    hub: LinkHub,
    readonly membership: MembershipService,
    readonly limits: LimitService,
    readonly slots: Slots,
    readonly keys: KeyService,
    readonly asks: KeyAsks,
    readonly runner: Runner,
    readonly gate: StartGate
  ) {
    hub.dispatcher.on('handover', (link, message) => { this.#onHandover(link, message) })
    hub.dispatcher.on('cancel', (link, message) => { this.#onCancel(link, message.request) })
    keys.onCommand(command => { this.#runKey(command) })
    onEvent(hub.closed, log, ({ link }) => { this.#dropLink(link) })
  }

  #onHandover (link: FleetLink, handover: HandoverMessage): void {
    const { request, pull } = handover
    const startableUntil = this.slots.take(pull, request)
    if (startableUntil === undefined) return this.#decline(link, request, 'expired')
    const refusal = this.#refusalOf(handover)
    if (refusal !== undefined) {
      this.#decline(link, request, refusal)
      return this.slots.release(request)
    }
    this.#held.set(request, { link, handover, startableUntil, slotTaken: true })
    const name = keyNameOf(handover)
    if (name === undefined) return this.#start(request)
    const { clock } = this.context
    this.keys.report({ kind: 'key-presented', ...name, request, fingerprint: handover.fingerprint, now: clock.now(), wall: clock.wall() })
  }

  #refusalOf (handover: HandoverMessage): DeclinedMessage['reason'] | undefined {
    if (this.membership.state !== 'open' || this.limits.capacity.state === 'down') return 'not-accepting'
    if (this.runner.serviceOf(handover) === undefined) return 'not-accepting'
    return undefined
  }

  #runKey (command: KeysCommand): void {
    const held = this.#held.get(command.request)
    if (held === undefined) return
    const { link } = held
    switch (command.kind) {
      case 'run': return this.#startKeyed(held)
      case 'wait': return this.#releaseSlot(held)
      case 'ask': return this.asks.ask(link, command)
      case 'replay': return this.#finish(held, () => { sendAnswer(link, command.request, command.answer) })
      case 'answer-unknown': return this.#finish(held, () => { this.#decline(link, command.request, 'key-unknown') })
      case 'response-not-stored': return this.#finish(held, () => { sendReplyProblem(link, command.request, answerNotKept) })
      case 'conflict': return this.#finish(held, () => { sendReplyProblem(link, command.request, keyConflict) })
      case 'refuse': return this.#finish(held, () => { this.#refuse(held, command.reason) })
      default: return assertNever(command)
    }
  }

  #refuse ({ link, handover }: Held, reason: Extract<KeysCommand, { kind: 'refuse' }>['reason']): void {
    if (reason === 'not-home') return this.#decline(link, handover.request, 'not-home')
    sendReplyProblem(link, handover.request, keyRefusals[reason])
  }

  /** The slot is not needed while the key runs for another request. */
  #releaseSlot (held: Held): void {
    if (!held.slotTaken) return
    held.slotTaken = false
    this.slots.release(held.handover.request)
  }

  /** A request that waited may no longer be welcome; without a slot its router has to offer it again. */
  #startKeyed (held: Held): void {
    const refusal = held.slotTaken ? this.#refusalOf(held.handover) : 'expired'
    if (refusal === undefined) return this.#start(held.handover.request)
    this.#giveBack(held, refusal)
  }

  #start (request: RequestId): void {
    const held = this.#held.get(request)
    const service = held === undefined ? undefined : this.runner.serviceOf(held.handover)
    if (held === undefined || service === undefined) return
    this.gate.enter({
      request,
      alone: held.handover.alone,
      start: () => { this.#startNow(held, service) },
      giveBack: () => { this.#giveBack(held, 'not-accepting') }
    })
  }

  #startNow (held: Held, service: ServiceConfig): void {
    if (this.context.clock.now() >= held.startableUntil) return this.#giveBack(held, 'expired')
    this.#held.delete(held.handover.request)
    this.runner.run(held.link, held.handover, service)
  }

  /** Declines a request that was to run; what waits for the first run of its key may run instead. */
  #giveBack (held: Held, reason: DeclinedMessage['reason']): void {
    const { handover, link } = held
    const name = keyNameOf(handover)
    this.#held.delete(handover.request)
    this.#decline(link, handover.request, reason)
    this.slots.release(handover.request)
    if (name !== undefined) this.keys.report({ kind: 'run-failed', ...name, now: this.context.clock.now(), outcome: 'not-run' })
  }

  #finish (held: Held, answer: () => void): void {
    const { request } = held.handover
    this.#held.delete(request)
    answer()
    this.slots.release(request)
  }

  #decline (link: FleetLink, request: RequestId, reason: DeclinedMessage['reason']): void {
    this.context.metrics.count('handovers.declined', 1, { reason })
    link.send({ kind: 'declined', request, reason })
  }

  #onCancel (link: FleetLink, request: RequestId): void {
    const held = this.#held.get(request)
    if (held?.link === link) this.#drop(held)
    else this.runner.cancel(link, request)
  }

  #dropLink (link: FleetLink): void {
    for (const held of this.#held.values()) {
      if (held.link === link) this.#drop(held)
    }
  }

  /** Forgets a request that has not started. */
  #drop ({ handover }: Held): void {
    const { request } = handover
    const name = keyNameOf(handover)
    this.#held.delete(request)
    if (name !== undefined) this.#dropKey(name, request)
    this.gate.leave(request)
    this.slots.release(request)
  }

  /** The first run of a key that never started has not run; what waits for it may go on. */
  #dropKey (name: ScopedKey, request: RequestId): void {
    const now = this.context.clock.now()
    if (!this.gate.isWaiting(request)) return this.keys.report({ kind: 'waiter-gone', ...name, request })
    this.keys.report({ kind: 'run-failed', ...name, now, outcome: 'not-run' })
  }
}

/** Key of the handovers. */
export const handoversKey: ServiceKey<Handovers> = serviceKey('handovers')
