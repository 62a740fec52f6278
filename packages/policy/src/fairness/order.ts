/** Order of workspaces at a service, within the configured scope of fairness. */
import type { Millis, ServiceId } from '@fuchsiaworks/kernel'
import { FLEET } from './accountTable.js'
import type { FairnessDb } from './fairnessDb.js'
import { type CandidateWorkspace, FLOOR_SHARE, type FloorCredit } from './floorCredit.js'

/**
 * A workspace's credit is used only while its recent service is below this multiple of the minimum share; above 1, since
 * recent service fluctuates around its mean.
 */
const RECENT_SERVICE_MARGIN = 1.5

/**
 * Selects the next workspace: one that is below its minimum share, else the one with the least virtual time. Virtual time
 * includes pending pulls and an estimate of what other agents have chosen since their last update.
 *
 * @param db - service totals and weights
 * @param service - service with a free slot
 * @param candidates - workspaces with requests that the slot could run
 * @param floorCredit - minimum-share credit at this service; changed in place
 * @param now - monotonic time in milliseconds
 * @returns the selected workspace, or undefined when there are no candidates
 */
export const selectNextWorkspace = (db: FairnessDb, service: ServiceId, candidates: readonly CandidateWorkspace[], floorCredit: FloorCredit, now: Millis): CandidateWorkspace | undefined => {
  const chosen = belowMinimumShare(db, service, candidates, floorCredit, now) ?? leastServed(db, service, candidates, now)
  if (chosen !== undefined) floorCredit.recordChoice(candidates, chosen, workspace => db.weightOf(workspace))
  return chosen
}

/** Finds a workspace below its minimum share, both by recent service over all agents and by its credit at this one. */
const belowMinimumShare = (db: FairnessDb, service: ServiceId, candidates: readonly CandidateWorkspace[], floorCredit: FloorCredit, now: Millis): CandidateWorkspace | undefined => {
  const affordable = floorCredit.affordable(candidates)
  if (affordable.length === 0) return undefined
  const minimum = FLOOR_SHARE * RECENT_SERVICE_MARGIN * meanRecentService(db, service, now)
  return affordable.find(({ workspace }) => db.account(service, workspace).recentService.at(now) < minimum)
}

/** Recent service, in virtual cost, of a workspace that gets exactly its weighted share. */
const meanRecentService = (db: FairnessDb, service: ServiceId, now: Millis): number => {
  let cost = 0
  let weights = 0
  for (const { workspace, recentService } of db.backloggedAt(service, now)) {
    cost += recentService.at(now) * db.weightOf(workspace)
    weights += db.weightOf(workspace)
  }
  return weights === 0 ? 0 : cost / weights
}

const leastServed = (db: FairnessDb, service: ServiceId, candidates: readonly CandidateWorkspace[], now: Millis): CandidateWorkspace | undefined => {
  const scope = db.config.scope === 'fleet' ? FLEET : service
  const ratio = db.shareEstimateOf(service).ratioAt(now)
  let least: { candidate: CandidateWorkspace, time: number } | undefined
  for (const candidate of candidates) {
    const { workspace, pending } = candidate
    const pendingTime = pending / db.weightOf(workspace)
    const assumedElsewhere = ratio * (db.account(service, workspace).unmatchedCharges + pendingTime)
    const time = db.virtualTime(scope, workspace) + pendingTime + assumedElsewhere
    if (least === undefined || time < least.time) least = { candidate, time }
  }
  return least?.candidate
}
