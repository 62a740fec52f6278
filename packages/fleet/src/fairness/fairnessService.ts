/** Cost served per workspace, exchanged with the peers. */
import {
  createLog, type HostId, type Millis, onEvent, type Service, type ServiceId, type ServiceKey, serviceKey, type Timer, type WorkspaceId
} from '@fuchsiaworks/kernel'
import {
  type ExchangeCommand, type ExchangeDb, exchangeDefinition, type ExchangeEvent, type FairnessDb, fairnessDefinition, type FairnessEvent,
  netOf
} from '@fuchsiaworks/policy'
import type { FleetConfig } from '@fuchsiaworks/settings'
import type { ConfigurationService } from '../configuration/configurationService.js'
import type { ProcessContext } from '../context/processContext.js'
import type { FleetLink } from '../links/fleetLink.js'
import type { LinkHub } from '../links/linkHub.js'
import type { MembershipService } from '../membership/membershipService.js'

/** Interval between two ticks of the policies. */
const TICK_MS = 100

/** Number of values of a 32-bit integer. */
const UINT32_RANGE = 2 ** 32

/** Services through which counters are exchanged with peers. */
export interface ExchangeLinks {
  readonly hub: LinkHub
  readonly membership: MembershipService
}

const log = createLog('fairness')

/** Feeds the fairness and counter exchange policies with events of the clock, the configuration and the links. */
export class FairnessService implements Service {
  readonly db: FairnessDb
  readonly #exchange: ExchangeDb
  #timer: Timer | undefined

  constructor (readonly context: ProcessContext, readonly links: ExchangeLinks, configuration: ConfigurationService) {
    this.db = fairnessDefinition.createDb(context.identity.incarnation, context.clock.now())
    this.#exchange = exchangeDefinition.createDb(context.identity.host, Math.floor(context.random() * UINT32_RANGE))
    const { hub } = links
    hub.dispatcher.on('counters', (link, counters) => { this.decideExchange({ kind: 'counters-received', link: link.id, counters, now: this.now() }) })
    onEvent(hub.opened, log, link => { this.#addRouter(link) })
    onEvent(hub.closed, log, ({ link }) => { this.decideExchange({ kind: 'peer-gone', link: link.id, now: this.now() }) })
    onEvent(configuration.changes, log, ({ config }) => { this.decide({ kind: 'weights-changed', weights: weightsOf(config) }) })
  }

  start (): void {
    this.#timer = this.context.clock.every(TICK_MS, () => { this.decideExchange({ kind: 'tick', now: this.now() }) })
  }

  close (): void {
    this.#timer?.close()
  }

  /** @returns the current monotonic time in milliseconds */
  now (): Millis {
    return this.context.clock.now()
  }

  /**
   * Passes an event to the fairness policy.
   *
   * @param event - what happened
   */
  decide (event: FairnessEvent): void {
    for (const { reason, service, workspace, amount } of fairnessDefinition.decide(this.db, event)) {
      log.debug('workspace forfeited saved credit', { reason, service, workspace, amount })
    }
  }

  /**
   * Passes an event to the counter exchange policy and runs its commands.
   *
   * @param event - what happened
   */
  decideExchange (event: ExchangeEvent): void {
    for (const command of exchangeDefinition.decide(this.#exchange, this.db, event)) this.#runCommand(command)
  }

  /**
   * Reads the totals of a workspace.
   *
   * @returns virtual cost served by the whole fleet, and by this process alone
   */
  servedOf (service: ServiceId, workspace: WorkspaceId): { readonly served: number, readonly servedLocally: number } {
    const account = [...this.db.accountsOf(service)].find(candidate => candidate.workspace === workspace)
    if (account === undefined) return { served: 0, servedLocally: 0 }
    return { served: account.served, servedLocally: netOf(account.tallyOf(this.db.originOf(service))) }
  }

  /**
   * Adds a linked agent as a peer of the counter exchange; called when the service of its upstream is known.
   *
   * @param link - the link to the agent
   * @param service - service of its upstream
   */
  addAgent ({ id, peer }: FleetLink, service: ServiceId): void {
    const services = new Set([service])
    this.decideExchange({ kind: 'peer-joined', link: id, relation: 'leaf', incarnation: peer.incarnation, services, now: this.now() })
  }

  #addRouter ({ id, peer }: FleetLink): void {
    if (peer.role !== 'router') return
    const relation = this.context.identity.role === 'router' ? 'router' : 'hub'
    this.decideExchange({ kind: 'peer-joined', link: id, relation, incarnation: peer.incarnation, now: this.now() })
  }

  #runCommand (command: ExchangeCommand): void {
    switch (command.kind) {
      case 'send': return this.links.hub.find(command.link)?.send({ kind: 'counters', ...command.counters })
      case 'dial': return this.#requestLink(command.router)
      // The membership policy closes the link when no router requests capacity over it any more.
      case 'release':
    }
  }

  #requestLink (router: HostId): void {
    const service = this.links.membership.ownService
    if (service !== undefined) this.links.membership.requestLink(router, service)
  }
}

/**
 * Reads the workspace weights of a configuration.
 *
 * @param config - the active configuration
 * @returns weight by workspace
 */
export const weightsOf = (config: FleetConfig): Map<WorkspaceId, number> =>
  new Map(Object.entries(config.workspaces).map(([id, { weight }]) => [id as WorkspaceId, weight]))

/** Service key of the fairness service. */
export const fairnessKey: ServiceKey<FairnessService> = serviceKey('fairness')
