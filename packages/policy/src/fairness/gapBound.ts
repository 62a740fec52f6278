/** The bound on the service gap that docs/FAIRNESS.md derives. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Sizes of one service. */
export interface GapTerms {
  /** Slots of all agents of the service together. */
  readonly slots: number
  /** Largest cost or estimate of one request, in cost units. */
  readonly largestCost: number
  /** Least weight of the workspaces that are compared. */
  readonly leastWeight: number
  /** Cost units that one slot gives in a millisecond. */
  readonly slotRate: number
  /** Age of the oldest news of another agent and of a router's backlog, in milliseconds. */
  readonly propagationDelay: Millis
}

/**
 * Bounds the gap at one service: how far the difference between the service of two workspaces, by weight, moves while both
 * stay backlogged and no partition lies between the processes.
 *
 * @param terms - sizes of the service
 * @returns four times the weighted cost that all slots hold and give while news is on its way
 */
export const gapBound = ({ slots, largestCost, leastWeight, slotRate, propagationDelay: newsAge }: GapTerms): number =>
  4 * slots * (largestCost + slotRate * newsAge) / leastWeight
