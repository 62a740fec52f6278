/** Predicts when a request would start, from the work ahead of it and the rate at which work starts. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { RetryTimeDb } from '../retryTime/retryTimeDb.js'
import type { AdmissionQueueDb, ServiceQueue } from './admissionQueueDb.js'
import { LATE_SHARE } from './queueLane.js'
import type { AdmissionRequest } from './admissionQueueTypes.js'

/** Steps in which the wait and the work that arrives during it are brought into agreement. */
const ITERATIONS = 4

/** Longest prediction; requests have shorter deadlines. */
const MAX_WAIT_MS: Millis = 60_000

/** Smallest part of its rate that a workspace's late requests are expected to get; far below what they get, as only few of them wait at one gateway and the next starts vary. */
const MIN_LATE_RATE = 0.05

/** Backlog from which the overload counts as lasting; a burst of 2 s and its backlog are over by then, and late requests start after it. */
const LASTING_BACKLOG_MS: Millis = 3000

/** Work of other workspaces. */
interface Competitor {
  readonly units: number
  readonly arrivalRate: number
  readonly hasPrecedence: boolean
}

/** Work that competes with a request, taken once for several questions. */
export interface WaitModel {
  /** Units of the own workspace that start before the request. */
  readonly ahead: number
  /** Predicted time until the request starts. */
  readonly startMs: Millis
  /** Predicts the time until the given units of the own workspace have started. */
  readonly msUntil: (units: number) => Millis
}

/** Places count as waiting: their callers are expected back. */
const placeUnits = (places: RetryTimeDb, request: AdmissionRequest): { own: number, byLane: Map<string, number> } => {
  const byLane = new Map<string, number>()
  let own = 0
  const startBy = request.deadlineAt - request.serviceMs
  for (const place of places.placesOf(request.service)) {
    const { workspace, priority, units } = place.request
    if (workspace === request.workspace && priority === request.priority) own += place.startBy <= startBy ? units : 0
    else byLane.set(`${priority} ${workspace}`, (byLane.get(`${priority} ${workspace}`) ?? 0) + units)
  }
  return { own, byLane }
}

const competitorsOf = <T>(queue: ServiceQueue<T>, request: AdmissionRequest, byLane: ReadonlyMap<string, number>, now: Millis): Competitor[] => {
  const competitors: Competitor[] = []
  for (const [key, { workspace, lane, arrivals }] of queue.lanes) {
    if (lane.priority > request.priority || (workspace === request.workspace && lane.priority === request.priority)) continue
    const units = lane.units + (byLane.get(key) ?? 0)
    const arrivalRate = arrivals.rate(now)
    if (units > 0 || arrivalRate > 0) competitors.push({ units, arrivalRate, hasPrecedence: lane.priority < request.priority })
  }
  return competitors
}

/** @returns the model; undefined while the rate is not known */
export const modelWait = <T>(db: AdmissionQueueDb<T>, places: RetryTimeDb, request: AdmissionRequest, now: Millis): WaitModel | undefined => {
  const queue = db.service(request.service)
  const rate = (queue.startRate.rate(now) ?? 0) * db.capacityShare
  if (rate <= 0) return undefined
  const { own, byLane } = placeUnits(places, request)
  const competitors = competitorsOf(queue, request, byLane, now)
  // Workspaces take turns, so that another one starts at most as much as the own one until then.
  const msUntil = (units: number): Millis => {
    let waitMs = units / rate
    for (let step = 0; step < ITERATIONS; step++) {
      let total = units
      for (const other of competitors) {
        const demand = other.units + other.arrivalRate * waitMs
        total += other.hasPrecedence ? demand : Math.min(demand, units)
      }
      waitMs = Math.min(MAX_WAIT_MS, total / rate)
    }
    return waitMs
  }
  const { lane, arrivals } = queue.lane(request)
  const startBy = request.deadlineAt - request.serviceMs
  const { onTime, late } = lane.unitsByState(request.targetAt - request.firstMs)
  const turnMs = msUntil(onTime + (late > 0 ? onTime * LATE_SHARE / (1 - LATE_SHARE) : 0))
  const laneRate = 1 / Math.max(msUntil(1), Number.EPSILON)
  const isLasting = queue.startRate.backlogMs(now) > LASTING_BACKLOG_MS
  const lateRate = isLasting ? Math.max(MIN_LATE_RATE, 1 - arrivals.rate(now) / laneRate) : 1
  const all = own + lane.unitsBefore(startBy)
  // Within its target, a request waits only for others that are; after that, for all that must start earlier, with what new requests leave.
  const startMs = now + turnMs <= request.targetAt - request.firstMs ? Math.max(turnMs, msUntil(own)) : msUntil(all) / lateRate
  return { ahead: all, startMs, msUntil }
}
