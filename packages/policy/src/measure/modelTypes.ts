/** Options and results of a simulated fleet: load, faults and samples. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { FairnessScope } from '../fairness/fairnessTypes.js'

/** Order in which agents pick requests: fair across the fleet, fair within each agent, or first come, first served. */
export type ModelOrder = 'fleet-fair' | 'agent-fair' | 'first-come'

/** Load of one workspace: closed (a number of requests is kept waiting at each router) or open (requests arrive at intervals). */
export interface ModelLoad {
  readonly workspace: string
  readonly weight: number
  /** Indexes of the services that the workspace uses. */
  readonly services: readonly number[]
  /** Indexes of the routers at which its requests arrive. */
  readonly routers: readonly number[]
  /** Requests kept waiting at each router for each service. */
  readonly waiting: number
  /** Milliseconds between arrivals at each router; when set, the load is open and `waiting` is ignored. */
  readonly arrivalInterval?: Millis
  /** Shortest and longest run time of a request in milliseconds; one millisecond is one cost unit. */
  readonly cost: readonly [least: number, largest: number]
  readonly from: Millis
  readonly until: Millis
}

/** A fault and its time. Routers are named `r0`, `r1`, …, agents `a0`, `a1`, …. */
export type ModelFault =
  { readonly kind: 'partition', readonly at: Millis, readonly until: Millis, readonly side: readonly string[] } |
  { readonly kind: 'pause', readonly at: Millis, readonly until: Millis, readonly process: string } |
  { readonly kind: 'restart', readonly at: Millis, readonly process: string }

/** Options of a model and its run. */
export interface ModelOptions {
  readonly seed: number
  readonly order: ModelOrder
  readonly scope: FairnessScope
  readonly routers: number
  /** Service index of each agent. */
  readonly agents: readonly number[]
  /** Routers that each agent keeps links to; it dials others when it has free slots and they report backlog. */
  readonly linksPerAgent: number
  /** Slots of each agent. */
  readonly slots: number
  readonly loads: readonly ModelLoad[]
  readonly faults: readonly ModelFault[]
  /** Shortest and longest delay of a message, in milliseconds. */
  readonly delay: readonly [least: number, largest: number]
  /** Shortest time between two rounds of the counter exchange, in milliseconds. */
  readonly period: Millis
  /** Whether routers send each change of their backlog to all agents at once instead of in waves. */
  readonly sendBacklogToAll: boolean
  /** Whether some counters arrive a second time, late and out of order. */
  readonly duplicateCounters: boolean
  /** Longest time for which a request waits in a queue, in milliseconds. */
  readonly patience: Millis
  readonly duration: Millis
}

/** State at one time. */
export interface ModelSample {
  readonly at: Millis
  /** Cost units actually served so far, divided by weight, by workspace and service. */
  readonly served: ReadonlyMap<string, number>
  /** Pairs of workspace and service with waiting requests, such as `w/0`. */
  readonly waiting: ReadonlySet<string>
}

/** Result of a run. */
export interface ModelResult {
  readonly samples: readonly ModelSample[]
  /** Share of slot time that was idle while a request for the service waited at a reachable router. */
  readonly idleShare: number
  readonly pulls: number
  readonly handovers: number
  readonly refusals: ReadonlyMap<string, number>
  /** Longest wait of a request before its handover, by workspace, in milliseconds. */
  readonly longestWait: ReadonlyMap<string, number>
  /** Estimated counter traffic of the process that sent most, in bytes per second. */
  readonly counterBytes: number
}
