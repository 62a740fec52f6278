/** What a small model of a fleet is made of: load, faults and readings. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { FairnessScope } from '../fairness/fairnessTypes.js'

/** Order by which agents pick. */
export type ModelOrder = 'fleet-fair' | 'agent-fair' | 'first-come'

/** Load of one workspace: so many requests are kept waiting at each of its routers, or they arrive by the clock. */
export interface ModelLoad {
  readonly workspace: string
  readonly weight: number
  /** Indexes of services and of routers. */
  readonly services: readonly number[]
  readonly routers: readonly number[]
  /** Requests kept waiting at each router for each service. */
  readonly waiting: number
  /** Milliseconds between arrivals at each router; when set, nothing is kept waiting. */
  readonly arrivalInterval?: Millis
  /** Least and largest milliseconds that a request runs; one millisecond is one cost unit. */
  readonly cost: readonly [least: number, largest: number]
  readonly from: Millis
  readonly until: Millis
}

/** A fault and its time. Processes are named `r0`, `r1`, … and `a0`, `a1`, …. */
export type ModelFault =
  { readonly kind: 'partition', readonly at: Millis, readonly until: Millis, readonly side: readonly string[] } |
  { readonly kind: 'pause', readonly at: Millis, readonly until: Millis, readonly process: string } |
  { readonly kind: 'restart', readonly at: Millis, readonly process: string }

/** A model and its run. */
export interface ModelOptions {
  readonly seed: number
  readonly order: ModelOrder
  readonly scope: FairnessScope
  readonly routers: number
  /** Service index of each agent. */
  readonly agents: readonly number[]
  /** Routers that each agent keeps links to; it dials others when it has free slots and hears of backlog there. */
  readonly linksPerAgent: number
  /** Slots of each agent. */
  readonly slots: number
  readonly loads: readonly ModelLoad[]
  readonly faults: readonly ModelFault[]
  /** Least and largest delay of a message, in milliseconds. */
  readonly delay: readonly [least: number, largest: number]
  /** Shortest time between two rounds of counters, in milliseconds. */
  readonly period: Millis
  /** Whether routers tell every agent of each change at once, and not in waves. */
  readonly offerToAll: boolean
  /** Whether counters also arrive twice and out of order. */
  readonly disorderedCounters: boolean
  readonly patience: Millis
  readonly duration: Millis
}

/** Reading of one moment. */
export interface ModelSample {
  readonly at: Millis
  /** Service truly given so far, by workspace and service, by weight. */
  readonly served: ReadonlyMap<string, number>
  /** Pairs of workspace and service with requests waiting; as `w/0`. */
  readonly waiting: ReadonlySet<string>
}

/** What a run gave. */
export interface ModelResult {
  readonly samples: readonly ModelSample[]
  /** Share of slot time that was free while a request for the service waited at some router. */
  readonly idleShare: number
  readonly pulls: number
  readonly handovers: number
  readonly refusals: ReadonlyMap<string, number>
  /** Largest wait of a request that was handed over, by workspace, in milliseconds. */
  readonly longestWait: ReadonlyMap<string, number>
  /** Estimated bytes a second that the busiest process sent for counters. */
  readonly counterBytes: number
}
