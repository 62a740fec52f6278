/** Predicts queueing delays from the drain rates of the queues. */
import type { Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { AdmissionDb } from './admissionDb.js'
import type { Lane } from './lane.js'

/** Weight of a workspace without a configured one. */
const DEFAULT_WEIGHT = 1

/** Shortest Retry-After of a refusal, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 1_000

/** Longest Retry-After of a refusal, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 120_000

/** Position of a request in its queue, or the one that it would get. */
export interface Position {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly lane: Lane
  /** Requests ahead in the lane. */
  readonly ahead: number
}

/**
 * Predicts a lower bound of the queueing delay from the optimistic drain rate. The request at the head has a predicted delay
 * of 0 and is refused only at its deadline, so that predictions never empty a lane while nothing drains.
 *
 * @param db - queues and rates
 * @param position - position of the request
 * @returns milliseconds; 0 when no rate is known
 */
export const estimateMinWait = (db: AdmissionDb, position: Position): Millis => {
  if (position.ahead === 0) return 0
  const rate = position.lane.drainRate.optimisticPerMs ?? fairShareRate(db, position)
  return rate === undefined ? 0 : position.ahead / rate
}

/**
 * Estimates how long a refused caller should wait so that its next request is served within its patience.
 *
 * @param db - queues and rates
 * @param position - position that a request would get now
 * @param patience - longest queueing delay that the caller accepts, in milliseconds
 * @returns milliseconds from now, between MIN_RETRY_AFTER_MS and MAX_RETRY_AFTER_MS
 */
export const estimateRetryAfter = (db: AdmissionDb, position: Position, patience: Millis): Millis => {
  const rate = position.lane.drainRate.expectedPerMs ?? fairShareRate(db, position)
  const wait = rate === undefined ? 0 : (position.ahead + 1) / rate
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, wait - patience))
}

/** Weighted share of the rate at which the other workspaces' queues of the service drain at this router. */
const fairShareRate = (db: AdmissionDb, { service, workspace }: Position): number | undefined => {
  let rate = 0
  let weights = weightOf(db, workspace)
  for (const other of db.queuesOf(service)) {
    if (other.workspace === workspace || other.size === 0) continue
    for (const lane of other.lanes()) rate += lane.drainRate.expectedPerMs ?? 0
    weights += weightOf(db, other.workspace)
  }
  return rate === 0 ? undefined : rate * weightOf(db, workspace) / weights
}

const weightOf = (db: AdmissionDb, workspace: WorkspaceId): number => db.weights.get(workspace) ?? DEFAULT_WEIGHT
