/** Summarises results before, during and after the faults. */
import type { PlannedRequest, RequestResult, ResultKind } from '../load/loadTypes.js'
import type { Interval } from './intervals.js'
import { type LatencySummary, summariseLatency } from './latency.js'

/** Phases of a run, in order. */
export const PHASES = ['before', 'during', 'after'] as const

/** Name of a phase. */
export type Phase = typeof PHASES[number]

/** Results of one group of requests in one phase. */
export interface PhaseSummary {
  readonly phase: Phase
  /** Name of the group: the service, with the workspace where that is reported separately. */
  readonly service: string
  readonly count: number
  readonly results: Readonly<Partial<Record<ResultKind, number>>>
  /** Latency of right responses, from the intended time of sending to the last byte. */
  readonly latency: LatencySummary
  /** Latency of right responses, from the intended time of sending to the first byte. */
  readonly firstByte: LatencySummary
}

/**
 * Finds the phase that a time belongs to.
 *
 * @param at - wall-clock time
 * @param faults - from the first start to the last end of the faults
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
 * Summarises each group of requests in each phase. The intended time of sending decides the phase of a request.
 *
 * @param results - results of the requests
 * @param groupOf - returns the name of the group of a request
 * @param faults - from the first start to the last end of the faults
 * @returns one entry for each group and phase
 */
export const summarisePhases = (results: readonly RequestResult[], groupOf: (planned: PlannedRequest) => string, faults: Interval): PhaseSummary[] =>
  [...new Set(results.map(({ planned }) => groupOf(planned)))].sort().flatMap(group => PHASES.map(phase => summarisePhase(phase, group, results
    .filter(({ planned, intendedAt }) => groupOf(planned) === group && phaseOf(intendedAt, faults) === phase))))
