/** Results before, during and after the faults. */
import type { PlannedRequest, RequestResult, ResultKind } from '../load/loadTypes.js'
import type { Interval } from './intervals.js'
import { type LatencySummary, summariseLatency } from './latency.js'

/** Names of the phases in order. */
export const PHASES = ['before', 'during', 'after'] as const

/** A phase of a run. */
export type Phase = typeof PHASES[number]

/** What callers of one group saw in one phase. */
export interface PhaseSummary {
  readonly phase: Phase
  /** Service, and which of its callers where they are told apart. */
  readonly service: string
  readonly count: number
  readonly results: Readonly<Partial<Record<ResultKind, number>>>
  /** Whole right answers, from the intended time to the last byte. */
  readonly latency: LatencySummary
  /** From the intended time to the first byte. */
  readonly firstByte: LatencySummary
}

/**
 * Names the phase of a time.
 *
 * @param at - wall-clock time
 * @param faults - from the first start to the last end of the faults
 * @returns the phase
 */
export const phaseOf = (at: number, faults: Interval): Phase => {
  if (at < faults.from) return 'before'
  return at < faults.to ? 'during' : 'after'
}

const summarisePhase = (phase: Phase, service: string, results: readonly RequestResult[]): PhaseSummary => {
  const right = results.filter(({ result }) => result === 'right')
  const counts: Partial<Record<ResultKind, number>> = {}
  for (const { result } of results) counts[result] = (counts[result] ?? 0) + 1
  return {
    phase,
    service,
    count: results.length,
    results: counts,
    latency: summariseLatency(right.map(({ endedAt, intendedAt }) => endedAt - intendedAt)),
    firstByte: summariseLatency(right.map(({ firstByteAt, endedAt, intendedAt }) => (firstByteAt ?? endedAt) - intendedAt))
  }
}

/**
 * Summarises each group of requests in each phase. A request belongs to the phase in which it was to be sent.
 *
 * @param results - the requests
 * @param groupOf - names the group of a request
 * @param faults - from the first start to the last end of the faults
 * @returns one entry for each group and phase
 */
export const summarisePhases = (results: readonly RequestResult[], groupOf: (planned: PlannedRequest) => string, faults: Interval): PhaseSummary[] =>
  [...new Set(results.map(({ planned }) => groupOf(planned)))].sort().flatMap(group => PHASES.map(phase => summarisePhase(phase, group, results
    .filter(({ planned, intendedAt }) => groupOf(planned) === group && phaseOf(intendedAt, faults) === phase))))
