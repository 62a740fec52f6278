/** Backlog of a router as agents are told it. */
import type { Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import { type AdmissionDb, oldestOf } from './admissionDb.js'
import type { Puller, WaitingRequest } from './admissionTypes.js'
import type { Lane } from './lane.js'

/** Waiting requests of one workspace; equal in structure to the message's entry. */
export interface BacklogViewEntry {
  readonly workspace: WorkspaceId
  readonly waiting: number
  /** Milliseconds that the oldest of them has waited. */
  readonly oldestWait: Millis
  /** Estimated cost of the oldest, in cost units. */
  readonly headCost: number
}

/**
 * Lists what one upstream may take of a service's backlog.
 *
 * @param db - the queues
 * @param service - the service
 * @param upstream - who is told; requests with another home are left out
 * @param now - monotonic reading
 * @returns one entry for each workspace that has requests for it; none when its zone is out
 */
export const backlogForUpstream = (db: AdmissionDb, service: ServiceId, upstream: Omit<Puller, 'agent'>, now: Millis): BacklogViewEntry[] => {
  if (db.zonesOut.has(upstream.zone)) return []
  return [...db.queuesOf(service)].flatMap(queue => entryFor(queue.workspace, queue.lanesFor(upstream.upstream), queue.oldestFor(upstream.upstream), now))
}

/**
 * Lists the whole backlog of a service, as other processes and operators are told it.
 *
 * @param db - the queues
 * @param service - the service
 * @param now - monotonic reading
 * @returns one entry for each workspace that waits
 */
export const serviceBacklog = (db: AdmissionDb, service: ServiceId, now: Millis): BacklogViewEntry[] =>
  [...db.queuesOf(service)].flatMap(queue => entryFor(queue.workspace, [...queue.lanes()], oldestOf([...queue.lanes()].map(lane => lane.oldest)), now))

const entryFor = (workspace: WorkspaceId, lanes: readonly Lane[], oldest: WaitingRequest | undefined, now: Millis): BacklogViewEntry[] => {
  if (oldest === undefined) return []
  const waiting = lanes.reduce((sum, lane) => sum + lane.size, 0)
  return [{ workspace, waiting, oldestWait: now - oldest.arrivedAt, headCost: oldest.estimate }]
}
