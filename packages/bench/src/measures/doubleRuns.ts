/** Finds non-idempotent requests that ran more than once, at one upstream or at several. */
import type { RequestResult } from '../load/loadTypes.js'
import type { Fleet } from '../processes/fleet.js'
import { type UpstreamFacts, readUpstreamFacts } from './upstreamFacts.js'

/**
 * Counts the runs of each request over all upstreams.
 *
 * @param facts - records of the upstreams
 * @returns number of runs by nonce
 */
export const countRuns = (facts: ReadonlyArray<Pick<UpstreamFacts, 'runs'>>): Map<string, number> => {
  const counts = new Map<string, number>()
  for (const { nonce } of facts.flatMap(({ runs }) => runs)) counts.set(nonce, (counts.get(nonce) ?? 0) + 1)
  return counts
}

export const isNonIdempotent = ({ planned }: Pick<RequestResult, 'planned'>): boolean =>
  planned.kind === 'post' || planned.kind === 'post-keyed'

/**
 * Finds duplicate runs of non-idempotent requests.
 *
 * @param fleet - the running fleet
 * @param results - results of the requests
 * @returns nonces of non-idempotent requests that ran more than once
 */
export const findDoubleRuns = async (fleet: Fleet, results: readonly RequestResult[]): Promise<string[]> => {
  const counts = countRuns(await readUpstreamFacts(fleet))
  return results.filter(isNonIdempotent).map(({ planned }) => planned.nonce).filter(nonce => (counts.get(nonce) ?? 0) > 1)
}
