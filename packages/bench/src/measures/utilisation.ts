/** Share of slot time that was idle while work waited. */
import type { Deployment } from '../deployment/deploymentTypes.js'
import type { RequestResult } from '../load/loadTypes.js'
import { type Interval, sweep } from './intervals.js'
import { type LatencySummary, summariseLatency } from './latency.js'
import type { UpstreamFacts } from './runFacts.js'
import { waitIntervalsOf } from './waiting.js'

/** Milliseconds of a wait that do not count besides the way to the upstream: the processes' own work. */
const PROCESS_GRACE_MS = 10

/** Slot time at one service. */
export interface ServiceUtilisation {
  readonly service: string
  /** Milliseconds in which work waited. */
  readonly waited: number
  /** Share of the configured slot time of that span in which nothing ran, from 0 to 1. */
  readonly idleShare: number
  /** From the intended time of sending until the first run began. */
  readonly startDelay: LatencySummary
}

/**
 * Integrates idle slots over the time in which work waited.
 *
 * @param runs - when slots were taken
 * @param waits - when requests waited
 * @param slots - slots of the service
 * @returns time waited and idle share; the share is 0 when nothing waited
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
 * Measures the use of slots over a span of the run.
 *
 * @param deployment - the deployment
 * @param facts - what the upstreams saw
 * @param results - the requests
 * @param span - the time that counts
 * @returns one entry for each service
 */
export const measureUtilisation = (
  deployment: Deployment, facts: readonly UpstreamFacts[], results: readonly RequestResult[], span: Interval
): ServiceUtilisation[] => deployment.services.map(service => {
  const runs = facts.filter(({ upstream }) => upstream.service.id === service.id).flatMap(item => item.runs)
  const busySlots = runs.map(({ startedAt, endedAt }) => ({ from: startedAt, to: endedAt ?? span.to }))
  const graceMs = PROCESS_GRACE_MS + deployment.callerDelay + 4 * deployment.linkDelay
  // A request with a key may run at its home only, so its wait does not make other slots idle.
  const withoutKey = results.filter(({ planned }) => planned.service === service.id && planned.kind !== 'post-keyed')
  const waits = waitIntervalsOf(withoutKey, runs, graceMs)
  const sent = withoutKey.filter(({ intendedAt }) => intendedAt >= span.from && intendedAt < span.to)
  const startDelay = summariseLatency(waitIntervalsOf(sent, runs, 0).map(({ from, to }) => to - from))
  return { service: service.id, startDelay, ...idleWhileWaiting(clipIntervals(busySlots, span), clipIntervals(waits, span), service.slots * service.upstreamZones.length) }
})
