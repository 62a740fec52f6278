/** Readings of the observations by attempt, which the checks share. */
import type { Arrival, Observations, SentRequest } from './observationTypes.js'

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

/** @returns runs by the attempt that they belong to; arrivals that an upstream declined are none */
export const runsByAttempt = ({ arrivals }: Observations): Map<string, Arrival[]> => groupByAttempt(arrivals.filter(({ ran }) => ran))

/** @returns each request by its attempt */
export const requestByAttempt = ({ requests }: Observations): Map<string, SentRequest> => new Map(requests.map(req => [req.attempt, req]))
