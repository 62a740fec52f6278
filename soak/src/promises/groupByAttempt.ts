import type { Arrival } from './ledgerTypes.js'

/** @returns arrivals by the attempt that they belong to, in order of time */
export const groupByAttempt = (arrivals: readonly Arrival[]): Map<string, Arrival[]> => {
  const groups = new Map<string, Arrival[]>()
  for (const arrival of arrivals) {
    const group = groups.get(arrival.attempt)
    if (group === undefined) groups.set(arrival.attempt, [arrival])
    else group.push(arrival)
  }
  return groups
}
