/** Latest states reported by the linked agents. */
import { createLog, EventSource, onEvent, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { ConfigurationService, FairnessService, FleetLink, LinkHub, MembershipService } from '@fuchsiaworks/fleet'
import { type AgentStateMessage } from '@fuchsiaworks/wire'

const log = createLog('agents')

/** State received from an agent, with the link it came from. */
export interface AgentStateChange {
  readonly link: FleetLink
  readonly state: AgentStateMessage
}

/** Agent states by link; a state is removed when its link closes. */
export class AgentStates {
  readonly #states = new Map<FleetLink, AgentStateMessage>()
  readonly #changes = new EventSource<AgentStateChange>()
  /** Stream of the states received from agents. */
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

  /** @returns latest state of the agent; undefined before its first state message */
  get (link: FleetLink): AgentStateMessage | undefined {
    return this.#states.get(link)
  }

  /** @returns all linked agents that have reported a state */
  entries (): Iterable<[FleetLink, AgentStateMessage]> {
    return this.#states
  }

  /**
   * Decides whether new requests may be handed over to an agent, as far as this router knows.
   *
   * @param link - link to the agent
   * @returns false before its first state message, when its zone is out of service or its upstream is not configured, or when the
   *   configuration, the host list, a peer or the host itself reports its upstream or host as leaving
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

export const agentStatesKey: ServiceKey<AgentStates> = serviceKey('agent-states')
