/** Order of workspaces at a service: the one function that knows the scope of fairness. */
import type { Millis, ServiceId } from '@fuchsiaworks/kernel'
import { FLEET } from './accountTable.js'
import type { FairnessDb } from './fairnessDb.js'
import { type CandidateWorkspace, FLOOR_SHARE, type FloorCredit } from './floorCredit.js'

/** Recent service up to which a claim is honoured, in least shares; recent service swings around its mean. */
const RECENT_SERVICE_MARGIN = 1.5

/**
 * Finds whose turn it is: a workspace whose least share of the service is due, else the least virtual time with the
 * work that is under way and what other agents are assumed to have chosen meanwhile.
 *
 * @param db - totals and weights
 * @param service - service that has a free slot
 * @param contenders - workspaces with requests that it could take
 * @param floor - least shares at this service; changed in place
 * @param now - monotonic reading
 * @returns the contender, or undefined when there is none
 */
export const selectNextWorkspace = (db: FairnessDb, service: ServiceId, contenders: readonly CandidateWorkspace[], floor: FloorCredit, now: Millis): CandidateWorkspace | undefined => {
  const chosen = belowMinimumShare(db, service, contenders, floor, now) ?? leastServed(db, service, contenders, now)
  if (chosen !== undefined) floor.recordChoice(contenders, chosen, workspace => db.weightOf(workspace))
  return chosen
}

/** A workspace that had less than its least share: of late over all agents, and by the claims at this one. */
const belowMinimumShare = (db: FairnessDb, service: ServiceId, contenders: readonly CandidateWorkspace[], floor: FloorCredit, now: Millis): CandidateWorkspace | undefined => {
  const affordable = floor.affordable(contenders)
  if (affordable.length === 0) return undefined
  const least = FLOOR_SHARE * RECENT_SERVICE_MARGIN * meanRecentService(db, service, now)
  return affordable.find(({ workspace }) => db.account(service, workspace).recentService.at(now) < least)
}

/** Recent service of a workspace that has exactly its weighted share, in virtual cost. */
const meanRecentService = (db: FairnessDb, service: ServiceId, now: Millis): number => {
  let cost = 0
  let weights = 0
  for (const { workspace, recentService } of db.backloggedAt(service, now)) {
    cost += recentService.at(now) * db.weightOf(workspace)
    weights += db.weightOf(workspace)
  }
  return weights === 0 ? 0 : cost / weights
}

const leastServed = (db: FairnessDb, service: ServiceId, contenders: readonly CandidateWorkspace[], now: Millis): CandidateWorkspace | undefined => {
  const scope = db.config.scope === 'fleet' ? FLEET : service
  const ratio = db.shareEstimateOf(service).ratioAt(now)
  let least: { contender: CandidateWorkspace, time: number } | undefined
  for (const contender of contenders) {
    const { workspace, pending } = contender
    const pendingTime = pending / db.weightOf(workspace)
    const assumedElsewhere = ratio * (db.account(service, workspace).unmatchedCharges + pendingTime)
    const time = db.virtualTime(scope, workspace) + pendingTime + assumedElsewhere
    if (least === undefined || time < least.time) least = { contender, time }
  }
  return least?.contender
}
