/** Upper bound on the service gap between workspaces, as derived in docs/FAIRNESS.md. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Parameters of one service. */
export interface GapTerms {
  /** Total slots over all agents of the service. */
  readonly slots: number
  /** Largest cost or estimate of one request, in cost units. */
  readonly largestCost: number
  /** Smallest weight among the compared workspaces. */
  readonly leastWeight: number
  /** Cost units that one slot serves per millisecond. */
  readonly slotRate: number
  /** Largest delay, in milliseconds, with which an agent learns of other agents' service and of routers' backlogs. */
  readonly propagationDelay: Millis
}

/**
 * Bounds how far the difference between the weighted service of two workspaces can change while both stay backlogged and
 * no network partition separates the processes.
 *
 * @param terms - parameters of the service
 * @returns four times the weighted cost that all slots hold and serve during the propagation delay
 */
export const gapBound = ({ slots, largestCost, leastWeight, slotRate, propagationDelay }: GapTerms): number =>
  4 * slots * (largestCost + slotRate * propagationDelay) / leastWeight
