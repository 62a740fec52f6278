/**
 * Decides whether a request may run now. Answers overload by few large workspaces: those that have had their max-min
 * share of the tokens yield before an upstream fills, so that the others still find room.
 */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import type { TokenShareDb } from './tokenShareDb.js'
import type { ShareRequest, ShareVerdict } from './tokenShareTypes.js'

/** Pressure up to which a request of a workspace within its share is admitted. */
const WITHIN_SHARE_PRESSURE = 0.95

/** Pressure up to which a workspace that has just had its share is admitted. */
const AT_SHARE_PRESSURE = 0.7

/** Pressure up to which a workspace far beyond its share is admitted: no capacity idles. */
const BEYOND_SHARE_PRESSURE = 0.4

/** Multiple of the share from which a workspace counts as far beyond it. */
const FAR_BEYOND = 2

/** Part of the share that the request itself counts for at most. */
const OWN_SHARE = 0.5

/** Shortest and longest time to return, in milliseconds. */
const RETURN_RANGE = { min: 300, max: 4000 } as const

/**
 * Works out how full an upstream may be for a workspace to be admitted.
 *
 * @param use - tokens served in the window, with the request, as a multiple of the share
 * @returns the largest pressure
 */
export const pressureLimit = (use: number): number => {
  if (use <= 1) return WITHIN_SHARE_PRESSURE
  const beyond = clamp((use - 1) / (FAR_BEYOND - 1), 0, 1)
  return AT_SHARE_PRESSURE + (BEYOND_SHARE_PRESSURE - AT_SHARE_PRESSURE) * beyond
}

/**
 * Decides on one request.
 *
 * @param db - tokens by workspace; not changed
 * @param req - the request and how full its upstream would be
 * @param now - monotonic milliseconds
 * @returns admit, or refuse with a time to return
 */
export const decideShare = (db: TokenShareDb, req: ShareRequest, now: Millis): ShareVerdict => {
  const share = Math.max(1, db.share(req.workspace, now))
  const served = db.totals(req.workspace, now).served
  // One long request may take up most of a share by itself; what was served before it decides.
  const use = (served + Math.min(req.tokens, share * OWN_SHARE)) / share
  const limit = pressureLimit(use)
  if (req.pressure <= limit) return { kind: 'admit', shareUse: use }
  if (req.pressure > WITHIN_SHARE_PRESSURE) return { kind: 'refuse', shareUse: use, reason: 'full', retryAfterMs: RETURN_RANGE.min }
  const returnMs = clamp((1 - 1 / use) * db.config.windowMs, RETURN_RANGE.min, RETURN_RANGE.max)
  return { kind: 'refuse', shareUse: use, reason: 'share', retryAfterMs: returnMs }
}
