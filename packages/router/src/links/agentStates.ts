/** What the agents on the other ends of the links said of themselves last. */
import { createLog, EventSource, onEvent, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { ConfigurationService, FairnessService, FleetLink, LinkHub, MembershipService } from '@fuchsiaworks/fleet'
import { type AgentStateMessage } from '@fuchsiaworks/wire'

const log = createLog('agents')

/** What an agent said, and over which link. */
export interface AgentStateChange {
  readonly link: FleetLink
  readonly state: AgentStateMessage
}

/** Agents by link. */
export class AgentStates {
  readonly #states = new Map<FleetLink, AgentStateMessage>()
  readonly #changes = new EventSource<AgentStateChange>()
  /** States as agents tell them. */
  readonly changes = this.#changes.stream

  constructor (
    hub: LinkHub, readonly configuration: ConfigurationService, readonly membership: MembershipService, fairness: FairnessService
  ) {
    hub.dispatcher.on('agent-state', (link, message) => {
      if (!this.#states.has(link)) fairness.addAgent(link, message.service)
      this.#states.set(link, message)
      this.#changes.emit({ link, state: message })
    })
    onEvent(hub.closed, log, ({ link }) => { this.#states.delete(link) })
  }

  /** @returns what the agent said last; undefined before its first word */
  get (link: FleetLink): AgentStateMessage | undefined {
    return this.#states.get(link)
  }

  /** @returns every linked agent with its state */
  entries (): Iterable<[FleetLink, AgentStateMessage]> {
    return this.#states
  }

  /**
   * Tells whether an agent may be given new work as far as this router knows.
   *
   * @param link - link to the agent
   * @returns false when its zone is out or its host leaves, by whichever source
   */
  isEligible (link: FleetLink): boolean {
    const state = this.#states.get(link)
    if (state === undefined || this.membership.zonesOut.has(state.zone)) return false
    const configured = this.configuration.current?.config.upstreams[state.upstream]
    if (configured === undefined || configured.state === 'leaving') return false
    const leavingSources = this.membership.hosts.get(link.peer.host)?.leaving
    return leavingSources === undefined || !(leavingSources.list || leavingSources.reported || leavingSources.configuration)
  }
}

/** Key of the agents' states. */
export const agentStatesKey: ServiceKey<AgentStates> = serviceKey('agent-states')
