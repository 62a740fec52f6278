/** Observations indexed by attempt, shared by the checks. */
import type { Arrival, Observations, SentRequest } from './observationTypes.js'

/** @returns arrivals by attempt, in order of time */
export const groupByAttempt = (arrivals: readonly Arrival[]): Map<string, Arrival[]> => {
  const groups = new Map<string, Arrival[]>()
  for (const arrival of arrivals) {
    const group = groups.get(arrival.attempt)
    if (group === undefined) groups.set(arrival.attempt, [arrival])
    else group.push(arrival)
  }
  return groups
}

/** @returns runs by attempt; arrivals that an upstream declined are left out */
export const runsByAttempt = ({ arrivals }: Observations): Map<string, Arrival[]> => groupByAttempt(arrivals.filter(({ ran }) => ran))

/** @returns requests by attempt */
export const requestByAttempt = ({ requests }: Observations): Map<string, SentRequest> => new Map(requests.map(req => [req.attempt, req]))
