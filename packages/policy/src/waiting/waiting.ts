/**
 * Decides which requests wait at the router, for how long and in which order. Answers bursts: a request that finds its
 * upstream full for some tens of milliseconds is served within its target, while one that could not be is told at once.
 */
import type { Millis } from '@fuchsiaworks/kernel'
import type { QueuedRequest } from './waitingTypes.js'

/** Share of the target that a request waits at most: the rest is for reading its prompt. */
const WAIT_SHARE = 0.15

/** Multiple of its share beyond which a workspace's requests are refused rather than wait behind all others. */
const MAX_USE = 1.2

/**
 * Works out how long a request may go on waiting.
 *
 * @param request - the request
 * @param now - monotonic milliseconds
 * @returns milliseconds; 0 when it is to be refused now
 */
export const remainingWait = (request: QueuedRequest, now: Millis): Millis => {
  if (request.usageRatio > MAX_USE) return 0
  return Math.max(0, request.arrivedAt + request.latencyTargetMs * WAIT_SHARE - now)
}

/**
 * Compares two waiting requests; the one that is tried first sorts first: that of the least served workspace, then the older.
 *
 * @param a - one request
 * @param b - the other
 */
export const compareQueued = (a: QueuedRequest, b: QueuedRequest): number => a.usageRatio - b.usageRatio || a.arrivedAt - b.arrivedAt
