/**
 * Events, commands and records of fairness. Virtual cost is cost in cost units divided by the workspace's weight. The service
 * that a workspace receives, as in fair queueing, is the virtual cost of its requests; "a service" with an id is the target of
 * requests.
 */
import type { Incarnation, Millis, RequestId, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'

/** Cumulative service that one origin gave to one workspace at one service. */
export interface CounterEntry {
  /** Name under which a process counts: its incarnation, alone or with a suffix. */
  readonly origin: Incarnation
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Virtual cost charged since the origin started; only grows. */
  readonly total: number
  /** Virtual cost refunded by corrections since the origin started; only grows. */
  readonly refund: number
}

/** Forfeited credit of a workspace at a service. */
export interface LiftEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Virtual cost; only grows. */
  readonly lift: number
}

/** Sum of the folded origins of one workspace at one service. */
export interface BaseEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Virtual cost. */
  readonly total: number
}

/** Sums of all folded origins. A process replaces its snapshot by a received one with a larger sum. */
export interface BaseSnapshot {
  /** Sum of all entries, by which snapshots are ordered. */
  readonly sum: number
  readonly entries: readonly BaseEntry[]
  /** Origins that are part of the sums and must not be counted again. */
  readonly folded: readonly Incarnation[]
}

/** Whether workspaces are ordered by what they received from one service or from all services of the fleet. */
export type FairnessScope = 'service' | 'fleet'

/** Settings of fairness. */
export interface FairnessConfig {
  readonly scope: FairnessScope
  /** Delay in milliseconds of other processes' updates, until the exchange has measured it. */
  readonly propagationDelay: Millis
  /** Milliseconds without backlog anywhere after which a workspace counts as idle. */
  readonly idleGrace: Millis
  /** Credit that a workspace may accumulate over short breaks in its backlog, in milliseconds of the service's total rate. */
  readonly creditMs: Millis
  /** Milliseconds without a change after which an origin is folded into the base. */
  readonly foldAfter: Millis
}

/** Input events of fairness. */
export type FairnessEvent =
  { readonly kind: 'work-started', readonly request: RequestId, readonly service: ServiceId, readonly workspace: WorkspaceId, readonly estimate: number, readonly now: Millis } |
  /** `cost` is the known cost so far plus the estimate of the remainder. */
  { readonly kind: 'work-progressed', readonly request: RequestId, readonly cost: number, readonly now: Millis } |
  { readonly kind: 'work-ended', readonly request: RequestId, readonly cost: number, readonly now: Millis } |
  /**
   * Workspaces known to have requests queued for the service. `authoritative` is set by the router that holds the queue.
   * Only that router makes an idle workspace forfeit credit, since other processes may have been partitioned from the queue.
   */
  { readonly kind: 'backlog-seen', readonly authoritative?: boolean, readonly service: ServiceId, readonly workspaces: readonly WorkspaceId[], readonly now: Millis } |
  {
    readonly kind: 'counters-received'
    readonly entries: readonly CounterEntry[]
    readonly lifts: readonly LiftEntry[]
    readonly base?: BaseSnapshot
    /** Link over which the counters were received; they are not sent back over it. */
    readonly link: string
    /** True when the sender may report a part of the fleet that was unreachable for longer than the idle grace. */
    readonly rejoined: boolean
    /** True when the entries are a parent's sums, which are never folded. */
    readonly areParentSums: boolean
    readonly now: Millis
  } |
  { readonly kind: 'weights-changed', readonly weights: ReadonlyMap<WorkspaceId, number> } |
  { readonly kind: 'tick', readonly now: Millis }

/** Commands that result from an event. */
export type FairnessCommand =
  /** Credit was forfeited, either after an idle period or because short breaks accumulated more than the credit limit. */
  { readonly kind: 'credit-forfeited', readonly reason: 'idle' | 'short-breaks', readonly service: ServiceId, readonly workspace: WorkspaceId, readonly amount: number }
