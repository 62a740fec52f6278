/** Runs load and faults against a fleet and collects the measures. */
import type { Deployment } from './deployment/deploymentTypes.js'
import { type ScheduledFault, spanOfFaults } from './faults/faultTypes.js'
import { outOfServiceIntervals, upstreamsTakenOut } from './faults/outOfService.js'
import { type FaultRecord, runFaults } from './faults/runFaults.js'
import { type Span, floodingWorkspace, joinPlans, planFlood, planLoad } from './load/benchPlan.js'
import type { Caller } from './load/caller.js'
import type { PlannedRequest, RequestResult } from './load/loadTypes.js'
import { runOpenLoop } from './load/openLoop.js'
import { wallNow } from './load/wallClock.js'
import { measureCorrectness } from './measures/correctness.js'
import { measureFairness } from './measures/fairness.js'
import { type FleetProcessUsage, fleetUsageSince, readFleetUsage } from './measures/fleetUsage.js'
import type { Interval } from './measures/intervals.js'
import { summarisePhases } from './measures/phases.js'
import { readUpstreamFacts } from './measures/upstreamFacts.js'
import { measureUtilisation } from './measures/utilisation.js'
import type { Measures } from './measures/verdicts.js'
import type { Fleet } from './processes/fleet.js'

/** Time before the load in which control traffic and CPU usage are measured. */
const IDLE_MEASUREMENT_MS = 5000

/** Share of the time before the first fault that is left out of the measures as warm-up. */
const WARM_UP_SHARE = 1 / 3

/** Capacity counts as sufficient while the load takes at most this share of what the faults leave. */
const SUFFICIENT_SHARE = 0.85

/** Options of a run. */
export interface RunOptions {
  readonly faults: readonly ScheduledFault[]
  /** Length of the load. */
  readonly lengthMs: number
  /** Offered load as a multiple of the capacity of each service. */
  readonly load: number
  readonly seed: number
}

/** Results and measures of a run. */
export interface BenchRun {
  readonly run: Interval
  readonly faults: readonly FaultRecord[]
  readonly results: readonly RequestResult[]
  readonly measures: Measures
  readonly loadedUse: readonly FleetProcessUsage[]
}

const sleep = async (ms: number): Promise<void> => {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}

const planRun = (deployment: Deployment, { faults, lengthMs, load, seed }: RunOptions): PlannedRequest[] => {
  const floods = faults.filter(({ kind }) => kind === 'flood').flatMap(({ spans }) => spans)
  return joinPlans([
    planLoad(deployment, { load, span: { from: 0, to: lengthMs }, seed }),
    ...floods.map((span: Span) => planFlood(deployment, span, seed))
  ])
}

const isCapacitySufficient = (fleet: Fleet, { faults, load }: RunOptions): boolean => {
  const takenOut = new Set(faults.flatMap(({ kind }) => upstreamsTakenOut(fleet, kind)))
  return fleet.deployment.services.every(service => {
    const allUpstreams = fleet.upstreams.filter(upstream => upstream.service.id === service.id)
    const remaining = allUpstreams.filter(({ id }) => !takenOut.has(id))
    return load * allUpstreams.length <= SUFFICIENT_SHARE * remaining.length
  })
}

/** Groups requests by service; under a flood, those of the flooding workspace form groups of their own. */
const createGroupOf = (deployment: Deployment, { faults }: RunOptions): (planned: PlannedRequest) => string => {
  const flooding = faults.some(({ kind }) => kind === 'flood') ? floodingWorkspace(deployment).id : undefined
  return ({ service, workspace }) => workspace === flooding ? `${service} (${workspace})` : service
}

const measureIdleUsage = async (fleet: Fleet): Promise<FleetProcessUsage[]> => {
  const before = readFleetUsage(fleet)
  await sleep(IDLE_MEASUREMENT_MS)
  return fleetUsageSince(fleet, before)
}

/**
 * Runs load and faults against a fleet that is ready, and collects the measures.
 *
 * @param fleet - the running fleet
 * @param caller - sends the load
 * @param options - options of the run
 */
export const runBench = async (fleet: Fleet, caller: Caller, options: RunOptions): Promise<BenchRun> => {
  const { deployment } = fleet
  const idleUse = await measureIdleUsage(fleet)
  const plan = planRun(deployment, options)
  const readingsBefore = readFleetUsage(fleet)
  const start = wallNow()
  let loadedUse: FleetProcessUsage[] = []
  const usageTimer = setTimeout(() => { loadedUse = fleetUsageSince(fleet, readingsBefore) }, options.lengthMs)
  const [results, faultResults] = await Promise.all([runOpenLoop(plan, caller), runFaults(fleet, caller, options.faults, start)])
  clearTimeout(usageTimer)
  const facts = await readUpstreamFacts(fleet)
  const span = spanOfFaults(options.faults)
  const faults = { from: start + span.from, to: start + span.to }
  const warmUp = start + span.from * WARM_UP_SHARE
  const run = { from: start, to: start + options.lengthMs }
  const fairness = measureFairness(deployment, facts, results, run)
  const measures: Measures = {
    faults: options.faults.map(({ kind }) => kind),
    sufficient: isCapacitySufficient(fleet, options),
    correctness: measureCorrectness(results, facts, outOfServiceIntervals(fleet, faultResults.records)),
    fairness: fairness.services,
    fleetFairness: fairness.fleet,
    utilisation: measureUtilisation(deployment, facts, results, { from: warmUp, to: faults.from }),
    idleUse,
    phases: summarisePhases(results.filter(({ intendedAt }) => intendedAt >= warmUp), createGroupOf(deployment, options), faults),
    crashes: facts.reduce((sum, { crashes }) => sum + crashes, 0),
    memberFailures: [...fleet.routers, ...fleet.agents].reduce((sum, { unexpectedExits }) => sum + unexpectedExits, 0)
  }
  return { run, faults: faultResults.records, results, measures, loadedUse }
}
