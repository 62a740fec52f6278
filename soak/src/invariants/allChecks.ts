/** All invariants that a soak checks. */
import { responsesInTime, noFalseClientErrors, correctResponses, refusedRequestsNotRun } from './responseChecks.js'
import {
  excludedZonesIdle, coldUpstreamsRateLimited, configurationAppliedInTime, leavingUpstreamsIdle, newConnectionsTaken, noConfigurationRollback, retriesWithinBudget, recoversAfterFaults, revokedKeysStop, surgesAnswered
} from './fleetChecks.js'
import type { Violation, Observations, InvariantCheck } from './observationTypes.js'
import { abandonedWorkStopped, resumedStreamsStopped, runningRequestsCompleted, runsWithinLimit, arrivalsMatchRequests, crashPartsContained, crashRequestsContained, streamsOfOneVersion } from './runChecks.js'

/** Rate limit of a cold upstream in a soak, in requests per second. */
export const COLD_PER_SECOND = 4

/** The checks, most severe first; the first violation is reported. */
export const ALL_CHECKS: readonly InvariantCheck[] = [
  runsWithinLimit, refusedRequestsNotRun, correctResponses, arrivalsMatchRequests, revokedKeysStop, noConfigurationRollback, configurationAppliedInTime, excludedZonesIdle,
  leavingUpstreamsIdle, coldUpstreamsRateLimited(COLD_PER_SECOND), resumedStreamsStopped, streamsOfOneVersion, crashRequestsContained, crashPartsContained, abandonedWorkStopped, runningRequestsCompleted, noFalseClientErrors, responsesInTime, newConnectionsTaken, surgesAnswered, retriesWithinBudget, recoversAfterFaults
]

/** @returns the first violation; undefined when all invariants hold */
export const findViolation = (observations: Observations, now: number): Violation | undefined => {
  for (const check of ALL_CHECKS) {
    const broken = check.find(observations, now)
    if (broken !== undefined) return broken
  }
  return undefined
}
