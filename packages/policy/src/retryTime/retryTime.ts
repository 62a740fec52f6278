/**
 * Tells refused callers when to come back: at the time at which capacity is predicted to be free behind all that waits and all that was told to come
 * back before, so that the callers that return are spread over time.
 */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import type { AdmissionRequest } from '../admissionQueue/admissionQueueTypes.js'
import type { RetryTimeDb } from './retryTimeDb.js'
import type { PlaceUse } from './retryTimeTypes.js'

/** Shortest time told; longer than the tolerance by which a deadline identifies a caller. */
const MIN_RETRY_MS: Millis = 300

/** Longest time told. */
const MAX_RETRY_MS: Millis = 8000

/** Part of the remaining time for which callers honour Retry-After, with a margin: they wait up to a third. */
const MAX_SHARE_OF_TIME_LEFT = 0.32

/** Part of the predicted wait after which a caller comes back; it waits at the gateway for the rest, so that no capacity is idle meanwhile. */
const RETURN_SHARE = 0.85

/** A request that does not wait, with the wait that was predicted for it. */
export interface RefusedWait {
  readonly request: AdmissionRequest
  readonly predictedMs: Millis
}

/** Time told to a caller. */
export interface RetryTime {
  readonly retryAfterMs: Millis
  /** True when a place was reserved for its return. */
  readonly isReserved: boolean
}

/**
 * Chooses the time for a refused caller and reserves a place when the request can still be served then. A caller that is refused again before
 * its time keeps the place that it has and gets no second one.
 */
export const tellRetryTime = (db: RetryTimeDb, { request, predictedMs }: RefusedWait, now: Millis): RetryTime => {
  const known = db.findOwn(request)
  if (known !== undefined && known.dueAt > now) return { retryAfterMs: Math.max(MIN_RETRY_MS, known.dueAt - now), isReserved: true }
  if (known !== undefined) db.remove(known)
  const startBy = request.deadlineAt - request.serviceMs
  const retryAfterMs = clamp(predictedMs * RETURN_SHARE, MIN_RETRY_MS, MAX_RETRY_MS)
  const dueInMs = Math.min(retryAfterMs, (request.deadlineAt - now) * MAX_SHARE_OF_TIME_LEFT)
  if (dueInMs < MIN_RETRY_MS || now + predictedMs > startBy) return { retryAfterMs, isReserved: false }
  return { retryAfterMs: dueInMs, isReserved: db.add({ request, startBy, dueAt: now + dueInMs }) }
}

/** Uses the place of a caller that comes back within the time for which it is kept. */
export const takePlace = (db: RetryTimeDb, request: AdmissionRequest, now: Millis): PlaceUse => {
  db.recordArrival(request)
  const own = db.findOwn(request)
  if (own !== undefined && own.dueAt - now > MIN_RETRY_MS / 2) return { kind: 'early', dueAt: own.dueAt }
  const place = own ?? db.findDue(request, now)
  if (place === undefined) return { kind: 'none' }
  db.remove(place)
  return { kind: 'used' }
}

/** Gives back the place of a caller that no longer needs it. */
export const releasePlace = (db: RetryTimeDb, request: AdmissionRequest): void => {
  const own = db.findOwn(request)
  if (own !== undefined) db.remove(own)
}
