/** Tells the agents of a service what waits for them here. Changes of one turn of the loop are told together. */
import { createLog, getOrMake, type Millis, onEvent, type ServiceId, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { FairnessService, FleetLink, ProcessContext } from '@fuchsiaworks/fleet'
import { type AdmissionDb, backlogForUpstream, type BacklogRecipient, selectBacklogRecipients, RESEND_INTERVAL_MS, serviceBacklog } from '@fuchsiaworks/policy'
import type { AgentStateMessage } from '@fuchsiaworks/wire'
import type { AgentStates } from './agentStates.js'

/** Agents of a service up to which all are told at once; above, idle ones are told in waves. */
const TELL_ALL_UP_TO = 12

/** Values of a 32-bit number. */
const UINT32_RANGE = 2 ** 32

const log = createLog('backlog')

/** What one agent was told last. */
interface Told {
  at: Millis
  outOfDate: boolean
  empty: boolean
}

/** Sends backlog messages. */
export class BacklogTeller {
  readonly #changed = new Set<ServiceId>()
  readonly #told = new Map<FleetLink, Told>()
  readonly #seed: number
  #scheduled = false

  constructor (
    readonly context: ProcessContext, readonly admission: AdmissionDb, readonly states: AgentStates, readonly fairness: FairnessService
  ) {
    this.#seed = Math.floor(context.random() * UINT32_RANGE)
    onEvent(fairness.links.hub.closed, log, ({ link }) => { this.#told.delete(link) })
    onEvent(states.changes, log, ({ link, state }) => { this.#markOne(link, state.service) })
  }

  /**
   * Notes that the backlog of a service changed.
   *
   * @param service - the service
   */
  mark (service: ServiceId): void {
    for (const [link, state] of this.states.all()) {
      if (state.service === service) this.#toldTo(link).outOfDate = true
    }
    this.#schedule(service)
  }

  #markOne (link: FleetLink, service: ServiceId): void {
    this.#toldTo(link).outOfDate = true
    this.#schedule(service)
  }

  #toldTo (link: FleetLink): Told {
    return getOrMake(this.#told, link, () => ({ at: Number.NEGATIVE_INFINITY, outOfDate: true, empty: true }))
  }

  #schedule (service: ServiceId): void {
    this.#changed.add(service)
    if (this.#scheduled) return
    this.#scheduled = true
    setImmediate(() => { this.#tellAll() })
  }

  #tellAll (): void {
    this.#scheduled = false
    const services = [...this.#changed]
    this.#changed.clear()
    for (const service of services) {
      this.#tellService(service)
      this.#tellExchange(service)
    }
    this.fairness.links.membership.setBackloggedServices(this.admission.waitingServices())
  }

  #tellService (service: ServiceId): void {
    const agents = [...this.states.all()].filter(([link, state]) => state.service === service && this.#toldTo(link).outOfDate)
    const chosen = agents.length <= TELL_ALL_UP_TO ? undefined : this.#chooseWave(service, agents)
    for (const [link, state] of agents) {
      if (chosen === undefined || chosen.has(link.id)) this.#tell(link, state)
    }
    if (chosen !== undefined && chosen.size < agents.length) this.context.clock.after(RESEND_INTERVAL_MS, () => { this.#schedule(service) })
  }

  /** Agents that may not take work are told with each wave, so that they stop asking. */
  #chooseWave (service: ServiceId, agents: ReadonlyArray<readonly [FleetLink, AgentStateMessage]>): Set<string> {
    const able = agents.filter(([link]) => this.states.mayTakeWork(link))
    const targets: BacklogRecipient[] = able.map(([link, { limit, running }]) => {
      const { at, outOfDate } = this.#toldTo(link)
      return { link: link.id, free: limit - running, lastSentAt: at, outOfDate }
    })
    const wave = selectBacklogRecipients(targets, this.admission.waitingFor(service), this.#seed, this.context.clock.now())
    const barred = agents.filter(([link]) => !this.states.mayTakeWork(link)).map(([link]) => link.id)
    return new Set([...wave, ...barred])
  }

  #tell (link: FleetLink, state: AgentStateMessage): void {
    const { service } = state
    const told = this.#toldTo(link)
    const now = this.context.clock.now()
    const entries = this.states.mayTakeWork(link) ? backlogForUpstream(this.admission, service, state, now) : []
    told.outOfDate = false
    if (entries.length === 0 && told.empty) return
    told.empty = entries.length === 0
    told.at = now
    link.send({ kind: 'backlog', service, entries })
  }

  #tellExchange (service: ServiceId): void {
    const now = this.context.clock.now()
    this.fairness.decideExchange({ kind: 'own-backlog', service, entries: serviceBacklog(this.admission, service, now), now })
  }
}

/** Key of the backlog teller. */
export const backlogTellerKey: ServiceKey<BacklogTeller> = serviceKey('backlog')
