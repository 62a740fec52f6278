/** Max-min fair division of a capacity. */

/** Something that asks for a part of the capacity. */
export interface Demand<K> {
  readonly key: K
  readonly demand: number
}

/**
 * Divides a capacity max-min fairly: who asks for less than an even part gets all of it, and the rest is divided evenly
 * among the others.
 *
 * @param demands - who asks for how much
 * @param capacity - what there is
 * @returns for each key its level: what it may get, which is never less than the even part of what is left
 */
export const maxMinShares = <K>(demands: ReadonlyArray<Demand<K>>, capacity: number): Map<K, number> => {
  const sorted = [...demands].sort((a, b) => a.demand - b.demand)
  const shares = new Map<K, number>()
  let left = capacity
  let count = sorted.length
  for (const { key, demand } of sorted) {
    const even = left / count
    shares.set(key, even)
    left -= Math.min(demand, even)
    count -= 1
  }
  return shares
}
