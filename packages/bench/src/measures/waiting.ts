/** Finds the intervals in which requests waited for a slot. */
import type { RequestRun } from '@fuchsiaworks/standins'
import type { RequestResult } from '../load/loadTypes.js'
import type { Interval } from './intervals.js'

/**
 * Finds the interval in which each request waited: from the intended time of sending to its first run, or to the end of its
 * response when it never ran.
 *
 * @param results - results of the requests
 * @param runs - all runs at all upstreams
 * @param graceMs - initial part of each wait that does not count, for transmission and processing
 * @returns one interval for each request that waited longer than the grace time
 */
export const waitIntervalsOf = (results: readonly RequestResult[], runs: ReadonlyArray<Pick<RequestRun, 'nonce' | 'startedAt'>>, graceMs: number): Interval[] => {
  const firstRun = new Map<string, number>()
  for (const { nonce, startedAt } of runs) firstRun.set(nonce, Math.min(startedAt, firstRun.get(nonce) ?? Infinity))
  return results
    .map(({ planned, intendedAt, endedAt }) => ({ from: intendedAt + graceMs, to: firstRun.get(planned.nonce) ?? endedAt }))
    .filter(({ from, to }) => to > from)
}
