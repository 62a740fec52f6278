/** Counts violations of correctness: wrong responses, duplicate runs, and runs of requests that were reported as not run. */
import type { RequestResult, ResultKind } from '../load/loadTypes.js'
import { countRuns, isNonIdempotent } from './doubleRuns.js'
import type { Interval } from './intervals.js'
import type { UpstreamFacts } from './upstreamFacts.js'

/** Time after publication within which a zone or an upstream that was taken out may still get new requests. */
export const TAKE_OUT_LIMIT_MS = 3000

/** Violations over the whole run. */
export interface Correctness {
  readonly wrong: number
  readonly cut: number
  readonly failed: number
  /** Nonces of non-idempotent requests that ran more than once. */
  readonly doubleRuns: readonly string[]
  /** Nonces of requests whose response said `not-run` although an upstream ran them. */
  readonly falseNotRun: readonly string[]
  /** Runs that began at an upstream after the limit since it was taken out, and before it came back. */
  readonly lateRuns: number
}

/** An interval in which upstreams were taken out of service. */
export interface OutOfServiceInterval extends Interval {
  readonly upstreams: readonly string[]
}

const countResults = (results: readonly RequestResult[], kind: ResultKind): number => results.filter(({ result }) => result === kind).length

const countLateRuns = (facts: ReadonlyArray<Pick<UpstreamFacts, 'runs'> & { upstream: { id: string } }>, outIntervals: readonly OutOfServiceInterval[]): number =>
  outIntervals.reduce((sum, { from, to, upstreams }) => sum + facts
    .filter(({ upstream }) => upstreams.includes(upstream.id))
    .flatMap(({ runs }) => runs)
    .filter(({ startedAt }) => startedAt > from + TAKE_OUT_LIMIT_MS && startedAt < to).length, 0)

/**
 * Compares the responses to callers with the runs that the upstreams recorded.
 *
 * @param results - results of the requests, each nonce once
 * @param facts - records of the upstreams
 * @param outIntervals - upstreams that were out
 * @returns the counts
 */
export const measureCorrectness = (
  results: readonly RequestResult[],
  facts: ReadonlyArray<Pick<UpstreamFacts, 'runs'> & { upstream: { id: string } }>,
  outIntervals: readonly OutOfServiceInterval[]
): Correctness => {
  const runs = countRuns(facts)
  const nonces = (accept: (result: RequestResult) => boolean): string[] => results.filter(accept).map(({ planned }) => planned.nonce)
  return {
    wrong: countResults(results, 'wrong'),
    cut: countResults(results, 'cut'),
    failed: countResults(results, 'failed'),
    doubleRuns: nonces(result => isNonIdempotent(result) && (runs.get(result.planned.nonce) ?? 0) > 1),
    falseNotRun: nonces(({ result, planned }) => result === 'not-run' && runs.has(planned.nonce)),
    lateRuns: countLateRuns(facts, outIntervals)
  }
}
