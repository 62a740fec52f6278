/** Events, commands and messages of the counter exchange between processes. */
import type { HostId, Incarnation, Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { BaseSnapshot, CounterEntry, LiftEntry } from '../fairness/fairnessTypes.js'

/**
 * Role of a peer, which determines what this process sends to it.
 *
 * With totals by origin: `router` relays and receives all totals; `leaf` is an agent and receives all totals of its service;
 * `hub` is a router as seen from an agent and receives the agent's own totals.
 *
 * With sums over a tree of processes: `mesh` is the root of another tree and `parent` the next process towards the root; both
 * receive the sums of this process and its children. `child` receives the sums of all processes but itself and its children.
 */
export type Relation = 'router' | 'leaf' | 'hub' | 'mesh' | 'child' | 'parent'

/** A router at which a workspace has a backlog. */
export interface BackloggedEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Host to dial for an agent that has free slots. */
  readonly router: HostId
  /** Number of requests queued at the router. */
  readonly waiting: number
  /** Milliseconds since the router reported the backlog. */
  readonly age: Millis
}

/** Counters that changed since the last message over the same link. */
export interface Counters {
  readonly entries: readonly CounterEntry[]
  readonly lifts: readonly LiftEntry[]
  readonly backlogged: readonly BackloggedEntry[]
  /** Present when the base changed since the last message. */
  readonly base?: BaseSnapshot
}

/** Number of requests of one workspace queued at this router. */
export interface OwnBacklogEntry {
  readonly workspace: WorkspaceId
  readonly waiting: number
}

/** Input events of the exchange. */
export type ExchangeEvent =
  /** Sent twice for one link, with different services, when the peer is parent for some services and child for others. */
  {
    readonly kind: 'peer-joined'
    readonly link: string
    readonly relation: Relation
    readonly incarnation: Incarnation
    /**
     * Services whose counters the peer receives. Undefined means all, as for every agent when fairness has the scope of the
     * fleet.
     */
    readonly services?: ReadonlySet<ServiceId>
    readonly now: Millis
  } |
  { readonly kind: 'peer-gone', readonly link: string, readonly now: Millis } |
  { readonly kind: 'counters-received', readonly link: string, readonly counters: Counters, readonly now: Millis } |
  /** Workspaces with a backlog at this router; replaces the previous list. */
  { readonly kind: 'own-backlog', readonly service: ServiceId, readonly entries: readonly OwnBacklogEntry[], readonly now: Millis } |
  /** State of this agent's slots. */
  {
    readonly kind: 'slots'
    readonly service: ServiceId
    readonly free: number
    /** Upstreams that the configuration lists for the service. */
    readonly upstreams: number
    /** Hosts of the routers that this agent has links to. */
    readonly linked: ReadonlySet<HostId>
    readonly now: Millis
  } |
  { readonly kind: 'tick', readonly now: Millis }

/** Commands that result from an event. */
export type ExchangeCommand =
  { readonly kind: 'send', readonly link: string, readonly counters: Counters } |
  /** Open a link to a router that has requests for a free slot. */
  { readonly kind: 'dial', readonly router: HostId } |
  /** Close a link that was opened for the router's backlog and is unused. */
  { readonly kind: 'release', readonly router: HostId }

/** Settings of the exchange. */
export interface ExchangeConfig {
  /** Host of this process. */
  readonly host: HostId
  /** Shortest time between two rounds, in milliseconds. */
  readonly period: Millis
  /** Budget for all updates that this process sends. */
  readonly bytesPerSecond: number
  /** Number of rounds between complete updates, which include workspaces without backlog. */
  readonly fullRoundInterval: number
  /** Largest number of links that this agent opens to routers with a backlog. */
  readonly maxExtraLinks: number
  /** Milliseconds without use after which such a link is closed. */
  readonly releaseAfter: Millis
  /** Seed of this agent for the choice among routers. */
  readonly seed: number
}
