/**
 * Admission by fair share of tokens. When few large workspaces overload the upstreams, those that have used their max-min
 * fair share are refused before an upstream is full, so that capacity is left for the others.
 */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import type { TokenShareDb } from './tokenShareDb.js'
import type { ShareRequest, ShareVerdict } from './tokenShareTypes.js'

/** Maximum pressure at which a workspace within its share is admitted. */
const WITHIN_SHARE_PRESSURE = 0.95

/** Maximum pressure at which a workspace that has just used up its share is admitted. */
const AT_SHARE_PRESSURE = 0.7

/** Maximum pressure at which a workspace far beyond its share is admitted, so that spare capacity is not left idle. */
const BEYOND_SHARE_PRESSURE = 0.4

/** Multiple of its share from which a workspace counts as far beyond it. */
const FAR_BEYOND = 2

/** Upper bound on the tokens of the request itself, as a part of the share. */
const OWN_SHARE = 0.5

/** Bounds of the time after which a refused request may be retried, in milliseconds. */
const RETURN_RANGE = { min: 300, max: 4000 } as const

/**
 * Computes the maximum pressure of an upstream at which a workspace is admitted.
 *
 * @param use - tokens served in the window, including the request, as a multiple of the share
 */
export const pressureLimit = (use: number): number => {
  if (use <= 1) return WITHIN_SHARE_PRESSURE
  const beyond = clamp((use - 1) / (FAR_BEYOND - 1), 0, 1)
  return AT_SHARE_PRESSURE + (BEYOND_SHARE_PRESSURE - AT_SHARE_PRESSURE) * beyond
}

/**
 * Decides whether a request is admitted.
 *
 * @param db - tokens by workspace
 * @param req - the request and the pressure of its upstream
 * @param now - monotonic milliseconds
 * @returns admit, or refuse with the time after which to retry
 */
export const decideShare = (db: TokenShareDb, req: ShareRequest, now: Millis): ShareVerdict => {
  const share = Math.max(1, db.share(req.workspace, now))
  const served = db.totals(req.workspace, now).served
  // One long request may exceed the share by itself; it must remain admissible, so mainly the tokens served before count.
  const use = (served + Math.min(req.tokens, share * OWN_SHARE)) / share
  const limit = pressureLimit(use)
  if (req.pressure <= limit) return { kind: 'admit', shareUse: use }
  if (req.pressure > WITHIN_SHARE_PRESSURE) return { kind: 'refuse', shareUse: use, reason: 'full', retryAfterMs: RETURN_RANGE.min }
  const returnMs = clamp((1 - 1 / use) * db.config.windowMs, RETURN_RANGE.min, RETURN_RANGE.max)
  return { kind: 'refuse', shareUse: use, reason: 'share', retryAfterMs: returnMs }
}
