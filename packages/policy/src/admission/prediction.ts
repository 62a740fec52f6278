/** Predicts waits from the rates at which queues drain. */
import type { Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { AdmissionDb } from './admissionDb.js'
import type { Lane } from './lane.js'

/** Weight of a workspace that none is configured for. */
const DEFAULT_WEIGHT = 1

/** Shortest time after which a refused caller is told to come again, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 1_000

/** Longest time after which a refused caller is told to come again, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 120_000

/** Where a request stands or would stand. */
export interface Position {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly lane: Lane
  /** Requests before it in the lane. */
  readonly ahead: number
}

/**
 * Predicts how long a request waits at the least that is likely. The next in line is never predicted to wait,
 * so that one request at a time goes on trying while nothing drains.
 *
 * @param db - queues and rates
 * @param position - its place
 * @returns milliseconds; 0 when nothing was observed
 */
export const estimateMinWait = (db: AdmissionDb, position: Position): Millis => {
  if (position.ahead === 0) return 0
  const rate = position.lane.drainRate.optimisticPerMs ?? fairShareRate(db, position)
  return rate === undefined ? 0 : position.ahead / rate
}

/**
 * Tells when a request could be sent again and then be served within its patience.
 *
 * @param db - queues and rates
 * @param position - place that a request sent now would have
 * @param patience - wait that the caller bears, in milliseconds
 * @returns milliseconds from now
 */
export const estimateRetryAfter = (db: AdmissionDb, position: Position, patience: Millis): Millis => {
  const rate = position.lane.drainRate.expectedPerMs ?? fairShareRate(db, position)
  const wait = rate === undefined ? 0 : (position.ahead + 1) / rate
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, wait - patience))
}

/** The weighted share of what the other queues of the service drain at this router. */
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
