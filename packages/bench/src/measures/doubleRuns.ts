/** Finds non-idempotent requests that ran more than once anywhere. */
import type { RequestResult } from '../load/loadTypes.js'
import type { Fleet } from '../processes/fleet.js'
import { type UpstreamFacts, readFacts } from './runFacts.js'

/**
 * Counts the runs of each request over all upstreams.
 *
 * @param facts - what the upstreams saw
 * @returns runs by nonce
 */
export const countRuns = (facts: ReadonlyArray<Pick<UpstreamFacts, 'runs'>>): Map<string, number> => {
  const counts = new Map<string, number>()
  for (const { nonce } of facts.flatMap(({ runs }) => runs)) counts.set(nonce, (counts.get(nonce) ?? 0) + 1)
  return counts
}

/** True for a request that must not run twice. */
export const isNonIdempotent = ({ planned }: Pick<RequestResult, 'planned'>): boolean =>
  planned.kind === 'post' || planned.kind === 'post-keyed'

/**
 * Finds double runs.
 *
 * @param fleet - the running fleet
 * @param results - the requests that were sent
 * @returns nonces of non-idempotent requests that ran more than once
 */
export const findDoubleRuns = async (fleet: Fleet, results: readonly RequestResult[]): Promise<string[]> => {
  const counts = countRuns(await readFacts(fleet))
  return results.filter(isNonIdempotent).map(({ planned }) => planned.nonce).filter(nonce => (counts.get(nonce) ?? 0) > 1)
}
