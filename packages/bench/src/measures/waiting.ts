/** Finds when requests waited for an upstream. */
import type { Run } from '@fuchsiaworks/standins'
import type { RequestResult } from '../load/loadTypes.js'
import type { Interval } from './intervals.js'

/**
 * Finds when each request waited: from the time it was to be sent until it first ran, or until it was answered without
 * running.
 *
 * @param results - the requests
 * @param runs - all runs at all upstreams
 * @param graceMs - milliseconds of each wait that do not count, for the way to the upstream
 * @returns one interval for each request that waited longer than the grace
 */
export const waitIntervalsOf = (results: readonly RequestResult[], runs: ReadonlyArray<Pick<Run, 'nonce' | 'startedAt'>>, graceMs: number): Interval[] => {
  const firstRun = new Map<string, number>()
  for (const { nonce, startedAt } of runs) firstRun.set(nonce, Math.min(startedAt, firstRun.get(nonce) ?? Infinity))
  return results
    .map(({ planned, intendedAt, endedAt }) => ({ from: intendedAt + graceMs, to: firstRun.get(planned.nonce) ?? endedAt }))
    .filter(({ from, to }) => to > from)
}
