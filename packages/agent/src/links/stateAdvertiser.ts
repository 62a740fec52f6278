/** Advertises the state, limit and load of the upstream to routers, on every change. */
import { createLog, onEvent, type Service, type ServiceKey, serviceKey, type Timer } from '@fuchsiaworks/kernel'
import type { ConfigurationService, FleetLink, LinkHub, MembershipService, ProcessContext } from '@fuchsiaworks/fleet'
import type { AgentSettings } from '@fuchsiaworks/settings'
import type { AgentState, AgentStateMessage } from '@fuchsiaworks/wire'
import type { LimitService } from '../limits/limitService.js'
import type { RunTable } from '../runs/runTable.js'

/** Milliseconds between two checks for a change of the number of running requests, which emits no event. */
const CHECK_INTERVAL_MS = 1_000

const log = createLog('state')

/** Sends an agent-state message to each new link, and to all routers when it differs from the last one sent. */
export class StateAdvertiser implements Service {
  readonly #settings: AgentSettings
  #lastSent = ''
  #timer: Timer | undefined

  constructor (
    readonly context: ProcessContext,
    readonly hub: LinkHub,
    readonly configuration: ConfigurationService,
    readonly membership: MembershipService,
    readonly limits: LimitService,
    readonly runs: RunTable,
    settings: AgentSettings
  ) {
    this.#settings = settings
    onEvent(hub.opened, log, link => { this.#sendTo(link) })
    onEvent(limits.changes, log, () => { this.#sendToRouters() })
    onEvent(membership.workStateChanges, log, () => { this.#sendToRouters() })
    onEvent(configuration.changes, log, () => { this.#sendToRouters() })
  }

  start (): void {
    this.#timer = this.context.clock.every(CHECK_INTERVAL_MS, () => { this.#sendToRouters() })
  }

  close (): void {
    this.#timer?.close()
  }

  /** @returns the message to advertise; undefined while no configuration lists the upstream */
  current (): AgentStateMessage | undefined {
    const { upstream, zone } = this.#settings
    const service = this.configuration.current?.config.upstreams[upstream]?.service
    if (service === undefined) return undefined
    const { limit, reason } = this.limits.capacity
    return { kind: 'agent-state', upstream, service, zone, state: this.#state(), reason, limit, running: this.runs.size }
  }

  #state (): AgentState {
    switch (this.membership.workState) {
      case 'open': return this.limits.capacity.state
      case 'leaving': return 'leaving'
      case 'zone-out': return 'zone-out'
      case 'returning': return 'zone-out'
      case 'unconfigured': return 'down'
    }
  }

  #sendTo (link: FleetLink): void {
    const state = this.current()
    if (state !== undefined) link.send(state)
  }

  #sendToRouters (): void {
    const state = this.current()
    const stateJson = JSON.stringify(state)
    if (state === undefined || stateJson === this.#lastSent) return
    this.#lastSent = stateJson
    for (const link of this.hub.withRole('router')) link.send(state)
  }
}

/** Service key of the state advertiser. */
export const stateAdvertiserKey: ServiceKey<StateAdvertiser> = serviceKey('state-advertiser')
