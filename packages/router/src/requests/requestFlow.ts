/** Moves requests between their callers, the queue and the agents, as the policies decide. */
import {
  assertNever, createLog, type Millis, onEvent, type RequestId, type Service, type ServiceKey, serviceKey, type Timer,
  type UpstreamId
} from '@fuchsiaworks/kernel'
import {
  type ClosedLink, type ConfigurationService, type FleetLink, type LinkHub, type ProcessContext, weightsOf, zonesOutOf
} from '@fuchsiaworks/fleet'
import {
  type AdmissionCommand, type AdmissionDb, admissionDefinition, type AdmissionEvent, type RetryCommand, retryDefinition, type RetryEvent,
  type WaitingRequest
} from '@fuchsiaworks/policy'
import type { FleetConfig } from '@fuchsiaworks/settings'
import { type AcceptedMessage, BODY_WINDOW_BYTES, type DeclinedMessage, type PullMessage, type ResponseFailedMessage } from '@fuchsiaworks/wire'
import { notRun, type Problem } from '../callers/problem.js'
import type { AgentStates } from '../links/agentStates.js'
import type { BacklogTeller } from '../links/backlogTeller.js'
import type { QuarantineService } from '../quarantine/quarantineService.js'
import { handoverOf } from './handoverOf.js'
import type { HomeFinder } from './homeFinder.js'
import { NotHandedOverError, type OpenRequest } from './openRequest.js'
import { problemOfAnswer, problemOfRefusal } from './outcomes.js'
import type { RequestJournal } from './requestJournal.js'
import { retrySettings } from './retrySettings.js'
import type { RequestTable } from './requestTable.js'

/** Milliseconds between two ticks of the policies. */
const TICK_MS = 100

const log = createLog('requests')

/** The flow of requests through this router. */
export class RequestFlow implements Service {
  readonly #admission: AdmissionDb
  readonly #retry
  readonly #states: AgentStates
  readonly #homes: HomeFinder
  #timer: Timer | undefined

