/** All promises that a soak checks. */
import { finalAnswers, nothingDenied, ownWholeAnswers, trueRefusals } from './answerChecks.js'
import {
  closedZonesRest, coldUpstreamsSpared, configurationInForce, leavingUpstreamsRest, oneWayConfiguration, retriesBounded, servesWhenCalm, takenKeysStop
} from './fleetChecks.js'
import type { BrokenPromise, Ledger, PromiseCheck } from './ledgerTypes.js'
import { goneCallers, noDoubleWork, nothingLost, nothingTwice, nothingUnasked, poisonContained } from './runChecks.js'

/** Requests a second that a cold upstream of a soak bears. */
export const COLD_PER_SECOND = 4

/** The checks, in order of weight. */
export const ALL_CHECKS: readonly PromiseCheck[] = [
  nothingTwice, trueRefusals, ownWholeAnswers, nothingUnasked, takenKeysStop, oneWayConfiguration, configurationInForce, closedZonesRest,
  leavingUpstreamsRest, coldUpstreamsSpared(COLD_PER_SECOND), noDoubleWork, poisonContained, goneCallers, nothingLost, nothingDenied, finalAnswers, retriesBounded, servesWhenCalm
]

/** @returns the first broken promise; undefined when all are kept */
export const findBroken = (ledger: Ledger, now: number): BrokenPromise | undefined => {
  for (const check of ALL_CHECKS) {
    const broken = check.find(ledger, now)
    if (broken !== undefined) return broken
  }
  return undefined
}
