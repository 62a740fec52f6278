/**
 * Decides whether a request that found no free capacity waits at the gateway, and which waiting request starts next. A request waits only while the
 * prediction says that it starts in time; otherwise it is refused immediately.
 */
import type { Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { RetryTimeDb } from '../retryTime/retryTimeDb.js'
import { releasePlace, takePlace } from '../retryTime/retryTime.js'
import type { AdmissionQueueDb, WorkspaceLane } from './admissionQueueDb.js'
import type { AdmissionRequest, QueueDecision, QueueEntry } from './admissionQueueTypes.js'
import { modelWait, type WaitModel } from './waitPrediction.js'

/** Part of the allowed wait that a prediction may take up; the rest covers its error. */
const MAX_PREDICTED_SHARE = 0.9

/** Requests that are tried and found without an upstream before the queue of a service is left alone until more capacity comes free. */
const MAX_FAILED_TRIES = 4

const createEntry = <T>(db: AdmissionQueueDb<T>, request: AdmissionRequest, owner: T, predictedMs: Millis, now: Millis): QueueEntry<T> => {
  const waitEnd = now + (request.deadlineAt - request.arrivedAt) * db.config.maxShareOfDeadline
  const startBy = Math.min(request.deadlineAt - request.serviceMs, waitEnd)
  return { request, owner, startBy, targetBy: Math.min(startBy, request.targetAt - request.firstMs), predictedMs, enqueuedAt: now, order: db.nextOrder() }
}

/** @returns whether a request that has been admitted would miss its start because the new one goes before it */
const displacesOthers = <T>(db: AdmissionQueueDb<T>, entry: QueueEntry<T>, model: WaitModel, now: Millis): boolean => {
  const { lane } = db.service(entry.request.service).lane(entry.request)
  const { units } = entry.request
  const rate = (model.ahead + units) / Math.max(1, model.msUntil(model.ahead + units))
  const later = [...lane.entries()].filter(({ startBy }) => startBy > entry.startBy).sort((a, b) => a.startBy - b.startBy)
  let before = model.ahead
  return later.some(other => {
    const slackMs = other.startBy - now
    const isDisplaced = before / rate <= slackMs && (before + units) / rate > slackMs
    before += other.request.units
    return isDisplaced
  })
}

/**
 * Decides on a request that found no free capacity.
 *
 * @param db - what waits; the request is added when it may wait
 * @param places - places of callers that were told to come back; the one of this caller is used
 * @param owner - what the caller of this function finds the request by
 */
export const decideQueueing = <T>(db: AdmissionQueueDb<T>, places: RetryTimeDb, request: AdmissionRequest, owner: T, now: Millis): QueueDecision<T> & { readonly hasPlace: boolean } => {
  const hasPlace = takePlace(places, request, now).kind === 'used'
  const model = modelWait(db, places, request, now)
  const predictedMs = model?.startMs ?? 0
  const refuse = (reason: 'predicted-wait' | 'queue-full' | 'too-late') => ({ kind: 'refuse', reason, predictedMs, hasPlace } as const)
  const entry = createEntry(db, request, owner, predictedMs, now)
  if (request.deadlineAt - request.serviceMs < now) return refuse('too-late')
  if (db.size >= db.config.maxRequests * db.capacityShare || db.bytes + request.bytes > db.config.maxBytes * db.capacityShare) return refuse('queue-full')
  if (!hasPlace && model !== undefined) {
    if (predictedMs > (entry.startBy - now) * MAX_PREDICTED_SHARE || displacesOthers(db, entry, model, now)) return refuse('predicted-wait')
  }
  releasePlace(places, request)
  db.add(entry, now)
  return { kind: 'wait', entry, hasPlace }
}

/** Supplies what the queue needs to start requests of a service. */
export interface StartContext<T> {
  /** Tokens served to a workspace as a multiple of its share; undefined where no shares are counted, which makes workspaces take turns by what they started recently. */
  readonly shareUse: (workspace: WorkspaceId) => number | undefined
  /** Starts a request if an upstream has capacity; returns false otherwise. */
  readonly tryStart: (entry: QueueEntry<T>) => boolean
  /** Requests for which upstreams show free capacity. */
  readonly visibleCapacity: number
}

interface Candidate<T> {
  readonly key: string
  readonly priority: number
  readonly use: number
  readonly head: QueueEntry<T>
}

const compareCandidates = <T>(a: Candidate<T>, b: Candidate<T>): number =>
  a.priority - b.priority || a.use - b.use || a.head.startBy - b.head.startBy || a.head.order - b.head.order

/**
 * Starts waiting requests of a service in order, until no further one finds an upstream.
 *
 * @returns how many have started
 */
export const startWaiting = <T>(db: AdmissionQueueDb<T>, service: ServiceId, ctx: StartContext<T>, now: Millis): number => {
  const queue = db.service(service)
  const blocked = new Set<string>()
  const rate = Math.max(queue.startRate.rate(now) ?? 0, Number.EPSILON)
  const backlogged = [...queue.lanes.values()].filter(({ lane }) => lane.size > 0).length
  const candidateOf = ([key, { workspace, lane, starts }]: [string, WorkspaceLane<T>]): Candidate<T> | undefined => {
    const head = blocked.has(key) ? undefined : lane.head(rate * Math.min(lane.units / queue.units, 1 / backlogged), queue.mayStartLate, now)
    return head === undefined ? undefined : { key, priority: lane.priority, use: ctx.shareUse(workspace) ?? starts.rate(now), head }
  }
  const maxStarts = queue.credit.available(ctx.visibleCapacity, db.ownPart(service, now), now) * db.capacityShare
  let started = 0
  while (queue.size > 0 && started < maxStarts && blocked.size < MAX_FAILED_TRIES) {
    const [best] = [...queue.lanes].flatMap(entry => candidateOf(entry) ?? []).sort(compareCandidates)
    if (best === undefined) break
    const { lane } = queue.lane(best.head.request)
    const wasLate = lane.isLate(best.head)
    if (ctx.tryStart(best.head)) {
      queue.recordTurn(wasLate)
      db.remove(best.head, now)
      started += 1
    } else blocked.add(best.key)
  }
  queue.credit.spend(started)
  return started
}
