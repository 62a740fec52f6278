/** Order of workspaces at a service: the one function that knows the scope of fairness. */
import type { ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import { FLEET, type FairnessDb } from './fairnessDb.js'

/** Share of each service that goes by the order of that service alone when the scope is the fleet. */
export const FLOOR_SHARE = 0.25

/** A workspace that could be served now. */
export interface Contender {
  readonly workspace: WorkspaceId
  /** Cost units of pulls and requests that are not charged yet. */
  readonly pending: number
}

/**
 * Finds whose turn it is: the least virtual time, pending work included.
 *
 * @param db - totals and weights
 * @param service - service that has a free slot
 * @param contenders - workspaces with requests that it could take
 * @param floorTurn - true when this turn belongs to the floor share of the service
 * @returns the workspace, or undefined when there is none
 */
export const leastServed = (db: FairnessDb, service: ServiceId, contenders: Iterable<Contender>, floorTurn: boolean): WorkspaceId | undefined => {
  const scope = db.config.scope === 'fleet' && !floorTurn ? FLEET : service
  const { ratio } = db.shareOf(service)
  let least: { workspace: WorkspaceId, time: number } | undefined
  for (const { workspace, pending } of contenders) {
    const unseen = pending / db.weightOf(workspace)
    const assumed = ratio * (db.account(service, workspace).recent + unseen)
    const time = db.virtualTime(scope, workspace) + unseen + assumed
    if (least === undefined || time < least.time) least = { workspace, time }
  }
  return least?.workspace
}
