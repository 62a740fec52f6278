/** Events, commands and messages by which processes tell each other their counters. */
import type { HostId, Incarnation, Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { BaseSnapshot, CounterEntry, LiftEntry } from '../fairness/fairnessTypes.js'

/**
 * What a peer is to this process. Totals by origin: `router` (the peer relays all), `leaf` (an agent, told all of
 * its service), `hub` (seen from the agent, told own totals). Sums: `mesh` (a root of another tree, told own sums),
 * `child` (told the sum of the rest), `parent` (told own sums).
 */
export type Relation = 'router' | 'leaf' | 'hub' | 'mesh' | 'child' | 'parent'

/** A router where a workspace waits. */
export interface BackloggedEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Host to dial for an agent that has free slots. */
  readonly router: HostId
  /** Requests that wait there. */
  readonly waiting: number
  /** Milliseconds since the router said so. */
  readonly age: Millis
}

/** Counters that changed since the last message over the same link. */
export interface Counters {
  readonly entries: readonly CounterEntry[]
  readonly lifts: readonly LiftEntry[]
  readonly backlogged: readonly BackloggedEntry[]
  /** Present when it changed since the last message. */
  readonly base?: BaseSnapshot
}

/** Waiting requests of one workspace at this router. */
export interface OwnBacklogEntry {
  readonly workspace: WorkspaceId
  readonly waiting: number
}

/** What the exchange is told. */
export type ExchangeEvent =
  /** May come twice for one link, with different services, when the peer is parent for some and child for others. */
  {
    readonly kind: 'peer-joined'
    readonly link: string
    readonly relation: Relation
    readonly incarnation: Incarnation
    /** Services that the peer is told of; undefined for all, as for every agent when the order is that of the whole fleet. */
    readonly services?: ReadonlySet<ServiceId>
    readonly now: Millis
  } |
  { readonly kind: 'peer-gone', readonly link: string, readonly now: Millis } |
  { readonly kind: 'counters-received', readonly link: string, readonly counters: Counters, readonly now: Millis } |
  /** Workspaces that wait at this router; it replaces what was said before. */
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

/** What follows from an event. */
export type ExchangeCommand =
  { readonly kind: 'send', readonly link: string, readonly counters: Counters } |
  /** A slot is free and this router has requests for it: open a link. */
  { readonly kind: 'dial', readonly router: HostId } |
  /** A link that was opened for its backlog is not needed any more. */
  { readonly kind: 'release', readonly router: HostId }

/** Settings of the exchange. */
export interface ExchangeConfig {
  /** Host of this process. */
  readonly host: HostId
  /** Shortest time between two rounds, in milliseconds. */
  readonly period: Millis
  /** Bytes a second that all rounds together may take. */
  readonly bytesPerSecond: number
  /** Rounds after which workspaces without backlog are told as well. */
  readonly fullRoundInterval: number
  /** Links that this agent may open for backlog elsewhere. */
  readonly maxExtraLinks: number
  /** Milliseconds without use after which such a link is released. */
  readonly releaseAfter: Millis
  /** Seed by which this agent chooses among routers. */
  readonly seed: number
}