  constructor (
    readonly context: ProcessContext,
    readonly hub: LinkHub,
    readonly table: RequestTable,
    readonly backlog: BacklogTeller,
    readonly journal: RequestJournal,
    readonly quarantine: QuarantineService,
    configuration: ConfigurationService,
    homes: HomeFinder,
    admission: AdmissionDb,
    states: AgentStates
  ) {
    this.#homes = homes
    this.#admission = admission
    this.#states = states
    this.#retry = retryDefinition.createDb(retrySettings(configuration))
    hub.dispatcher.on('pull', (link, message) => { this.#onPull(link, message) })
    hub.dispatcher.on('accepted', (link, message) => { this.#onAccepted(link, message) })
    hub.dispatcher.on('declined', (link, message) => { this.#onDeclined(link, message) })
    hub.dispatcher.on('response-failed', (link, message) => { this.#onFailed(link, message) })
    onEvent(configuration.changes, log, ({ config }) => { this.#configure(config) })
    onEvent(hub.closed, log, closed => { this.#onLinkClosed(closed) })
  }

  start (): void {
    this.#timer = this.context.clock.every(TICK_MS, () => {
      this.#admit({ kind: 'tick', now: this.#now() })
      this.#decide({ kind: 'tick', now: this.#now() })
    })
  }

  close (): void {
    this.#timer?.close()
  }

  /**
   * Takes a request into the queue, or refuses it.
   *
   * @param request - a request that was authenticated and classified
   */
  open (request: OpenRequest): void {
    const { id, service, workspace, patience, estimate, idempotent, maxWaiting } = request.facts
    const now = this.#now()
    this.table.add(request)
    this.journal.received(request)
    // A body that was not read whole cannot be sent a second time.
    const repeatable = idempotent && request.start.ended
    this.#decide({ kind: 'request-opened', now, request: id, workspace, service, idempotent: repeatable, deadline: now + patience })
    request.res.once('close', () => { this.#onCallerClosed(request) })
    const treatment = this.quarantine.treatmentOf(request.facts)
    if (treatment.kind === 'refused') return this.#refuse(id, 'quarantined', treatment.remaining)
    request.alone = treatment.kind === 'alone'
    const home = this.#homes.homeOf(request.facts)
    this.#admit({
      kind: 'request-arrived', request: id, service, workspace, patience, estimate, idempotent, maxWaiting, now, ...(home === undefined ? {} : { home })
    })
  }

  /**
   * Notes that the first part of the answer goes to the caller.
   *
   * @param request - the request
   */
  bytesSent (request: OpenRequest): void {
    this.#decide({ kind: 'bytes-sent', now: this.#now(), request: request.facts.id })
  }

  /**
   * Ends a request whose answer was passed on whole.
   *
   * @param request - the request
   */
  completed (request: OpenRequest): void {
    this.journal.ended(request, 'answered')
    this.quarantine.completed(request.facts)
    this.#forget(request)
  }

  #now (): Millis {
    return this.context.clock.now()
  }

  #configure (config: FleetConfig): void {
    this.#admit({ kind: 'config-changed', weights: weightsOf(config), zonesOut: new Set(zonesOutOf(config)) })
    for (const request of this.table.all()) this.#moveHome(request)
  }

  /** A request with a key waits for the present home of its key. */
  #moveHome ({ facts }: OpenRequest): void {
    const waiting = this.#admission.waiting(facts.id)
    const home = this.#homes.homeOf(facts)
    if (waiting === undefined || waiting.home === home) return
    const now = this.#now()
    this.#admit({ kind: 'caller-gone', request: facts.id, now })
    this.#admit({ kind: 'requeue', waiting: { ...waiting, home }, now })
  }

  #admit (event: AdmissionEvent): void {
    for (const command of admissionDefinition.decide(this.#admission, event)) this.#runAdmission(command)
  }

  #decide (event: RetryEvent): void {
    for (const command of retryDefinition.decide(this.#retry, event)) this.#runRetry(command)
  }

  #runAdmission (command: AdmissionCommand): void {
    switch (command.kind) {
      case 'refuse': return this.#refuse(command.request, command.reason, command.retryAfterMs)
      case 'hand-over': return this.#handOver(command.agent, command.pull, command.waiting)
      case 'pull-empty': return this.hub.find(command.agent)?.send({ kind: 'pull-empty', pull: command.pull })
      case 'backlog-changed': return this.backlog.mark(command.service)
      default: return assertNever(command)
    }
  }

  #runRetry (command: RetryCommand): void {
    const request = this.table.find(command.request)
    if (request === undefined) return
    switch (command.kind) {
      case 'requeue': return this.#requeue(request, command.avoid)
      case 'retry':
        this.journal.record('request-retried', request, `attempt ${command.attempt}`)
        return this.#requeue(request, command.avoid)
      case 'answer': return this.#answer(request, problemOfAnswer(command))
      case 'cut': return this.#cut(request)
      case 'abandon': return this.#abandon(request)
      default: return assertNever(command)
    }
  }

  #onPull (link: FleetLink, message: PullMessage): void {
    const state = this.#states.of(link)
    if (state === undefined || !this.#states.mayTakeWork(link)) return link.send({ kind: 'pull-empty', pull: message.pull })
    const from = { agent: link.id, upstream: state.upstream, zone: state.zone }
    this.#admit({ kind: 'pull', pull: message.pull, from, service: message.service, workspace: message.workspace, now: this.#now() })
  }

  #handOver (agent: string, pull: number, waiting: WaitingRequest): void {
    const request = this.table.find(waiting.request)
    if (request === undefined) return
    const link = this.hub.find(agent)
    const state = link === undefined ? undefined : this.#states.of(link)
    if (link === undefined || state === undefined) return this.#admit({ kind: 'requeue', waiting, now: this.#now() })
    const { facts } = request
    request.holder = link
    request.upstream = state.upstream
    request.waiting = waiting
    request.accepted = false
    request.attempts += 1
    this.journal.record('request-handed-over', request, undefined, state.upstream)
    this.#decide({ kind: 'attempt-started', now: this.#now(), request: facts.id, upstream: state.upstream })
    link.send(handoverOf(request, pull))
  }

  #onAccepted (link: FleetLink, message: AcceptedMessage): void {
    const request = this.table.heldBy(message.request, link)
    if (request === undefined || request.accepted) return
    request.accepted = true
    this.#decide({ kind: 'accepted', now: this.#now(), request: message.request, upstream: this.#upstreamOf(request) })
    if (request.start.ended) return
    request.reader.pump((data, ended) => { link.send({ kind: 'request-body', request: message.request, data, ended }) }, BODY_WINDOW_BYTES)
  }

  #onDeclined (link: FleetLink, message: DeclinedMessage): void {
    const request = this.table.heldBy(message.request, link)
    if (request === undefined) return
    const upstream = this.#upstreamOf(request)
    this.journal.record('request-declined', request, message.reason, upstream)
    request.holder = undefined
    this.#decide({ kind: 'declined', now: this.#now(), request: message.request, upstream, reason: message.reason })
  }

  #onFailed (link: FleetLink, { request: id, outcome, crash, reason }: ResponseFailedMessage): void {
    const request = this.table.heldBy(id, link)
    if (request === undefined) return
    log.info('an upstream gave no whole answer', { request: id, outcome, reason })
    request.holder = undefined
    if (outcome !== 'not-run') request.mayHaveRun = true
    const upstream = this.#upstreamOf(request)
    const quarantined = crash !== undefined && this.quarantine.crashed(request.facts, upstream, crash)
    this.#decide({ kind: 'response-failed', now: this.#now(), request: id, upstream, outcome, crashed: crash !== undefined, quarantined })
  }

  #onLinkClosed ({ link, reason }: ClosedLink): void {
    const peer = reason === 'peer-restarted' || reason === 'peer-closed' ? 'gone' : 'expired'
    for (const request of this.table.allHeldBy(link)) {
      request.holder = undefined
      request.mayHaveRun = true
      this.#decide({ kind: 'session-lost', now: this.#now(), request: request.facts.id, upstream: this.#upstreamOf(request), peer })
    }
  }

  /** @returns the upstream of the last handover */
  #upstreamOf (request: OpenRequest): UpstreamId {
    if (request.upstream === undefined) throw new NotHandedOverError(request.facts.id)
    return request.upstream
  }

  #requeue (request: OpenRequest, avoid: readonly UpstreamId[]): void {
    const { waiting } = request
    if (waiting === undefined) return
    request.holder = undefined
    request.accepted = false
    request.alone = this.quarantine.treatmentOf(request.facts).kind !== 'normal'
    this.#admit({ kind: 'requeue', waiting: { ...waiting, avoid, home: this.#homes.homeOf(request.facts) }, now: this.#now() })
  }

