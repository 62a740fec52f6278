/** Runs one soak: a fleet under load and faults, checked while it runs. */
import { seededRandom } from '@fuchsiaworks/bench'
import { type Clock, type Millis, systemClock } from '@fuchsiaworks/kernel'
import { Load } from './callers/load.js'
import { findBroken } from './promises/allChecks.js'
import { type BrokenPromise, emptyLedger, type Ledger } from './promises/ledgerTypes.js'
import { drawSchedule } from './schedule/faultSchedule.js'
import type { ScheduledFault } from './schedule/faultTypes.js'
import { buildFleet, type Fleet } from './world/fleet.js'
import { Operator } from './world/operator.js'
import { Striker } from './world/strike.js'
import { Upstreams } from './world/upstreams.js'

/** Milliseconds between two checks of the promises. */
const CHECK_PERIOD_MS: Millis = 1000

/** Milliseconds at the end of a soak without faults: recovery, and time to judge what follows. */
export const CALM_MS: Millis = 10_000

/** Milliseconds after the load for requests to end. */
const SETTLE_MS: Millis = 5000

/** Milliseconds from the start of the processes to the load. */
const START_MS: Millis = 4000

/** What is soaked. */
export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly gateways: number
}

/** What a soak has found. */
export interface SoakResult {
  readonly schedule: readonly ScheduledFault[]
  /** Undefined when every promise was kept. */
  readonly broken: BrokenPromise | undefined
  /** Lines of gateways that explain it. */
  readonly lines: readonly string[]
  readonly ledger: Ledger
}

/** Last lines of each gateway that are shown besides those that name an attempt. */
const LAST_LINES = 4

/** Most attempts whose lines are shown. */
const SHOWN_ATTEMPTS = 3

const explain = (fleet: Fleet, { attempts }: BrokenPromise, ledger: Ledger): string[] => {
  const shown = attempts.slice(0, SHOWN_ATTEMPTS)
  const facts = shown.flatMap(attempt => [
    ...ledger.requests.filter(req => req.attempt === attempt),
    ...ledger.arrivals.filter(arrival => arrival.attempt === attempt)
  ].map(fact => JSON.stringify(fact)))
  const lines = fleet.gateways.flatMap(({ index, lines: all }) => [
    ...all.filter(line => shown.some(attempt => line.includes(`"${attempt}"`))),
    ...all.slice(-LAST_LINES)
  ].map(line => `gateway ${index}: ${line}`))
  return [...facts, ...lines]
}

const pause = async (ms: Millis): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

const findAnyBroken = (fleet: Fleet, ledger: Ledger, now: Millis): BrokenPromise | undefined => {
  const [ended] = fleet.gateways.flatMap(({ unexpectedEnds }) => unexpectedEnds)
  if (ended !== undefined) return { promise: 'no process ends by itself', what: ended, attempts: [] }
  return findBroken(ledger, now)
}

/** Waits, checking all the while; ends early at a broken promise. */
const watch = async (clock: Clock, fleet: Fleet, ledger: Ledger, untilMs: Millis): Promise<BrokenPromise | undefined> => {
  while (clock.now() < untilMs) {
    await pause(CHECK_PERIOD_MS)
    const broken = findAnyBroken(fleet, ledger, clock.now())
    if (broken !== undefined) return broken
  }
  return undefined
}

/**
 * Runs a soak.
 *
 * @param options - seed, length and size
 * @returns the first broken promise, or none
 */
export const runSoak = async ({ seed, seconds, gateways }: SoakOptions): Promise<SoakResult> => {
  const clock = systemClock
  const ledger = emptyLedger()
  const lengthMs = seconds * 1000
  const schedule = drawSchedule(seed, Math.max(0, lengthMs - CALM_MS))
  const fleet = await buildFleet(clock, gateways)
  const operator = new Operator(clock, fleet.store, ledger)
  const upstreams = new Upstreams(clock, fleet.store, ledger)
  const striker = new Striker(clock, { fleet, upstreams, operator }, ledger)
  const load = new Load(clock, seededRandom(seed + 1), fleet, operator, ledger)
  operator.publish()
  await upstreams.start()
  for (const gateway of fleet.gateways) gateway.start()
  await pause(START_MS)
  load.start()
  const startedAt = clock.now()
  for (const fault of schedule) clock.after(fault.at, () => { striker.strike(fault) })
  clock.after(Math.max(0, lengthMs - CALM_MS), () => { ledger.calmFrom = clock.now() })
  let broken = await watch(clock, fleet, ledger, startedAt + lengthMs)
  load.stop()
  if (broken === undefined) {
    await pause(SETTLE_MS)
    broken = findAnyBroken(fleet, ledger, clock.now())
  }
  const lines = broken === undefined ? [] : explain(fleet, broken, ledger)
  load.close()
  await fleet.close()
  await upstreams.close()
  return { schedule, broken, lines, ledger }
}
