/** Injects and reverts the scheduled faults while the load runs. */
import type { Caller } from '../load/caller.js'
import type { RequestResult } from '../load/loadTypes.js'
import { wallNow } from '../load/wallClock.js'
import type { Fleet } from '../processes/fleet.js'
import { endFault, startFault } from './applyFault.js'
import { resendCrashRequest } from './crashRequest.js'
import type { FaultKind, ScheduledFault } from './faultTypes.js'
import { Operator } from './operator.js'

/** A fault that was active, with the wall-clock times at which it had been injected and at which its reversal began. */
export interface FaultRecord {
  readonly kind: FaultKind
  readonly from: number
  readonly to: number
}

/** Record of all faults of a run. */
export interface FaultResults {
  readonly records: readonly FaultRecord[]
  /** Results of crash-causing requests; they are not part of the load. */
  readonly crashResults: readonly RequestResult[]
}

const waitUntil = async (time: number): Promise<void> => {
  await new Promise(resolve => { setTimeout(resolve, Math.max(0, time - wallNow())) })
}

/**
 * Injects and reverts the faults at their scheduled times.
 *
 * @param fleet - the running fleet
 * @param caller - sends crash-causing requests
 * @param faults - the schedule
 * @param loadStart - wall-clock time of the start of the load
 * @returns the faults with their actual times, and the results of crash-causing requests
 */
export const runFaults = async (fleet: Fleet, caller: Caller, faults: readonly ScheduledFault[], loadStart: number): Promise<FaultResults> => {
  const operator = new Operator(fleet)
  const records: FaultRecord[] = []
  const crashResults: RequestResult[] = []
  const runFault = async ({ kind, spans }: ScheduledFault): Promise<void> => {
    for (const span of spans) {
      await waitUntil(loadStart + span.from)
      await startFault(kind, operator)
      const from = wallNow()
      if (kind === 'engine-crash-request') crashResults.push(...await resendCrashRequest(fleet, caller, loadStart + span.to))
      await waitUntil(loadStart + span.to)
      records.push({ kind, from, to: wallNow() })
      await endFault(kind, operator)
    }
  }
  await Promise.all(faults.map(runFault))
  return { records, crashResults }
}