  #refuse (id: RequestId, reason: string, retryAfter: Millis): void {
    const request = this.table.find(id)
    if (request === undefined) return
    const problem = truthful(request, problemOfRefusal(reason, retryAfter))
    this.journal.refused(request, reason, problem, retryAfter)
    this.#answer(request, problem)
  }

  #answer (request: OpenRequest, decided: Problem): void {
    const problem = truthful(request, decided)
    this.journal.ended(request, problem.outcome, `${problem.outcome} ${problem.type}`)
    this.#forget(request)
    request.writer.problem(problem)
  }

  #cut (request: OpenRequest): void {
    this.journal.ended(request, 'cut', 'cut')
    this.#forget(request)
    request.writer.cut()
  }

  #onCallerClosed (request: OpenRequest): void {
    const { id } = request.facts
    if (this.table.find(id) !== request) return
    this.journal.record('request-abandoned', request)
    this.#admit({ kind: 'caller-gone', request: id, now: this.#now() })
    this.#decide({ kind: 'caller-gone', now: this.#now(), request: id })
    this.#abandon(request)
  }

  #abandon (request: OpenRequest): void {
    if (this.table.find(request.facts.id) !== request) return
    request.holder?.send({ kind: 'cancel', request: request.facts.id })
    this.#forget(request)
  }

  #forget (request: OpenRequest): void {
    request.holder = undefined
    this.table.remove(request)
    this.#decide({ kind: 'request-closed', now: this.#now(), request: request.facts.id })
  }
}

/** A request is called not run only when no attempt at it can have run. */
const truthful = (request: OpenRequest, problem: Problem): Problem =>
  problem.outcome === 'not-run' && request.mayHaveRun ? { ...problem, outcome: 'unknown' } : problem

/** Tells a caller that this router is not ready. */
export const notReady: Problem = notRun(503, 'not-ready', 'this router has no configuration yet', 1000)

/** Key of the request flow. */
export const requestFlowKey: ServiceKey<RequestFlow> = serviceKey('request-flow')
