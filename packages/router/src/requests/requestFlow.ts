/** Moves requests between callers, queue and agents: feeds events to the admission and retry policies and runs their commands. */
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
import { notRunProblem, type Problem } from '../callers/problem.js'
import type { AgentStates } from '../links/agentStates.js'
import type { BacklogSender } from '../links/backlogSender.js'
import type { QuarantineService } from '../quarantine/quarantineService.js'
import { createHandover } from './handoverMessage.js'
import type { KeyHomeResolver } from './keyHomeResolver.js'
import { NotHandedOverError, type OpenRequest } from './openRequest.js'
import { problemOfFailure, problemOfRefusal } from './policyProblems.js'
import type { RequestTelemetry } from './requestTelemetry.js'
import { retrySettings } from './retrySettings.js'
import type { RequestTable } from './requestTable.js'

const POLICY_TICK_MS = 100

const log = createLog('requests')

/** Coordinates the lifecycle of all requests of this router. */
export class RequestFlow implements Service {
  readonly #admissionDb: AdmissionDb
  readonly #retryDb
  readonly #agentStates: AgentStates
  readonly #keyHomes: KeyHomeResolver
  #timer: Timer | undefined

  constructor (
    readonly context: ProcessContext,
    readonly hub: LinkHub,
    readonly requests: RequestTable,
    readonly backlogSender: BacklogSender,
    readonly telemetry: RequestTelemetry,
    readonly quarantine: QuarantineService,
    configuration: ConfigurationService,
    keyHomes: KeyHomeResolver,
    admissionDb: AdmissionDb,
    agentStates: AgentStates
  ) {
    this.#keyHomes = keyHomes
    this.#admissionDb = admissionDb
    this.#agentStates = agentStates
    this.#retryDb = retryDefinition.createDb(retrySettings(configuration))
    hub.dispatcher.on('pull', (link, message) => { this.#onPull(link, message) })
    hub.dispatcher.on('accepted', (link, message) => { this.#onAccepted(link, message) })
    hub.dispatcher.on('declined', (link, message) => { this.#onDeclined(link, message) })
    hub.dispatcher.on('response-failed', (link, message) => { this.#onResponseFailed(link, message) })
    onEvent(configuration.changes, log, ({ config }) => { this.#applyConfig(config) })
    onEvent(hub.closed, log, closed => { this.#onLinkClosed(closed) })
  }

  start (): void {
    this.#timer = this.context.clock.every(POLICY_TICK_MS, () => {
      this.#applyAdmissionEvent({ kind: 'tick', now: this.#now() })
      this.#applyRetryEvent({ kind: 'tick', now: this.#now() })
    })
  }

  close (): void {
    this.#timer?.close()
  }

  /**
   * Queues a request, or refuses it.
   *
   * @param request - an authenticated and classified request
   */
  open (request: OpenRequest): void {
    const { id, service, workspace, patience, estimate, idempotent, maxWaiting } = request.facts
    const now = this.#now()
    this.requests.add(request)
    this.telemetry.recordReceived(request)
    // Only a completely buffered body can be sent again to another upstream.
    const replayable = idempotent && request.bodyPrefix.ended
    this.#applyRetryEvent({ kind: 'request-opened', now, request: id, workspace, service, idempotent: replayable, deadline: now + patience })
    request.res.once('close', () => { this.#onCallerDisconnected(request) })
    const quarantineStatus = this.quarantine.statusOf(request.facts)
    if (quarantineStatus.kind === 'refused') return this.#refuse(id, 'quarantined', quarantineStatus.remaining)
    request.alone = quarantineStatus.kind === 'alone'
    const home = this.#keyHomes.homeOf(request.facts)
    this.#applyAdmissionEvent({
      kind: 'request-arrived', request: id, service, workspace, patience, estimate, idempotent, maxWaiting, now, ...(home === undefined ? {} : { home })
    })
  }

  /**
   * Records that the response head is being sent to the caller, after which the request can no longer be retried.
   *
   * @param request - the request
   */
  responseStarted (request: OpenRequest): void {
    this.#applyRetryEvent({ kind: 'bytes-sent', now: this.#now(), request: request.facts.id })
  }

  /**
   * Closes a request whose response was relayed completely.
   *
   * @param request - the request
   */
  complete (request: OpenRequest): void {
    this.telemetry.recordEnded(request, 'answered')
    this.quarantine.recordCompletion(request.facts)
    this.#close(request)
  }

  #now (): Millis {
    return this.context.clock.now()
  }

  #applyConfig (config: FleetConfig): void {
    this.#applyAdmissionEvent({ kind: 'config-changed', weights: weightsOf(config), zonesOut: new Set(zonesOutOf(config)) })
    for (const request of this.requests.values()) this.#updateKeyHome(request)
  }

  /** Moves a queued request to the new home of its key after a change of the configuration. */
  #updateKeyHome ({ facts }: OpenRequest): void {
    const queueEntry = this.#admissionDb.waiting(facts.id)
    const home = this.#keyHomes.homeOf(facts)
    if (queueEntry === undefined || queueEntry.home === home) return
    const now = this.#now()
    // 'caller-gone' removes the entry from the queue of the previous home.
    this.#applyAdmissionEvent({ kind: 'caller-gone', request: facts.id, now })
    this.#applyAdmissionEvent({ kind: 'requeue', waiting: { ...queueEntry, home }, now })
  }

  #applyAdmissionEvent (event: AdmissionEvent): void {
    for (const command of admissionDefinition.decide(this.#admissionDb, event)) this.#runAdmissionCommand(command)
  }

  #applyRetryEvent (event: RetryEvent): void {
    for (const command of retryDefinition.decide(this.#retryDb, event)) this.#runRetryCommand(command)
  }

  #runAdmissionCommand (command: AdmissionCommand): void {
    switch (command.kind) {
      case 'refuse': return this.#refuse(command.request, command.reason, command.retryAfterMs)
      case 'hand-over': return this.#handOver(command.agent, command.pull, command.waiting)
      case 'pull-empty': return this.hub.find(command.agent)?.send({ kind: 'pull-empty', pull: command.pull })
      case 'backlog-changed': return this.backlogSender.markChanged(command.service)
      default: return assertNever(command)
    }
  }

  #runRetryCommand (command: RetryCommand): void {
    const request = this.requests.find(command.request)
    if (request === undefined) return
    switch (command.kind) {
      case 'requeue': return this.#requeue(request, command.avoid)
      case 'retry':
        this.telemetry.record('request-retried', request, `attempt ${command.attempt}`)
        return this.#requeue(request, command.avoid)
      case 'answer': return this.#sendProblem(request, problemOfFailure(command))
      case 'cut': return this.#abortResponse(request)
      case 'abandon': return this.#cancelAttempt(request)
      default: return assertNever(command)
    }
  }

  #onPull (link: FleetLink, message: PullMessage): void {
    const state = this.#agentStates.get(link)
    if (state === undefined || !this.#agentStates.isEligible(link)) return link.send({ kind: 'pull-empty', pull: message.pull })
    const puller = { agent: link.id, upstream: state.upstream, zone: state.zone }
    this.#applyAdmissionEvent({ kind: 'pull', pull: message.pull, from: puller, service: message.service, workspace: message.workspace, now: this.#now() })
  }

  #handOver (agent: string, pull: number, queueEntry: WaitingRequest): void {
    const request = this.requests.find(queueEntry.request)
    if (request === undefined) return
    const link = this.hub.find(agent)
    const state = link === undefined ? undefined : this.#agentStates.get(link)
    if (link === undefined || state === undefined) return this.#applyAdmissionEvent({ kind: 'requeue', waiting: queueEntry, now: this.#now() })
    const { facts } = request
    request.holder = link
    request.upstream = state.upstream
    request.queueEntry = queueEntry
    request.accepted = false
    request.attempts += 1
    this.telemetry.record('request-handed-over', request, undefined, state.upstream)
    this.#applyRetryEvent({ kind: 'attempt-started', now: this.#now(), request: facts.id, upstream: state.upstream })
    link.send(createHandover(request, pull))
  }

  #onAccepted (link: FleetLink, message: AcceptedMessage): void {
    const request = this.requests.findHeldBy(message.request, link)
    if (request === undefined || request.accepted) return
    request.accepted = true
    this.#applyRetryEvent({ kind: 'accepted', now: this.#now(), request: message.request, upstream: this.#lastUpstreamOf(request) })
    if (request.bodyPrefix.ended) return
    request.reader.pump((data, ended) => { link.send({ kind: 'request-body', request: message.request, data, ended }) }, BODY_WINDOW_BYTES)
  }

  #onDeclined (link: FleetLink, message: DeclinedMessage): void {
    const request = this.requests.findHeldBy(message.request, link)
    if (request === undefined) return
    const upstream = this.#lastUpstreamOf(request)
    this.telemetry.record('request-declined', request, message.reason, upstream)
    request.holder = undefined
    this.#applyRetryEvent({ kind: 'declined', now: this.#now(), request: message.request, upstream, reason: message.reason })
  }

  #onResponseFailed (link: FleetLink, { request: id, outcome, crash, reason }: ResponseFailedMessage): void {
    const request = this.requests.findHeldBy(id, link)
    if (request === undefined) return
    log.info('upstream failed before its response was complete', { request: id, outcome, reason })
    request.holder = undefined
    if (outcome !== 'not-run') request.mayHaveRun = true
    const upstream = this.#lastUpstreamOf(request)
    const quarantined = crash !== undefined && this.quarantine.recordCrash(request.facts, upstream, crash)
    this.#applyRetryEvent({ kind: 'response-failed', now: this.#now(), request: id, upstream, outcome, crashed: crash !== undefined, quarantined })
  }

  #onLinkClosed ({ link, reason }: ClosedLink): void {
    // `gone`: the process of the agent has ended. `expired`: it may still be running and start the request.
    const peer = reason === 'peer-restarted' || reason === 'peer-closed' ? 'gone' : 'expired'
    for (const request of this.requests.listHeldBy(link)) {
      request.holder = undefined
      request.mayHaveRun = true
      this.#applyRetryEvent({ kind: 'session-lost', now: this.#now(), request: request.facts.id, upstream: this.#lastUpstreamOf(request), peer })
    }
  }

  /** @returns the upstream of the latest handover */
  #lastUpstreamOf (request: OpenRequest): UpstreamId {
    if (request.upstream === undefined) throw new NotHandedOverError(request.facts.id)
    return request.upstream
  }

  #requeue (request: OpenRequest, avoid: readonly UpstreamId[]): void {
    const { queueEntry } = request
    if (queueEntry === undefined) return
    request.holder = undefined
    request.accepted = false
    request.alone = this.quarantine.statusOf(request.facts).kind !== 'normal'
    this.#applyAdmissionEvent({ kind: 'requeue', waiting: { ...queueEntry, avoid, home: this.#keyHomes.homeOf(request.facts) }, now: this.#now() })
  }

