/**
 * Decides which requests are queued at a router, which are refused before they run, and which are handed over to a pulling
 * agent.
 */
import { assertNever, type Millis, type ServiceId } from '@fuchsiaworks/kernel'
import type { AdmissionDb, WorkspaceQueue } from './admissionDb.js'
import type { Lane } from './lane.js'
import { estimateMinWait, estimateRetryAfter } from './prediction.js'
import type { AdmissionCommand, AdmissionEvent, RefusalReason, WaitingRequest } from './admissionTypes.js'

/**
 * Applies one event and returns the resulting commands.
 *
 * @param db - the queues; changed in place
 * @param event - what happened
 * @returns commands in order of execution
 */
export const decideAdmission = (db: AdmissionDb, event: AdmissionEvent): AdmissionCommand[] => {
  switch (event.kind) {
    case 'request-arrived': return admitOrRefuse(db, event)
    case 'caller-gone': return removeAbandoned(db, event)
    case 'pull': return handlePull(db, event)
    case 'requeue': return requeue(db, event.waiting, event.now)
    case 'config-changed':
      db.weights = event.weights
      db.zonesOut = event.zonesOut
      return [...db.services()].map(service => ({ kind: 'backlog-changed', service }))
    case 'tick':
      return [...db.services()].flatMap(service => refuseOverdue(db, service, event.now))
    default: return assertNever(event)
  }
}

const admitOrRefuse = (db: AdmissionDb, event: AdmissionEvent & { kind: 'request-arrived' }): AdmissionCommand[] => {
  const { request, service, workspace, patience, estimate, idempotent, home, now } = event
  const queue = db.queue(service, workspace)
  const lane = queue.lane(home)
  lane.advance(now)
  const position = { service, workspace, lane, ahead: lane.size }
  const full = queue.size >= (event.maxWaiting ?? db.config.maxWaiting)
  if (full || estimateMinWait(db, position) > patience) {
    const reason: RefusalReason = full ? 'queue-full' : 'predicted-wait'
    return [{ kind: 'refuse', request, reason, retryAfterMs: estimateRetryAfter(db, position, patience) }]
  }
  const order = db.nextArrivalOrder()
  db.add({ request, service, workspace, arrivedAt: now, deadline: now + patience, estimate, idempotent, home, order }, now)
  return [{ kind: 'backlog-changed', service }]
}

const removeAbandoned = (db: AdmissionDb, event: AdmissionEvent & { kind: 'caller-gone' }): AdmissionCommand[] => {
  const waiting = db.waiting(event.request)
  if (waiting === undefined) return []
  db.remove(waiting, event.now)
  return [{ kind: 'backlog-changed', service: waiting.service }]
}

const handlePull = (db: AdmissionDb, event: AdmissionEvent & { kind: 'pull' }): AdmissionCommand[] => {
  const { pull, from, service, workspace, now } = event
  if (db.zonesOut.has(from.zone)) return [{ kind: 'pull-empty', pull, agent: from.agent }]
  const queue = db.queue(service, workspace)
  const refusals: AdmissionCommand[] = []
  for (let next = queue.oldestFor(from.upstream); next !== undefined; next = queue.oldestFor(from.upstream)) {
    if (next.deadline > now) return [...refusals, ...handOver(db, pull, from.agent, next, now)]
    refusals.push(refuse(db, next, 'deadline', now))
  }
  return [...refusals, { kind: 'pull-empty', pull, agent: from.agent }]
}

const handOver = (db: AdmissionDb, pull: number, agent: string, waiting: WaitingRequest, now: Millis): AdmissionCommand[] => {
  db.laneOf(waiting).drainRate.recordHandover()
  db.remove(waiting, now)
  return [{ kind: 'hand-over', pull, agent, waiting }, { kind: 'backlog-changed', service: waiting.service }]
}

const requeue = (db: AdmissionDb, waiting: WaitingRequest, now: Millis): AdmissionCommand[] => {
  if (waiting.deadline <= now) return [refuse(db, waiting, 'deadline', now)]
  db.add(waiting, now)
  return [{ kind: 'backlog-changed', service: waiting.service }]
}

const refuseOverdue = (db: AdmissionDb, service: ServiceId, now: Millis): AdmissionCommand[] => {
  const refusals = [...db.queuesOf(service)]
    .flatMap(queue => [...queue.lanes()].flatMap(lane => refuseOverdueInLane(db, queue, lane, now)))
  return refusals.length === 0 ? [] : [...refusals, { kind: 'backlog-changed', service }]
}

/** Refuses requests that have missed their deadline or are predicted to miss it. */
const refuseOverdueInLane = (db: AdmissionDb, { service, workspace }: WorkspaceQueue, lane: Lane, now: Millis): AdmissionCommand[] => {
  lane.advance(now)
  const refusals: AdmissionCommand[] = []
  let ahead = 0
  for (const waiting of lane.requests()) {
    const expired = waiting.deadline <= now
    const predictedLate = now + estimateMinWait(db, { service, workspace, lane, ahead }) > waiting.deadline
    if (expired || predictedLate) refusals.push(refuse(db, waiting, expired ? 'deadline' : 'predicted-wait', now))
    else ahead += 1
  }
  return refusals
}

const refuse = (db: AdmissionDb, waiting: WaitingRequest, reason: RefusalReason, now: Millis): AdmissionCommand => {
  const { request, service, workspace, arrivedAt, deadline } = waiting
  db.remove(waiting, now)
  const lane = db.laneOf(waiting)
  return { kind: 'refuse', request, reason, retryAfterMs: estimateRetryAfter(db, { service, workspace, lane, ahead: lane.size }, deadline - arrivedAt) }
}
