/**
 * Admission by fair share of tokens. When few large workspaces overload the upstreams, those that have used their max-min
 * fair share are refused before an upstream is full, so that capacity is left for the others.
 */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import { UNDER_PRESSURE } from '../placement/candidates.js'
import type { Placement } from '../placement/placementTypes.js'
import type { TokenShareDb } from './tokenShareDb.js'
import type { ShareCharge, ShareRequest, ShareVerdict } from './tokenShareTypes.js'

/** Maximum pressure at which a workspace within its share is admitted. */
const WITHIN_SHARE_PRESSURE = 0.95

/** Maximum pressure at which a workspace that has just used up its share is admitted. */
const AT_SHARE_PRESSURE = 0.7

/** Maximum pressure at which a workspace far beyond its share is admitted, so that spare capacity is not left idle. */
const BEYOND_SHARE_PRESSURE = UNDER_PRESSURE

/** Multiple of its share from which a workspace counts as far beyond it. */
const FAR_BEYOND_SHARE = 2

/** Upper bound on the tokens of the request itself, as a part of the share. */
const MAX_OWN_SHARE = 0.5

/** Bounds of the time after which a refused request may be retried, in milliseconds. */
const RETRY_AFTER_RANGE_MS = { min: 300, max: 4000 } as const

/**
 * Computes the maximum pressure of an upstream at which a workspace is admitted.
 *
 * @param shareUse - tokens served in the window, including the request, as a multiple of the share
 */
export const pressureLimit = (shareUse: number): number => {
  if (shareUse <= 1) return WITHIN_SHARE_PRESSURE
  const beyond = clamp((shareUse - 1) / (FAR_BEYOND_SHARE - 1), 0, 1)
  return AT_SHARE_PRESSURE + (BEYOND_SHARE_PRESSURE - AT_SHARE_PRESSURE) * beyond
}

/**
 * Decides whether a request is admitted.
 *
 * @param db - tokens by workspace; the load of the least loaded upstream is recorded
 * @param req - the request and the pressure of its upstream
 * @param now - monotonic milliseconds
 * @returns admit, or refuse with the time after which to retry
 */
export const decideShare = (db: TokenShareDb, req: ShareRequest, now: Millis): ShareVerdict => {
  const load = req.load ?? req.pressure
  const leastLoad = req.leastLoad ?? load
  if (Number.isFinite(leastLoad)) db.recordLeastLoad(leastLoad, now)
  const share = Math.max(1, db.share(req.workspace, now))
  const served = db.totals(req.workspace, now).served
  // One long request may exceed the share by itself; it must remain admissible, so mainly the tokens served before count.
  const shareUse = (served + Math.min(req.tokens, share * MAX_OWN_SHARE)) / share
  // The prefill of the request itself puts no upstream under pressure, however long it is.
  if (load <= UNDER_PRESSURE || req.pressure <= pressureLimit(shareUse)) return { kind: 'admit', shareUse }
  if (req.pressure > WITHIN_SHARE_PRESSURE) return { kind: 'refuse', shareUse, reason: 'full', retryAfterMs: RETRY_AFTER_RANGE_MS.min }
  const retryAfterMs = clamp((1 - 1 / shareUse) * db.config.windowMs, RETRY_AFTER_RANGE_MS.min, RETRY_AFTER_RANGE_MS.max)
  return { kind: 'refuse', shareUse, reason: 'share', retryAfterMs }
}

/** @returns the request as it is decided on at a placement */
export const shareRequestAt = ({ workspace, tokens }: ShareCharge, { pressure, load, leastLoad }: Placement): ShareRequest => ({ workspace, tokens, pressure, load, leastLoad })

/**
 * Chooses between the preferred upstream and the alternative to it: a request goes to the alternative before it is refused.
 *
 * @param db - tokens by workspace
 * @param charge - what the request costs
 * @param placement - the preferred upstream
 * @param now - monotonic milliseconds
 */
export const chooseWithinShare = (db: TokenShareDb, charge: ShareCharge, placement: Placement, now: Millis): Placement => {
  const { alternative } = placement
  if (alternative === undefined || decideShare(db, shareRequestAt(charge, placement), now).kind === 'admit') return placement
  return alternative
}
