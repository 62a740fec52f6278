/** Measures the share of slot time that was idle while requests waited. */
import type { Deployment } from '../deployment/deploymentTypes.js'
import type { RequestResult } from '../load/loadTypes.js'
import { type Interval, sweep } from './intervals.js'
import { type LatencySummary, summariseLatency } from './latency.js'
import type { UpstreamFacts } from './upstreamFacts.js'
import { waitIntervalsOf } from './waiting.js'

/** Part of a wait that is spent in processing by router and agent, and does not count as waiting for a slot. */
const PROCESSING_GRACE_MS = 10

/** Utilisation of the slots of one service. */
export interface ServiceUtilisation {
  readonly service: string
  /** Milliseconds in which at least one request waited. */
  readonly waited: number
  /** Share of the configured slot time in these milliseconds in which the slot was idle, from 0 to 1. */
  readonly idleShare: number
  /** From the intended time of sending to the start of the first run. */
  readonly startDelay: LatencySummary
}

/**
 * Integrates idle slots over the time in which requests waited.
 *
 * @param runs - intervals in which a slot was taken
 * @param waits - intervals in which a request waited
 * @param slots - number of slots of the service
 * @returns time waited and idle share; the share is 0 when no request waited
 */
export const idleWhileWaiting = (runs: readonly Interval[], waits: readonly Interval[], slots: number): { waited: number, idleShare: number } => {
  let waited = 0
  let idle = 0
  sweep(runs, waits, ({ from, to }, running, waiting) => {
    if (waiting === 0) return
    waited += to - from
    idle += (to - from) * Math.max(0, slots - running)
  })
  return { waited, idleShare: waited === 0 ? 0 : idle / (waited * slots) }
}

const clipIntervals = (intervals: readonly Interval[], span: Interval): Interval[] =>
  intervals.map(({ from, to }) => ({ from: Math.max(from, span.from), to: Math.min(to, span.to) })).filter(({ from, to }) => to > from)

/**
 * Measures the utilisation of slots over an interval of the run.
 *
 * @param deployment - the deployment
 * @param facts - records of the upstreams
 * @param results - results of the requests
 * @param span - the interval
 * @returns one entry for each service
 */
export const measureUtilisation = (
  deployment: Deployment, facts: readonly UpstreamFacts[], results: readonly RequestResult[], span: Interval
): ServiceUtilisation[] => deployment.services.map(service => {
  const runs = facts.filter(({ upstream }) => upstream.service.id === service.id).flatMap(item => item.runs)
  const busySlots = runs.map(({ startedAt, endedAt }) => ({ from: startedAt, to: endedAt ?? span.to }))
  const graceMs = PROCESSING_GRACE_MS + deployment.callerDelayMs + 4 * deployment.linkDelayMs
  // A request with an idempotency key runs only at the home of its key, so other slots may rightly be idle while it waits.
  const withoutKey = results.filter(({ planned }) => planned.service === service.id && planned.kind !== 'post-keyed')
  const waits = waitIntervalsOf(withoutKey, runs, graceMs)
  const sent = withoutKey.filter(({ intendedAt }) => intendedAt >= span.from && intendedAt < span.to)
  const startDelay = summariseLatency(waitIntervalsOf(sent, runs, 0).map(({ from, to }) => to - from))
  return { service: service.id, startDelay, ...idleWhileWaiting(clipIntervals(busySlots, span), clipIntervals(waits, span), service.slots * service.upstreamZones.length) }
})
