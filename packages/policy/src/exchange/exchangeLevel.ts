/** Chooses, by the sizes of the fleet, which sums are told: one function for all processes. */
import type { FairnessScope } from '../fairness/fairnessTypes.js'
import { ENTRY_BYTES, MESSAGE_BYTES } from './tell.js'

/** Totals by agent incarnation; sums by home router; or sums by zone, gathered by one router for each service. */
export type ExchangeLevel = 'agent' | 'router' | 'zone'

/** Sizes that decide. */
export interface FleetSizes {
  /** Agents need the totals of all services when the order is that of the whole fleet. */
  readonly scope: FairnessScope
  readonly routers: number
  readonly agents: number
  readonly zones: number
  readonly services: number
  /** Links that an agent keeps. */
  readonly linksPerAgent: number
  /** Pairs of workspace and service with backlog. */
  readonly backloggedPairs: number
  /** Pairs of workspace and service in use. */
  readonly activePairs: number
}

/** Rounds after which workspaces without backlog are told as well, when sums are told. */
export const FULL_ROUND_INTERVAL = 8

/** Milliseconds between rounds up to which a finer level is preferred. */
const MAX_FINE_PERIOD_MS = 1_500

/**
 * Works out what the busiest process sends in one round when every entry has changed.
 *
 * @param level - which sums are told
 * @param sizes - sizes of the fleet
 * @returns bytes
 */
export const bytesPerRound = (level: ExchangeLevel, sizes: FleetSizes): number => {
  const { scope, routers, agents, zones, services, linksPerAgent, activePairs, backloggedPairs } = sizes
  const pairsPerService = activePairs / services
  const agentsPerLeaf = scope === 'fleet' ? agents : agents / services
  const pairs = backloggedPairs + (activePairs - backloggedPairs) / FULL_ROUND_INTERVAL
  const leafBytes = messageBytes(scope === 'fleet' ? pairs : pairs / services) * agents / routers
  switch (level) {
    case 'agent': {
      const leaves = agents * Math.min(linksPerAgent, routers) / routers
      return (routers - 1) * messageBytes(agents * pairsPerService) + leaves * messageBytes(agentsPerLeaf * pairsPerService)
    }
    case 'router':
      return (routers - 1) * messageBytes(pairs) + leafBytes
    case 'zone': {
      const zoneRouters = routers / zones
      const rootShare = Math.max(1 / zoneRouters, 1 / services)
      const rootBytes = (zones - 1 + zoneRouters - 1) * messageBytes(pairs * rootShare)
      return rootBytes + Math.min(services, zoneRouters) * messageBytes(pairs / Math.min(services, zoneRouters)) + leafBytes
    }
  }
}

/**
 * Chooses the finest level that the budget lets be told often enough.
 *
 * @param sizes - sizes of the fleet
 * @param bytesPerSecond - bytes per second that a process may send
 * @returns the level
 */
export const selectExchangeLevel = (sizes: FleetSizes, bytesPerSecond: number): ExchangeLevel => {
  const fits = (level: ExchangeLevel): boolean => bytesPerRound(level, sizes) * 1000 / bytesPerSecond <= MAX_FINE_PERIOD_MS
  if (fits('agent')) return 'agent'
  return fits('router') ? 'router' : 'zone'
}

const messageBytes = (entries: number): number => MESSAGE_BYTES + entries * ENTRY_BYTES
