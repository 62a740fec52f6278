/** Events and commands of membership: which peers to link to, and whether to accept new work. */
import type { HostId, Incarnation, Millis, ServiceId, UpstreamId, ZoneId } from '@fuchsiaworks/kernel'

/** Role of the process on a host. */
export type HostRole = 'router' | 'agent'

/** Membership settings of one process. */
export interface MembershipConfig {
  readonly role: HostRole
  readonly host: HostId
  readonly zone: ZoneId
  /** The service of an agent's upstream. */
  readonly service: ServiceId | undefined
  /** Routers that an agent always links to. */
  readonly minRouterLinks: number
  /** Agents of each service that link to each router. */
  readonly agentsPerRouter: number
  /** Additional links of an agent to routers that request capacity. */
  readonly capacityRequestLinks: number
  /** Linked agents of a service below which a router with backlog requests more. */
  readonly minLinkedAgents: number
  /** Links of a router to each zone other than its own. */
  readonly routersPerZone: number
  /** Milliseconds between heartbeats of a link. */
  readonly heartbeat: Millis
  /** Milliseconds since a peer was last known to be alive, or since the first attempt to connect to it, after which it is taken as failed. */
  readonly suspectAfter: Millis
  /** Milliseconds after which a host that no source names any more is removed and no longer dialled. */
  readonly forgetAfter: Millis
  /** Milliseconds before an unreachable host is included in the link plan again. */
  readonly redialDelay: Millis
  /** Milliseconds for which a link that is no longer planned stays open; longer than suspectAfter, so that a replacement link stays up until a failed dial is noticed. */
  readonly linger: Millis
  /** Milliseconds for which a capacity request is valid; the router repeats it to more agents after a quarter of this time. */
  readonly capacityRequestTtl: Millis
  /** Longest random delay between the return of the zone to service and the acceptance of new work, in milliseconds. */
  readonly returnJitter: Millis
}

/** A host as listed by the platform. */
export interface ListedHost {
  readonly host: HostId
  readonly role: HostRole
  readonly zone: ZoneId
  /** The service of an agent's upstream. */
  readonly service?: ServiceId
  readonly leaving: boolean
}

/** An upstream as configured. */
export interface ConfiguredUpstream {
  readonly upstream: UpstreamId
  /** Host of the agent beside it. */
  readonly host: HostId
  readonly service: ServiceId
  readonly zone: ZoneId
  readonly leaving: boolean
}

/** Message of a router that has backlog and too few linked agents of the service. */
export interface CapacityRequest {
  readonly router: HostId
  readonly zone: ZoneId
  readonly service: ServiceId
  /** Number of the request, from 1; each round includes twice as many agents as the one before. */
  readonly round: number
}

/** Events. `now` is monotonic milliseconds. */
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
  /** The session with the peer is connected; reported repeatedly while it is. */
  { readonly kind: 'peer-alive', readonly now: Millis, readonly peer: HostId } |
  {
    /** The session ended; a dialled peer is still redialled. */
    readonly kind: 'link-down'
    readonly now: Millis
    readonly peer: HostId
  } |
  /** A peer reported that hosts leave. */
  { readonly kind: 'leaving-received', readonly now: Millis, readonly hosts: readonly HostId[] } |
  {
    /** A capacity request was received. */
    readonly kind: 'capacity-request-received'
    readonly now: Millis
    readonly capacityRequest: CapacityRequest
  } |
  {
    /** On a router: all services with waiting requests here; replaces the previous list. */
    readonly kind: 'backlog-counted'
    readonly now: Millis
    readonly services: readonly ServiceId[]
  } |
  /** This process drains: it leaves. */
  { readonly kind: 'drain', readonly now: Millis } |
  /** This process was paused for `length` milliseconds until now. */
  { readonly kind: 'paused', readonly now: Millis, readonly length: Millis } |
  {
    readonly kind: 'tick'
    readonly now: Millis
    /** Uniform in [0, 1). */
    readonly random: number
  }

/** Whether a process accepts new work (`open`), and if not, the reason. `returning`: the zone is in service again, but the random delay has not passed. */
export type WorkState = 'open' | 'leaving' | 'zone-out' | 'returning' | 'unconfigured'

/** Commands to the process. */
export type MembershipCommand =
  {
    /** Connect to the peer, and reconnect until `disconnect`. */
    readonly kind: 'dial'
    readonly peer: HostId
  } |
  {
    /** Close the link and stop reconnecting, once no request is open over it. */
    readonly kind: 'disconnect'
    readonly peer: HostId
  } |
  {
    /** Replace the connection to a peer that has been silent for `suspectAfter`. */
    readonly kind: 'replace-connection'
    readonly peer: HostId
  } |
  {
    /** The work state changed. On an agent, `open` lets new work start; on a router, it means ready for callers. */
    readonly kind: 'work-state'
    readonly state: WorkState
  } |
  {
    /** The zone has returned to service: treat the upstream as cold. */
    readonly kind: 'start-cold'
  } |
  {
    /** Send a capacity request to linked agents of its service and, from the requesting router, to linked routers. */
    readonly kind: 'send-capacity-request'
    readonly capacityRequest: CapacityRequest
    readonly toRouters: boolean
  } |
  {
    /** Broadcast once to all linked peers that hosts leave. */
    readonly kind: 'broadcast-leaving'
    readonly hosts: readonly HostId[]
  }
