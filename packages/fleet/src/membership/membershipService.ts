/** Joins the host list, the configuration and the links into dials and into the state of this process's work. */
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

/** Milliseconds between two ticks of the policy. */
const TICK_MS = 200

/** Routers that an agent links with in any case. */
const BASE_LINKS = 4

/** Agents of each service that link with each router. */
const AGENTS_PER_ROUTER = 6

/** Links that an agent adds for routers that call for agents. */
const HUNGER_LINKS = 2

/** Linked agents of a service under which a router with backlog calls for more. */
const WANTED_AGENTS = 3

/** Round of a call that every agent which hears it may answer. */
const WIDEST_ROUND = 8

/** Links of a router to each zone other than its own. */
const ROUTERS_PER_ZONE = 2

/** Milliseconds for which a host that left the list is still tried. */
const FORGET_AFTER_MS = 60_000

/** Milliseconds before a host that could not be reached counts again. */
const RETRY_DIAL_MS = 10_000

/** Milliseconds for which a link that is no longer planned stays open. */
const LINGER_MS = 30_000

/** Milliseconds for which a router's call for agents is answered. */
const HUNGER_FOR_MS = 10_000

/** Longest random wait before work is taken again after the zone returned, in milliseconds. */
const RETURN_JITTER_MS = 1_000

const log = createLog('membership')

/** Whom to link with and whether new work is taken. */
export class MembershipService implements Service {
  readonly #context: ProcessContext
  readonly #hub: LinkHub
  readonly #db: MembershipDb
  readonly #dials: DialTable
  readonly #hostList: HostListWatch
  readonly #addresses = new Map<HostId, LinkAddress>()
  readonly #states = new EventSource<WorkState>()
  readonly #colds = new EventSource<ZoneId>()
  readonly #timers: Timer[] = []
  #zonesOut: ReadonlySet<ZoneId> = new Set()
  /** Changes of whether this process takes new work. */
  readonly stateChanges = this.#states.stream
  /** The zone of this process has returned: its upstream counts as cold. */
  readonly coldStarts = this.#colds.stream

  /**
   * @param context - the process
   * @param hub - its links
   * @param configuration - the shared configuration
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
    onEvent(configuration.changes, log, change => { this.#configure(change) })
    onEvent(this.#hostList.news, log, list => { this.#takeList(list) })
  }

  /** Whether this process takes new work, and why not. */
  get state (): WorkState {
    return this.#db.workState
  }

  /** Service of the upstream beside an agent, once the configuration is known. */
  get ownService (): ServiceId | undefined {
    return this.#db.config.service
  }

  /** Zones that operators have taken out. */
  get zonesOut (): ReadonlySet<ZoneId> {
    return this.#zonesOut
  }

  /** What this process knows of other hosts. */
  get hosts (): MembershipDb['hosts'] {
    return this.#db.hosts
  }

  /** Reads of the host list since the start. */
  get reads (): number {
    return this.#hostList.status.reads
  }

  /**
   * Tells where a host is known from.
   *
   * @param host - the host
   * @returns the sources
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
      this.#hearLinks()
      this.#decide({ kind: 'tick', now: this.#now(), random: random() })
    }))
    this.#timers.push(watchPauses(clock, length => { this.#onPause(length) }))
  }

  /**
   * Asks for a link to a router that has work which nobody takes.
   *
   * @param router - host of the router
   * @param service - the service that it has work of
   */
  requestLink (router: HostId, service: ServiceId): void {
    const zone = this.#db.hosts.get(router)?.candidate.zone
    if (zone !== undefined) this.#decide({ kind: 'capacity-request-received', now: this.#now(), capacityRequest: { router, zone, service, round: WIDEST_ROUND } })
  }

  /**
   * Tells which services have requests that wait at this router.
   *
   * @param services - the services; they replace what was said before
   */
  setBackloggedServices (services: readonly ServiceId[]): void {
    this.#decide({ kind: 'backlog-counted', now: this.#now(), services })
  }

  /** Tells the fleet that this process leaves. */
  drain (): void {
    this.#decide({ kind: 'drain', now: this.#now() })
  }

  async close (): Promise<void> {
    for (const timer of this.#timers) timer.close()
    this.#dials.close()
    this.#states.close()
    this.#colds.close()
    await this.#hostList.close()
  }

  #now (): Millis {
    return this.#context.clock.now()
  }

  #onPause (length: Millis): void {
    log.warn('this process was stopped or blocked', { milliseconds: Math.round(length) })
    this.#context.timeLine.record({ kind: 'pause-seen', length })
    this.#decide({ kind: 'paused', now: this.#now(), length })
  }

  #hearLinks (): void {
    for (const link of this.#hub.openLinks()) {
      if (link.session.connected) this.#decide({ kind: 'peer-alive', now: this.#now(), peer: link.peer.host })
    }
  }

  #configure ({ revision, config }: ActiveConfig): void {
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

  #takeList (list: HostList): void {
    for (const { host, address, linkPort } of list.hosts) this.#addresses.set(host, { host: address, port: linkPort })
    const hosts: ListedHost[] = list.hosts.map(({ host, role, zone, state }) =>
      ({ host, role: role === 'router' ? 'router' : 'agent', zone, leaving: state === 'leaving' }))
    this.#decide({ kind: 'hosts-listed', now: this.#now(), hosts })
  }

  #decide (event: MembershipEvent): void {
    for (const command of membershipDefinition.decide(this.#db, event)) this.#run(command)
  }

  #run (command: MembershipCommand): void {
    switch (command.kind) {
      case 'dial': return this.#dial(command.peer)
      case 'disconnect': return this.#dials.hangUp(command.peer)
      // Sessions replace silent connections by themselves.
      case 'replace-connection': return
      case 'work-state':
        log.info('the work state changed', { state: command.state })
        return this.#states.emit(command.state)
      case 'start-cold': return this.#colds.emit(this.#context.settings.zone)
      case 'broadcast-leaving':
        for (const link of this.#hub.openLinks()) link.send({ kind: 'leaving', hosts: command.hosts })
        return
      case 'send-capacity-request': return this.#tellHunger(command.capacityRequest, command.toRouters)
      default: return assertNever(command)
    }
  }

  #tellHunger (call: CapacityRequest, toRouters: boolean): void {
    for (const link of this.#hub.openLinks()) {
      const isMeant = link.peer.role === 'router' ? toRouters : this.#db.hosts.get(link.peer.host)?.service === call.service
      if (isMeant) link.send({ kind: 'hunger', ...call })
    }
  }

  #dial (peer: HostId): void {
    const address = this.#addresses.get(peer)
    if (address !== undefined) this.#dials.dialHost(peer, address)
  }
}

/**
 * Lists the zones that operators have taken out.
 *
 * @param config - the configuration in force
 * @returns the zones
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
  baseLinks: BASE_LINKS,
  agentsPerRouter: AGENTS_PER_ROUTER,
  capacityRequestLinks: HUNGER_LINKS,
  minLinkedAgents: WANTED_AGENTS,
  routersPerZone: ROUTERS_PER_ZONE,
  heartbeat: 500,
  suspectAfter: 2_000,
  forgetAfter: FORGET_AFTER_MS,
  redialDelay: RETRY_DIAL_MS,
  linger: LINGER_MS,
  capacityRequestTtl: HUNGER_FOR_MS,
  returnJitter: RETURN_JITTER_MS
})

/** Key of the membership service. */
export const membershipKey: ServiceKey<MembershipService> = serviceKey('membership')
