/** Decides, from the host list, the configuration and the links, which peers to dial and whether to accept new work. */
import {
  assertNever, createLog, EventSource, type HostId, type Millis, onEvent, type Service, type ServiceId, type ServiceKey, serviceKey, type Timer, watchPauses,
  type ZoneId
} from '@fuchsiaworks/kernel'
import { type HostList, HostListWatch } from '@fuchsiaworks/platform'
import {
  type CapacityRequest, type ListedHost, type MembershipCommand, type MembershipConfig, type MembershipDb, membershipDefinition, type MembershipEvent, type WorkState
} from '@fuchsiaworks/policy'
import type { FleetConfig } from '@fuchsiaworks/settings'
import type { ActiveConfig, ConfigurationService } from '../configuration/configurationService.js'
import type { ProcessContext } from '../context/processContext.js'
import { DialTable, type LinkAddress } from '../links/dialTable.js'
import type { LinkHub } from '../links/linkHub.js'
import { linkOptions } from '../links/linkOptions.js'

/** Interval between two ticks of the policy. */
const TICK_MS = 200

/** Minimum number of routers that an agent links with. */
const MIN_ROUTER_LINKS = 4

/** Number of agents of each service that link with each router. */
const AGENTS_PER_ROUTER = 6

/** Additional links of an agent to routers that request capacity. */
const CAPACITY_REQUEST_LINKS = 2

/** Number of linked agents of a service below which a router with a backlog requests capacity. */
const MIN_LINKED_AGENTS = 3

/** Last round of a capacity request. Each round doubles the number of agents that may link, up to AGENTS_PER_ROUTER * 2 ** 8 = 1536 in the last. */
const LAST_REQUEST_ROUND = 8

/** Links of a router to routers in each other zone. */
const ROUTERS_PER_ZONE = 2

/** Time for which a host that no source names any more is still dialled. */
const FORGET_AFTER_MS = 60_000

/** Time after which an unreachable host is considered again when links are planned. */
const REDIAL_DELAY_MS = 10_000

/** Time for which a link that is no longer planned stays open. */
const UNPLANNED_LINK_LINGER_MS = 30_000

/** Time for which a capacity request of a router stays valid. */
const CAPACITY_REQUEST_TTL_MS = 10_000

/** Maximum random delay before work is accepted again after the zone is put back in service. */
const ZONE_RETURN_JITTER_MS = 1_000

const log = createLog('membership')

/** Keeps the links that the membership policy plans, and the work state of this process. */
export class MembershipService implements Service {
  readonly #context: ProcessContext
  readonly #hub: LinkHub
  readonly #db: MembershipDb
  readonly #dials: DialTable
  readonly #hostList: HostListWatch
  readonly #addresses = new Map<HostId, LinkAddress>()
  readonly #stateEvents = new EventSource<WorkState>()
  readonly #coldStartEvents = new EventSource<ZoneId>()
  readonly #timers: Timer[] = []
  #zonesOut: ReadonlySet<ZoneId> = new Set()
  /** Changes of the work state. */
  readonly workStateChanges = this.#stateEvents.stream
  /** Emits the zone of this process when it is back in service; the upstream is in cold start from then on. */
  readonly coldStarts = this.#coldStartEvents.stream

