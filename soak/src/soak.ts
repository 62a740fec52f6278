/** Runs one soak: a fleet under load and faults, checked while it runs. */
import { seededRandom } from '@fuchsiaworks/bench'
import { type Clock, type Millis, systemClock } from '@fuchsiaworks/kernel'
import { LoadGenerator } from './callers/loadGenerator.js'
import { findViolation } from './invariants/allChecks.js'
import { type Violation, emptyObservations, type Observations, type SentRequest } from './invariants/observationTypes.js'
import { drawSchedule } from './schedule/faultSchedule.js'
import type { ScheduledFault } from './schedule/faultTypes.js'
import { buildFleet, type Fleet } from './world/fleet.js'
import { Operator } from './world/operator.js'
import { FaultInjector } from './world/faultInjector.js'
import { StallRecorder } from './world/stallRecorder.js'
import { Upstreams } from './world/upstreams.js'

/** Time between two checks of the invariants. */
const CHECK_PERIOD_MS: Millis = 1000

/** Length of the phase without faults at the end of a soak: time to recover, and to check that requests are served again. */
export const FAULT_FREE_MS: Millis = 10_000

/** Time after the end of the load for open requests to end. */
const SETTLE_MS: Millis = 5000

/** Time from the start of the processes to the start of the load. */
const FLEET_START_MS: Millis = 4000

/** Seed, length and fleet size of a soak. */
export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly gateways: number
}

/** Result of a soak. */
export interface SoakResult {
  readonly schedule: readonly ScheduledFault[]
  /** Undefined when all invariants hold. */
  readonly violation: Violation | undefined
  /** Recorded requests and arrivals, and log lines of gateways, that explain the violation. */
  readonly evidence: readonly string[]
  readonly observations: Observations
}

/** Last output lines of each gateway to show in addition to the lines that contain an attempt. */
const LAST_LINES_SHOWN = 4

/** Most attempts for which evidence is shown. */
const MAX_ATTEMPTS_SHOWN = 3

const describeStalls = (stalls: StallRecorder, { attempt, sentAt, end }: SentRequest, now: Millis): string[] =>
  stalls.during(sentAt, end?.at ?? now).map(({ from, to }) => `stall of the soak's process while ${attempt} was open: from ${Math.round(from)} to ${Math.round(to)}`)

const collectEvidence = (fleet: Fleet, { attempts }: Violation, observations: Observations, stalls: StallRecorder, now: Millis): string[] => {
  const shownAttempts = attempts.slice(0, MAX_ATTEMPTS_SHOWN)
  const records = shownAttempts.flatMap(attempt => [
    ...observations.requests.filter(req => req.attempt === attempt),
    ...observations.arrivals.filter(arrival => arrival.attempt === attempt)
  ].map(record => JSON.stringify(record)))
  const ownStalls = observations.requests.filter(({ attempt }) => shownAttempts.includes(attempt)).flatMap(req => describeStalls(stalls, req, now))
  const evidence = fleet.gateways.flatMap(({ index, output }) => [
    ...output.filter(line => shownAttempts.some(attempt => line.includes(`"${attempt}"`))),
    ...output.slice(-LAST_LINES_SHOWN)
  ].map(line => `gateway ${index}: ${line}`))
  return [...records, ...ownStalls, ...evidence]
}

const sleep = async (ms: Millis): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

const findAnyViolation = (fleet: Fleet, observations: Observations, now: Millis): Violation | undefined => {
  const [exit] = fleet.gateways.flatMap(({ unexpectedExits }) => unexpectedExits)
  if (exit !== undefined) return { invariant: 'no gateway process exits unexpectedly', description: exit, attempts: [] }
  return findViolation(observations, now)
}

/** Checks the invariants periodically until the given time or the first violation. */
const checkUntil = async (clock: Clock, fleet: Fleet, observations: Observations, endAt: Millis): Promise<Violation | undefined> => {
  while (clock.now() < endAt) {
    await sleep(CHECK_PERIOD_MS)
    const violation = findAnyViolation(fleet, observations, clock.now())
    if (violation !== undefined) return violation
  }
  return undefined
}

/**
 * Runs a soak.
 *
 * @param options - seed, length and fleet size
 * @returns the fault schedule, the observations and the first violation
 */
export const runSoak = async ({ seed, seconds, gateways }: SoakOptions): Promise<SoakResult> => {
  const clock = systemClock
  const observations = emptyObservations()
  const stalls = new StallRecorder(clock)
  const lengthMs = seconds * 1000
  const schedule = drawSchedule(seed, Math.max(0, lengthMs - FAULT_FREE_MS))
  const fleet = await buildFleet(clock, gateways)
  const operator = new Operator(clock, fleet.store, observations)
  const upstreams = new Upstreams(clock, fleet.store, observations)
  const faultInjector = new FaultInjector(clock, { fleet, upstreams, operator }, observations)
  const loadGenerator = new LoadGenerator(clock, seededRandom(seed + 1), fleet, operator, observations)
  operator.publish()
  await upstreams.start()
  for (const gateway of fleet.gateways) gateway.start()
  await sleep(FLEET_START_MS)
  loadGenerator.start()
  const startedAt = clock.now()
  for (const fault of schedule) clock.after(fault.startMs, () => { faultInjector.inject(fault) })
  clock.after(Math.max(0, lengthMs - FAULT_FREE_MS), () => { observations.faultFreeFrom = clock.now() })
  let violation = await checkUntil(clock, fleet, observations, startedAt + lengthMs)
  loadGenerator.stop()
  if (violation === undefined) {
    await sleep(SETTLE_MS)
    violation = findAnyViolation(fleet, observations, clock.now())
  }
  const evidence = violation === undefined ? [] : collectEvidence(fleet, violation, observations, stalls, clock.now())
  stalls.close()
  loadGenerator.close()
  await fleet.close()
  await upstreams.close()
  return { schedule, violation, evidence, observations }
}
