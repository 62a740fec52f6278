/** Tells the agents of a service what waits for them here. Changes of one turn of the loop are told together. */
import { createLog, onEvent, type ServiceId, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { FairnessService, FleetLink, ProcessContext } from '@fuchsiaworks/fleet'
import { type AdmissionDb, backlogFor, wholeBacklog } from '@fuchsiaworks/policy'
import type { AgentStates } from './agentStates.js'

const log = createLog('backlog')

/** Sends backlog messages. */
export class BacklogTeller {
  readonly #changed = new Set<ServiceId>()
  readonly #toldEmpty = new Map<FleetLink, boolean>()
  #scheduled = false

  constructor (
    readonly context: ProcessContext, readonly admission: AdmissionDb, readonly states: AgentStates, readonly fairness: FairnessService
  ) {
    onEvent(fairness.links.hub.closed, log, ({ link }) => { this.#toldEmpty.delete(link) })
    onEvent(states.changes, log, ({ service }) => { this.mark(service) })
  }

  /**
   * Notes that the backlog of a service changed.
   *
   * @param service - the service
   */
  mark (service: ServiceId): void {
    this.#changed.add(service)
    if (this.#scheduled) return
    this.#scheduled = true
    setImmediate(() => { this.#tellAll() })
  }

  #tellAll (): void {
    this.#scheduled = false
    for (const [link, state] of this.states.all()) {
      if (this.#changed.has(state.service)) this.#tell(link, state.service)
    }
    for (const service of this.#changed) this.#tellExchange(service)
    this.#changed.clear()
    this.fairness.links.membership.countBacklog(this.admission.waitingServices())
  }

  #tellExchange (service: ServiceId): void {
    const now = this.context.clock.now()
    this.fairness.exchange({ kind: 'own-backlog', service, entries: wholeBacklog(this.admission, service, now), now })
  }

  #tell (link: FleetLink, service: ServiceId): void {
    const state = this.states.of(link)
    if (state === undefined) return
    const entries = this.states.mayTakeWork(link) ? backlogFor(this.admission, service, state, this.context.clock.now()) : []
    if (entries.length === 0 && this.#toldEmpty.get(link) !== false) return
    this.#toldEmpty.set(link, entries.length === 0)
    link.send({ kind: 'backlog', service, entries })
  }
}

/** Key of the backlog teller. */
export const backlogTellerKey: ServiceKey<BacklogTeller> = serviceKey('backlog')