  /**
   * @param context - context of the process
   * @param hub - links of the process
   * @param configuration - source of the active configuration
   */
  constructor (context: ProcessContext, hub: LinkHub, configuration: ConfigurationService) {
    const { settings, clock, random, hash } = context
    this.#context = context
    this.#hub = hub
    this.#db = membershipDefinition.createDb(membershipConfig(context, configuration), hash)
    this.#dials = new DialTable(hub, linkOptions(context))
    this.#hostList = new HostListWatch({ url: settings.platform.hosts, clock, random })
    hub.dispatcher.on('leaving', (_link, message) => { this.#decide({ kind: 'leaving-received', now: this.#now(), hosts: message.hosts }) })
    hub.dispatcher.on('hunger', (_link, { router, zone, service, round }) => {
      this.#decide({ kind: 'capacity-request-received', now: this.#now(), capacityRequest: { router, zone, service, round } })
    })
    onEvent(hub.opened, log, ({ peer }) => {
      this.#decide({ kind: 'link-up', now: this.#now(), peer: peer.host, role: peer.role, zone: peer.zone, incarnation: peer.incarnation })
    })
    onEvent(hub.closed, log, ({ link }) => { this.#decide({ kind: 'link-down', now: this.#now(), peer: link.peer.host }) })
    onEvent(configuration.changes, log, change => { this.#applyConfig(change) })
    onEvent(this.#hostList.updates, log, list => { this.#applyHostList(list) })
  }

  /** Whether this process accepts new work, and if not, why. */
  get workState (): WorkState {
    return this.#db.workState
  }

  /** Service of the upstream beside an agent, once the configuration is known. */
  get ownService (): ServiceId | undefined {
    return this.#db.config.service
  }

  /** Zones that operators have taken out of service. */
  get zonesOut (): ReadonlySet<ZoneId> {
    return this.#zonesOut
  }

  /** Known hosts of the fleet. */
  get hosts (): MembershipDb['hosts'] {
    return this.#db.hosts
  }

  /** Number of reads of the host list since the start. */
  get reads (): number {
    return this.#hostList.status.reads
  }

  /**
   * Lists the sources that currently name a host.
   *
   * @param host - the host
   * @returns the sources; empty when none names it
   */
  sourcesOf (host: HostId): Array<'host-list' | 'configuration' | 'link'> {
    const sources: Array<'host-list' | 'configuration' | 'link'> = []
    if (this.#addresses.has(host)) sources.push('host-list')
    if (this.#db.configured.has(host)) sources.push('configuration')
    if (this.#db.hosts.get(host)?.linked === true) sources.push('link')
    return sources
  }

  start (): void {
    const { settings, clock, random } = this.#context
    for (const seed of settings.routers) this.#dials.dialSeed(seed)
    this.#hostList.start()
    this.#timers.push(clock.every(TICK_MS, () => {
      this.#reportConnectedLinks()
      this.#decide({ kind: 'tick', now: this.#now(), random: random() })
    }))
    this.#timers.push(watchPauses(clock, length => { this.#onPause(length) }))
  }

  /**
   * Requests a link to a router with a backlog, like a capacity request of that router in its last round. A router that is not
   * known here is ignored, because its zone is unknown.
   *
   * @param router - host of the router
   * @param service - the service of the backlog
   */
  requestLink (router: HostId, service: ServiceId): void {
    const zone = this.#db.hosts.get(router)?.candidate.zone
    if (zone !== undefined) this.#decide({ kind: 'capacity-request-received', now: this.#now(), capacityRequest: { router, zone, service, round: LAST_REQUEST_ROUND } })
  }

  /**
   * Sets the services that have a backlog at this router.
   *
   * @param services - the services; they replace the previous ones
   */
  setBackloggedServices (services: readonly ServiceId[]): void {
    this.#decide({ kind: 'backlog-counted', now: this.#now(), services })
  }

  /** Starts the drain: announces to the fleet that this process leaves. */
  drain (): void {
    this.#decide({ kind: 'drain', now: this.#now() })
  }

  async close (): Promise<void> {
    for (const timer of this.#timers) timer.close()
    this.#dials.close()
    this.#stateEvents.close()
    this.#coldStartEvents.close()
    await this.#hostList.close()
  }

  #now (): Millis {
    return this.#context.clock.now()
  }

  #onPause (length: Millis): void {
    log.warn('process was suspended or its event loop was blocked', { milliseconds: Math.round(length) })
    this.#context.timeLine.record({ kind: 'pause-seen', length })
    this.#decide({ kind: 'paused', now: this.#now(), length })
  }

  #reportConnectedLinks (): void {
    for (const link of this.#hub.openLinks()) {
      if (link.session.connected) this.#decide({ kind: 'peer-alive', now: this.#now(), peer: link.peer.host })
    }
  }

  #applyConfig ({ revision, config }: ActiveConfig): void {
    const zonesOut = zonesOutOf(config)
    this.#recordZones(zonesOut)
    this.#zonesOut = new Set(zonesOut)
    const upstreams = Object.entries(config.upstreams).map(([upstream, { host, service, zone, state }]) =>
      ({ upstream: upstream as never, host, service, zone, leaving: state === 'leaving' }))
    this.#decide({ kind: 'configured', now: this.#now(), revision, zonesOut, upstreams, routers: [] })
  }

  #recordZones (zonesOut: readonly ZoneId[]): void {
    for (const zone of zonesOut) {
      if (!this.#zonesOut.has(zone)) this.#context.timeLine.record({ kind: 'zone-changed', zone, detail: 'out' })
    }
    for (const zone of this.#zonesOut) {
      if (!zonesOut.includes(zone)) this.#context.timeLine.record({ kind: 'zone-changed', zone, detail: 'in' })
    }
  }

  #applyHostList (list: HostList): void {
    for (const { host, address, linkPort } of list.hosts) this.#addresses.set(host, { host: address, port: linkPort })
    const hosts: ListedHost[] = list.hosts.map(({ host, role, zone, state }) =>
      ({ host, role: role === 'router' ? 'router' : 'agent', zone, leaving: state === 'leaving' }))
    this.#decide({ kind: 'hosts-listed', now: this.#now(), hosts })
  }

  #decide (event: MembershipEvent): void {
    for (const command of membershipDefinition.decide(this.#db, event)) this.#runCommand(command)
  }

  #runCommand (command: MembershipCommand): void {
    switch (command.kind) {
      case 'dial': return this.#dial(command.peer)
      case 'disconnect': return this.#dials.stopDialling(command.peer)
      // Sessions replace unresponsive connections themselves.
      case 'replace-connection': return
      case 'work-state':
        log.info('work state changed', { state: command.state })
        return this.#stateEvents.emit(command.state)
      case 'start-cold': return this.#coldStartEvents.emit(this.#context.settings.zone)
      case 'broadcast-leaving':
        for (const link of this.#hub.openLinks()) link.send({ kind: 'leaving', hosts: command.hosts })
        return
      case 'send-capacity-request': return this.#sendCapacityRequest(command.capacityRequest, command.toRouters)
      default: return assertNever(command)
    }
  }

  #sendCapacityRequest (capacityRequest: CapacityRequest, toRouters: boolean): void {
    for (const link of this.#hub.openLinks()) {
      const isRecipient = link.peer.role === 'router' ? toRouters : this.#db.hosts.get(link.peer.host)?.service === capacityRequest.service
      if (isRecipient) link.send({ kind: 'hunger', ...capacityRequest })
    }
  }

  #dial (peer: HostId): void {
    const address = this.#addresses.get(peer)
    if (address !== undefined) this.#dials.dialHost(peer, address)
  }
}

/**
 * Lists the zones that operators have taken out of service.
 *
 * @param config - the active configuration
 */
export const zonesOutOf = (config: FleetConfig): ZoneId[] =>
  (Object.keys(config.zones) as ZoneId[]).filter(zone => config.zones[zone]?.state === 'out')

const membershipConfig = ({ settings }: ProcessContext, configuration: ConfigurationService): MembershipConfig => ({
  role: settings.role,
  host: settings.host,
  zone: settings.zone,
  get service () {
    return settings.role === 'agent' ? configuration.current?.config.upstreams[settings.upstream]?.service : undefined
  },
  minRouterLinks: MIN_ROUTER_LINKS,
  agentsPerRouter: AGENTS_PER_ROUTER,
  capacityRequestLinks: CAPACITY_REQUEST_LINKS,
  minLinkedAgents: MIN_LINKED_AGENTS,
  routersPerZone: ROUTERS_PER_ZONE,
  heartbeat: 500,
  suspectAfter: 2_000,
  forgetAfter: FORGET_AFTER_MS,
  redialDelay: REDIAL_DELAY_MS,
  linger: UNPLANNED_LINK_LINGER_MS,
  capacityRequestTtl: CAPACITY_REQUEST_TTL_MS,
  returnJitter: ZONE_RETURN_JITTER_MS
})

/** Service key of the membership service. */
export const membershipKey: ServiceKey<MembershipService> = serviceKey('membership')
