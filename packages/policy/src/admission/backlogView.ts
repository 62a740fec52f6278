/** Backlog of a router in the form that is sent to agents. */
import type { Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import { type AdmissionDb, oldestOf } from './admissionDb.js'
import type { Puller, WaitingRequest } from './admissionTypes.js'
import type { Lane } from './lane.js'

/** Queued requests of one workspace; structurally equal to the entry of the backlog message. */
export interface BacklogViewEntry {
  readonly workspace: WorkspaceId
  readonly waiting: number
  /** Milliseconds that the oldest request has been queued. */
  readonly oldestWait: Millis
  /** Estimated cost of the oldest request, in cost units. */
  readonly headCost: number
}

/**
 * Lists the backlog of a service that one upstream may run.
 *
 * @param db - the queues
 * @param service - the service
 * @param upstream - receiving upstream; requests with another home are left out
 * @param now - monotonic time in milliseconds
 * @returns one entry per workspace with such requests; empty when the upstream's zone is out of service
 */
export const backlogForUpstream = (db: AdmissionDb, service: ServiceId, upstream: Omit<Puller, 'agent'>, now: Millis): BacklogViewEntry[] => {
  if (db.zonesOut.has(upstream.zone)) return []
  return [...db.queuesOf(service)].flatMap(queue => entryFor(queue.workspace, queue.lanesFor(upstream.upstream), queue.oldestFor(upstream.upstream), now))
}

/**
 * Lists the complete backlog of a service, as sent to other processes and shown to operators.
 *
 * @param db - the queues
 * @param service - the service
 * @param now - monotonic time in milliseconds
 * @returns one entry per workspace with queued requests
 */
export const serviceBacklog = (db: AdmissionDb, service: ServiceId, now: Millis): BacklogViewEntry[] =>
  [...db.queuesOf(service)].flatMap(queue => entryFor(queue.workspace, [...queue.lanes()], oldestOf([...queue.lanes()].map(lane => lane.oldest)), now))

const entryFor = (workspace: WorkspaceId, lanes: readonly Lane[], oldest: WaitingRequest | undefined, now: Millis): BacklogViewEntry[] => {
  if (oldest === undefined) return []
  const waiting = lanes.reduce((sum, lane) => sum + lane.size, 0)
  return [{ workspace, waiting, oldestWait: now - oldest.arrivedAt, headCost: oldest.estimate }]
}
