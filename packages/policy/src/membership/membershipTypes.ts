/** Events and commands of membership: whom to link with, and whether new work may be taken. */
import type { HostId, Incarnation, Millis, ServiceId, UpstreamId, ZoneId } from '@fuchsiaworks/kernel'

/** What a host runs. */
export type HostRole = 'router' | 'agent'

/** Settings of membership in one process. */
export interface MembershipConfig {
  readonly role: HostRole
  readonly host: HostId
  readonly zone: ZoneId
  /** The service of an agent's upstream. */
  readonly service: ServiceId | undefined
  /** Routers that an agent links with in any case. */
  readonly minRouterLinks: number
  /** Agents of each service that link with each router. */
  readonly agentsPerRouter: number
  /** Links that an agent adds for routers that call for agents. */
  readonly capacityRequestLinks: number
  /** Linked agents of a service under which a router with backlog calls for more. */
  readonly minLinkedAgents: number
  /** Links of a router to each zone other than its own. */
  readonly routersPerZone: number
  /** Milliseconds between heartbeats of a link. */
  readonly heartbeat: Millis
  /** Milliseconds without any word after which a peer is suspected. */
  readonly suspectAfter: Millis
  /** Milliseconds for which a host that left the list is still tried. */
  readonly forgetAfter: Millis
  /** Milliseconds before a host that could not be reached counts in the plan again. */
  readonly redialDelay: Millis
  /** Milliseconds for which a link that is no longer planned stays open; more than suspectAfter, so that a substitute outlives a failed dial. */
  readonly linger: Millis
  /** Milliseconds for which a router's call for agents holds; it calls again, more widely, after a quarter of it. */
  readonly capacityRequestTtl: Millis
  /** Longest random wait before work is taken again after the zone returned, in milliseconds. */
  readonly returnJitter: Millis
}

/** A host as the platform's list names it. */
export interface ListedHost {
  readonly host: HostId
  readonly role: HostRole
  readonly zone: ZoneId
  /** The service of an agent's upstream. */
  readonly service?: ServiceId
  readonly leaving: boolean
}

/** An upstream as the configuration names it. */
export interface ConfiguredUpstream {
  readonly upstream: UpstreamId
  /** Host of the agent beside it. */
  readonly host: HostId
  readonly service: ServiceId
  readonly zone: ZoneId
  readonly leaving: boolean
}

/** A router with backlog that too few agents serve. */
export interface CapacityRequest {
  readonly router: HostId
  readonly zone: ZoneId
  readonly service: ServiceId
  /** Counts the calls, from 1; each one is meant for twice as many agents as the one before. */
  readonly round: number
}

/** What a process hears about others. `now` is monotonic milliseconds. */
export type MembershipEvent =
  {
    readonly kind: 'hosts-listed'
    readonly now: Millis
    readonly hosts: readonly ListedHost[]
  } |
  {
    readonly kind: 'configured'
    readonly now: Millis
    readonly revision: number
    readonly zonesOut: readonly ZoneId[]
    readonly upstreams: readonly ConfiguredUpstream[]
    /** Routers named by settings or configuration. */
    readonly routers: ReadonlyArray<{ readonly host: HostId, readonly zone: ZoneId }>
  } |
  {
    readonly kind: 'link-up'
    readonly now: Millis
    readonly peer: HostId
    readonly role: HostRole
    readonly zone: ZoneId
    readonly incarnation: Incarnation
    readonly service?: ServiceId
  } |
  { readonly kind: 'peer-alive', readonly now: Millis, readonly peer: HostId } |
  {
    /** The session ended; a dialled peer is still tried. */
    readonly kind: 'link-down'
    readonly now: Millis
    readonly peer: HostId
  } |
  { readonly kind: 'leaving-received', readonly now: Millis, readonly hosts: readonly HostId[] } |
  {
    /** A router calls for agents of a service. */
    readonly kind: 'capacity-request-received'
    readonly now: Millis
    readonly capacityRequest: CapacityRequest
  } |
  {
    /** For a router: the services that have waiting requests here, replacing what was said before. */
    readonly kind: 'backlog-counted'
    readonly now: Millis
    readonly services: readonly ServiceId[]
  } |
  { readonly kind: 'drain', readonly now: Millis } |
  { readonly kind: 'paused', readonly now: Millis, readonly length: Millis } |
  {
    readonly kind: 'tick'
    readonly now: Millis
    /** Uniform in [0, 1). */
    readonly random: number
  }

/** Whether a process takes new work, and why not. */
export type WorkState = 'open' | 'leaving' | 'zone-out' | 'returning' | 'unconfigured'

/** What a process does. */
export type MembershipCommand =
  {
    /** Keep the peer connected until hang-up. */
    readonly kind: 'dial'
    readonly peer: HostId
  } |
  {
    /** Stop keeping the peer connected, once no request is open over the link. */
    readonly kind: 'disconnect'
    readonly peer: HostId
  } |
  {
    /** Replace the connection of a link that has gone silent. */
    readonly kind: 'replace-connection'
    readonly peer: HostId
  } |
  {
    /** For an agent: may new work start. For a router: is it ready for callers. */
    readonly kind: 'work-state'
    readonly state: WorkState
  } |
  {
    /** The zone has returned: the upstream counts as cold. */
    readonly kind: 'start-cold'
  } |
  {
    /** Tell a call for agents to linked agents of its service and, from the router that calls, to linked routers. */
    readonly kind: 'send-capacity-request'
    readonly capacityRequest: CapacityRequest
    readonly toRouters: boolean
  } |
  {
    /** Tell every linked peer, once, of hosts that leave. */
    readonly kind: 'broadcast-leaving'
    readonly hosts: readonly HostId[]
  }