  #refuse (id: RequestId, reason: string, retryAfter: Millis): void {
    const request = this.requests.find(id)
    if (request === undefined) return
    const problem = correctOutcome(request, problemOfRefusal(reason, retryAfter))
    this.telemetry.recordRefused(request, reason, problem, retryAfter)
    this.#sendProblem(request, problem)
  }

  #sendProblem (request: OpenRequest, decidedProblem: Problem): void {
    const problem = correctOutcome(request, decidedProblem)
    this.telemetry.recordEnded(request, problem.outcome, `${problem.outcome} ${problem.type}`)
    this.#close(request)
    request.writer.sendProblem(problem)
  }

  #abortResponse (request: OpenRequest): void {
    this.telemetry.recordEnded(request, 'cut', 'cut')
    this.#close(request)
    request.writer.abort()
  }

  #onCallerDisconnected (request: OpenRequest): void {
    const { id } = request.facts
    if (this.requests.find(id) !== request) return
    this.telemetry.record('request-abandoned', request)
    this.#applyAdmissionEvent({ kind: 'caller-gone', request: id, now: this.#now() })
    this.#applyRetryEvent({ kind: 'caller-gone', now: this.#now(), request: id })
    this.#cancelAttempt(request)
  }

  #cancelAttempt (request: OpenRequest): void {
    if (this.requests.find(request.facts.id) !== request) return
    request.holder?.send({ kind: 'cancel', request: request.facts.id })
    this.#close(request)
  }

  #close (request: OpenRequest): void {
    request.holder = undefined
    this.requests.remove(request)
    this.#applyRetryEvent({ kind: 'request-closed', now: this.#now(), request: request.facts.id })
  }
}

/** Replaces the outcome `not-run` by `unknown` when an earlier attempt may have run. */
const correctOutcome = (request: OpenRequest, problem: Problem): Problem =>
  problem.outcome === 'not-run' && request.mayHaveRun ? { ...problem, outcome: 'unknown' } : problem

/** Sent while the router has no configuration yet. */
export const notReadyProblem: Problem = notRunProblem(503, 'not-ready', 'this router has no configuration yet', 1000)

export const requestFlowKey: ServiceKey<RequestFlow> = serviceKey('request-flow')
