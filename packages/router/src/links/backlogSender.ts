/** Sends backlog messages to the agents of a service. Changes within one turn of the event loop are batched. */
import { createLog, getOrMake, type Millis, onEvent, type ServiceId, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { FairnessService, FleetLink, ProcessContext } from '@fuchsiaworks/fleet'
import { type AdmissionDb, backlogForUpstream, type BacklogRecipient, selectBacklogRecipients, RESEND_INTERVAL_MS, serviceBacklog } from '@fuchsiaworks/policy'
import type { AgentStateMessage } from '@fuchsiaworks/wire'
import type { AgentStates } from './agentStates.js'

/** For a service with at most this number of agents, a change is sent to all at once; otherwise idle agents receive it in waves. */
const MAX_AGENTS_WITHOUT_WAVES = 12

/** Number of values of an unsigned 32-bit integer. */
const UINT32_COUNT = 2 ** 32

const log = createLog('backlog')

/** State of the backlog messages to one agent. */
interface AgentBacklogState {
  lastSentAt: Millis
  /** True when the backlog has changed since the last message. */
  outOfDate: boolean
  /** True when the last message carried an empty backlog, or none has been sent. */
  lastSentEmpty: boolean
}

/** Sends the backlog of this router to the agents, and passes it to the counter exchange with other routers. */
export class BacklogSender {
  readonly #changedServices = new Set<ServiceId>()
  readonly #backlogStates = new Map<FleetLink, AgentBacklogState>()
  readonly #seed: number
  #scheduled = false

  constructor (
    readonly context: ProcessContext, readonly admissionDb: AdmissionDb, readonly agentStates: AgentStates, readonly fairness: FairnessService
  ) {
    this.#seed = Math.floor(context.random() * UINT32_COUNT)
    onEvent(fairness.links.hub.closed, log, ({ link }) => { this.#backlogStates.delete(link) })
    onEvent(agentStates.changes, log, ({ link, state }) => { this.#markAgentOutOfDate(link, state.service) })
  }

  /**
   * Marks the backlog of a service as changed and schedules messages to its agents.
   *
   * @param service - the service
   */
  markChanged (service: ServiceId): void {
    for (const [link, state] of this.agentStates.entries()) {
      if (state.service === service) this.#backlogStateOf(link).outOfDate = true
    }
    this.#scheduleSend(service)
  }

  #markAgentOutOfDate (link: FleetLink, service: ServiceId): void {
    this.#backlogStateOf(link).outOfDate = true
    this.#scheduleSend(service)
  }

  #backlogStateOf (link: FleetLink): AgentBacklogState {
    return getOrMake(this.#backlogStates, link, () => ({ lastSentAt: Number.NEGATIVE_INFINITY, outOfDate: true, lastSentEmpty: true }))
  }

  #scheduleSend (service: ServiceId): void {
    this.#changedServices.add(service)
    if (this.#scheduled) return
    this.#scheduled = true
    setImmediate(() => { this.#sendChangedServices() })
  }

  #sendChangedServices (): void {
    this.#scheduled = false
    const services = [...this.#changedServices]
    this.#changedServices.clear()
    for (const service of services) {
      this.#sendToAgents(service)
      this.#publishToExchange(service)
    }
    this.fairness.links.membership.setBackloggedServices(this.admissionDb.servicesWithBacklog())
  }

  #sendToAgents (service: ServiceId): void {
    const agents = [...this.agentStates.entries()].filter(([link, state]) => state.service === service && this.#backlogStateOf(link).outOfDate)
    const selected = agents.length <= MAX_AGENTS_WITHOUT_WAVES ? undefined : this.#selectWave(service, agents)
    for (const [link, state] of agents) {
      if (selected === undefined || selected.has(link.id)) this.#sendToAgent(link, state)
    }
    if (selected !== undefined && selected.size < agents.length) this.context.clock.after(RESEND_INTERVAL_MS, () => { this.#scheduleSend(service) })
  }

  /** Ineligible agents are part of each wave: they receive an empty backlog, so that they stop sending pulls. */
  #selectWave (service: ServiceId, agents: ReadonlyArray<readonly [FleetLink, AgentStateMessage]>): Set<string> {
    const eligible = agents.filter(([link]) => this.agentStates.isEligible(link))
    const recipients: BacklogRecipient[] = eligible.map(([link, { limit, running }]) => {
      const { lastSentAt, outOfDate } = this.#backlogStateOf(link)
      return { link: link.id, free: limit - running, lastSentAt, outOfDate }
    })
    const wave = selectBacklogRecipients(recipients, this.admissionDb.queuedCount(service), this.#seed, this.context.clock.now())
    const ineligible = agents.filter(([link]) => !this.agentStates.isEligible(link)).map(([link]) => link.id)
    return new Set([...wave, ...ineligible])
  }

  #sendToAgent (link: FleetLink, state: AgentStateMessage): void {
    const { service } = state
    const backlogState = this.#backlogStateOf(link)
    const now = this.context.clock.now()
    const entries = this.agentStates.isEligible(link) ? backlogForUpstream(this.admissionDb, service, state, now) : []
    backlogState.outOfDate = false
    if (entries.length === 0 && backlogState.lastSentEmpty) return
    backlogState.lastSentEmpty = entries.length === 0
    backlogState.lastSentAt = now
    link.send({ kind: 'backlog', service, entries })
  }

  #publishToExchange (service: ServiceId): void {
    const now = this.context.clock.now()
    this.fairness.decideExchange({ kind: 'own-backlog', service, entries: serviceBacklog(this.admissionDb, service, now), now })
  }
}

export const backlogSenderKey: ServiceKey<BacklogSender> = serviceKey('backlog-sender')
