/** Totals of service by workspace, as this process knows them and tells them to its peers. */
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

/** Milliseconds between two ticks of the policies. */
const TICK_MS = 100

/** Values of a 32-bit number. */
const UINT32_RANGE = 2 ** 32

/** What the exchange asks of the links. */
export interface ExchangeLinks {
  readonly hub: LinkHub
  readonly membership: MembershipService
}

const log = createLog('fairness')

/** Joins the policies of fair service and of the exchange to time, configuration and links. */
export class FairnessService implements Service {
  readonly db: FairnessDb
  readonly #exchange: ExchangeDb
  #timer: Timer | undefined

  constructor (readonly context: ProcessContext, readonly links: ExchangeLinks, configuration: ConfigurationService) {
    this.db = fairnessDefinition.createDb(context.identity.incarnation, context.clock.now())
    this.#exchange = exchangeDefinition.createDb(context.identity.host, Math.floor(context.random() * UINT32_RANGE))
    const { hub } = links
    hub.dispatcher.on('counters', (link, counters) => { this.decideExchange({ kind: 'counters-received', link: link.id, counters, now: this.now() }) })
    onEvent(hub.opened, log, link => { this.#joinRouter(link) })
    onEvent(hub.closed, log, ({ link }) => { this.decideExchange({ kind: 'peer-gone', link: link.id, now: this.now() }) })
    onEvent(configuration.changes, log, ({ config }) => { this.decide({ kind: 'weights-changed', weights: weightsOf(config) }) })
  }

  start (): void {
    this.#timer = this.context.clock.every(TICK_MS, () => { this.decideExchange({ kind: 'tick', now: this.now() }) })
  }

  close (): void {
    this.#timer?.close()
  }

  /** @returns monotonic milliseconds */
  now (): Millis {
    return this.context.clock.now()
  }

  /**
   * Tells the policy of fair service of an event.
   *
   * @param event - what happened
   */
  decide (event: FairnessEvent): void {
    for (const { reason, service, workspace, amount } of fairnessDefinition.decide(this.db, event)) {
      log.debug('credit was forfeited', { reason, service, workspace, amount })
    }
  }

  /**
   * Tells the policy of the exchange of an event.
   *
   * @param event - what happened
   */
  decideExchange (event: ExchangeEvent): void {
    for (const command of exchangeDefinition.decide(this.#exchange, this.db, event)) this.#run(command)
  }

  /**
   * Tells what a workspace was served.
   *
   * @param service - the service
   * @param workspace - the workspace
   * @returns virtual cost over the fleet and of this process alone
   */
  servedOf (service: ServiceId, workspace: WorkspaceId): { readonly served: number, readonly own: number } {
    const account = [...this.db.accountsOf(service)].find(candidate => candidate.workspace === workspace)
    if (account === undefined) return { served: 0, own: 0 }
    return { served: account.served, own: netOf(account.tallyOf(this.db.originOf(service))) }
  }

  /**
   * Takes a linked agent among the peers, once its service is known.
   *
   * @param link - link to the agent
   * @param service - service of its upstream
   */
  addAgent ({ id, peer }: FleetLink, service: ServiceId): void {
    const services = new Set([service])
    this.decideExchange({ kind: 'peer-joined', link: id, relation: 'leaf', incarnation: peer.incarnation, services, now: this.now() })
  }

  #joinRouter ({ id, peer }: FleetLink): void {
    if (peer.role !== 'router') return
    const relation = this.context.identity.role === 'router' ? 'router' : 'hub'
    this.decideExchange({ kind: 'peer-joined', link: id, relation, incarnation: peer.incarnation, now: this.now() })
  }

  #run (command: ExchangeCommand): void {
    switch (command.kind) {
      case 'send': return this.links.hub.find(command.link)?.send({ kind: 'counters', ...command.counters })
      case 'dial': return this.#callFor(command.router)
      // The membership lets the link go when nobody calls for it any more.
      case 'release':
    }
  }

  #callFor (router: HostId): void {
    const service = this.links.membership.ownService
    if (service !== undefined) this.links.membership.requestLink(router, service)
  }
}

/**
 * Reads the weights of a configuration.
 *
 * @param config - the configuration in force
 * @returns weight by workspace
 */
export const weightsOf = (config: FleetConfig): Map<WorkspaceId, number> =>
  new Map(Object.entries(config.workspaces).map(([id, { weight }]) => [id as WorkspaceId, weight]))

/** Key of the fairness service. */
export const fairnessKey: ServiceKey<FairnessService> = serviceKey('fairness')
