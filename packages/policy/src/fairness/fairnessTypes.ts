/** Events, commands and records of fair service. Virtual cost is cost units divided by the workspace's weight. */
import type { Incarnation, Millis, RequestId, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'

/** Cumulative service of one origin to one workspace by one service. */
export interface CounterEntry {
  readonly origin: Incarnation
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Virtual cost charged since the origin began; only grows. */
  readonly total: number
  /** Virtual cost given back by corrections since the origin began; only grows. */
  readonly refund: number
}

/** Forfeited credit of a workspace at a service. */
export interface LiftEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Virtual cost; only grows. */
  readonly lift: number
}

/** Sum of the folded origins for one workspace and service. */
export interface BaseEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Virtual cost. */
  readonly total: number
}

/** The sums of all folded origins, taken over as a whole from whoever has the larger one. */
export interface BaseSnapshot {
  /** Sum of all entries; the order among snapshots. */
  readonly sum: number
  readonly entries: readonly BaseEntry[]
  /** Origins that the sums hold and that must not be counted again. */
  readonly folded: readonly Incarnation[]
}

/** Whether workspaces are ordered by the service they had from one service or from the whole fleet. */
export type FairnessScope = 'service' | 'fleet'

/** Settings of fair service. */
export interface FairnessConfig {
  readonly scope: FairnessScope
  /** Milliseconds by which what others tell is late, until the exchange has measured it. */
  readonly propagationDelay: Millis
  /** Milliseconds without backlog anywhere after which a workspace counts as having been idle. */
  readonly idleGrace: Millis
  /** Milliseconds of a service's whole rate that a workspace may save up over short breaks in its backlog. */
  readonly creditMs: Millis
  /** Milliseconds without a change after which an origin is folded into the base. */
  readonly foldAfter: Millis
}

/** What fair service is told. */
export type FairnessEvent =
  { readonly kind: 'work-started', readonly request: RequestId, readonly service: ServiceId, readonly workspace: WorkspaceId, readonly estimate: number, readonly now: Millis } |
  /** The cost that is known so far and the estimate of the rest. */
  { readonly kind: 'work-progressed', readonly request: RequestId, readonly cost: number, readonly now: Millis } |
  { readonly kind: 'work-ended', readonly request: RequestId, readonly cost: number, readonly now: Millis } |
  /**
   * Workspaces that wait for the service, as known at this moment. The router at which they wait says so at first hand;
   * only it takes credit from a workspace that was idle, since it cannot have been cut off from it.
   */
  { readonly kind: 'backlog-seen', readonly authoritative?: boolean, readonly service: ServiceId, readonly workspaces: readonly WorkspaceId[], readonly now: Millis } |
  {
    readonly kind: 'counters-received'
    readonly entries: readonly CounterEntry[]
    readonly lifts: readonly LiftEntry[]
    readonly base?: BaseSnapshot
    /** Link it came over; what it told is not told back to it. */
    readonly link: string
    /** True when the sender may tell of a part of the fleet that was out of reach for longer than the grace. */
    readonly rejoined: boolean
    /** True when the entries are a parent's sums, which are never folded. */
    readonly sums: boolean
    readonly now: Millis
  } |
  { readonly kind: 'weights-changed', readonly weights: ReadonlyMap<WorkspaceId, number> } |
  { readonly kind: 'tick', readonly now: Millis }

/** What follows from an event. */
export type FairnessCommand =
  /** Credit was forfeited: after idleness, or after short breaks in which more was saved up than is allowed. */
  { readonly kind: 'credit-forfeited', readonly reason: 'idle' | 'short-breaks', readonly service: ServiceId, readonly workspace: WorkspaceId, readonly amount: number }
