/**
 * Decides which requests are queued at the gateway, for how long and in which order. Absorbs bursts: a request whose upstream
 * is full for some tens of milliseconds is still served within its target latency; a request that cannot be served in time is
 * refused at once.
 */
import type { Millis } from '@fuchsiaworks/kernel'
import type { QueuedRequest } from './waitingTypes.js'

/** Largest part of the target latency that a request may be queued; the remainder is needed to process its prompt. */
const WAIT_SHARE = 0.15

/** Multiple of its share above which a workspace's requests are refused instead of being queued behind all others. */
const MAX_USAGE_RATIO = 1.2

/**
 * Computes how much longer a request may stay queued.
 *
 * @param request - the request
 * @param now - monotonic milliseconds
 * @returns milliseconds; 0 when the request is to be refused now
 */
export const remainingWait = (request: QueuedRequest, now: Millis): Millis => {
  if (request.shareUse > MAX_USAGE_RATIO) return 0
  return Math.max(0, request.arrivedAt + request.latencyTargetMs * WAIT_SHARE - now)
}

/**
 * Orders queued requests by the usage ratio of their workspace, least first, then by arrival.
 *
 * @param a - one request
 * @param b - the other
 */
export const compareQueued = (a: QueuedRequest, b: QueuedRequest): number => a.shareUse - b.shareUse || a.arrivedAt - b.arrivedAt
