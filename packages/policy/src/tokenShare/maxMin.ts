/** Max-min fair allocation of a capacity. */

/** Demand of one participant. */
export interface Demand<K> {
  readonly key: K
  readonly demand: number
}

/**
 * Allocates a capacity max-min fairly: a demand below the equal share is met in full, and what remains is divided equally
 * among the other demands.
 *
 * @param demands - demand by key
 * @param capacity - capacity in the unit of the demands
 * @returns the share of each key: the equal share of the capacity that smaller demands leave; it can exceed the demand
 */
export const maxMinShares = <K>(demands: ReadonlyArray<Demand<K>>, capacity: number): Map<K, number> => {
  const sorted = [...demands].sort((a, b) => a.demand - b.demand)
  const shares = new Map<K, number>()
  let remaining = capacity
  let unallocatedCount = sorted.length
  for (const { key, demand } of sorted) {
    const equalShare = remaining / unallocatedCount
    shares.set(key, equalShare)
    remaining -= Math.min(demand, equalShare)
    unallocatedCount -= 1
  }
  return shares
}
