/** Counts what must never happen: wrong answers, repeated work, work that was said not to have run. */
import type { RequestResult, ResultKind } from '../load/loadTypes.js'
import { countRuns, isNonIdempotent } from './doubleRuns.js'
import type { Interval } from './intervals.js'
import type { UpstreamFacts } from './runFacts.js'

/** Milliseconds after publication in which a zone or an upstream that is out may still get new work. */
export const TAKE_OUT_LIMIT_MS = 3000

/** Counts over a whole run. */
export interface Correctness {
  readonly wrong: number
  readonly cut: number
  readonly failed: number
  /** Non-idempotent requests that ran more than once. */
  readonly doubleRuns: readonly string[]
  /** Requests answered as not run that did run. */
  readonly falseNotRun: readonly string[]
  /** Runs that began at an upstream longer than the limit after it was taken out. */
  readonly lateRuns: number
}

/** Upstreams that were out for a time. */
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
 * Compares what callers were told with what the upstreams saw.
 *
 * @param results - the requests, each nonce once
 * @param facts - what the upstreams saw
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
