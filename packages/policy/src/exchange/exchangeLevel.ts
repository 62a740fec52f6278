/** Selects the granularity of exchanged counters by the size of the fleet; all processes use the same function. */
import type { FairnessScope } from '../fairness/fairnessTypes.js'
import { ENTRY_BYTES, MESSAGE_BYTES } from './counterUpdate.js'

/**
 * `agent`: totals by agent incarnation; `router`: sums by the agents' parent router; `zone`: sums by zone, collected by one
 * router per service.
 */
export type ExchangeLevel = 'agent' | 'router' | 'zone'

/** Sizes of the fleet on which the level depends. */
export interface FleetSizes {
  /** With the scope `fleet`, agents need the totals of all services. */
  readonly scope: FairnessScope
  readonly routers: number
  readonly agents: number
  readonly zones: number
  readonly services: number
  /** Number of links that an agent keeps open. */
  readonly linksPerAgent: number
  /** Pairs of workspace and service with a backlog. */
  readonly backloggedPairs: number
  /** Pairs of workspace and service in use. */
  readonly activePairs: number
}

/** Number of rounds between complete updates, which include workspaces without backlog, when sums are exchanged. */
export const FULL_ROUND_INTERVAL = 8

/** Longest interval between rounds, in milliseconds, at which a finer level is preferred. */
const MAX_FINE_PERIOD_MS = 1_500

/**
 * Computes how many bytes the busiest process sends in one round when every entry has changed.
 *
 * @param level - granularity of the counters
 * @param sizes - sizes of the fleet
 * @returns bytes
 */
export const bytesPerRound = (level: ExchangeLevel, sizes: FleetSizes): number => {
  const { scope, routers, agents, zones, services, linksPerAgent, activePairs, backloggedPairs } = sizes
  const pairsPerService = activePairs / services
  const agentsReportedPerLeaf = scope === 'fleet' ? agents : agents / services
  const pairsPerRound = backloggedPairs + (activePairs - backloggedPairs) / FULL_ROUND_INTERVAL
  const leafBytes = messageBytes(scope === 'fleet' ? pairsPerRound : pairsPerRound / services) * agents / routers
  switch (level) {
    case 'agent': {
      const leaves = agents * Math.min(linksPerAgent, routers) / routers
      return (routers - 1) * messageBytes(agents * pairsPerService) + leaves * messageBytes(agentsReportedPerLeaf * pairsPerService)
    }
    case 'router':
      return (routers - 1) * messageBytes(pairsPerRound) + leafBytes
    case 'zone': {
      const zoneRouters = routers / zones
      const rootShare = Math.max(1 / zoneRouters, 1 / services)
      const rootBytes = (zones - 1 + zoneRouters - 1) * messageBytes(pairsPerRound * rootShare)
      return rootBytes + Math.min(services, zoneRouters) * messageBytes(pairsPerRound / Math.min(services, zoneRouters)) + leafBytes
    }
  }
}

/**
 * Selects the finest level whose rounds fit the budget at an interval of at most MAX_FINE_PERIOD_MS.
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
