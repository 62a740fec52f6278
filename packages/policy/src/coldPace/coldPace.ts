/**
 * Keeps the requests for a cold upstream, summed over all routers, below what it bears. One router, chosen by rendezvous,
 * sends to it; while two views of the fleet differ, two do, so each keeps to a part that is safe for two.
 */
import type { Millis } from '@fuchsiaworks/kernel'
import { compareForSubject, type HashedMember, type StringHash } from '../keys/rendezvous.js'
import type { PeerId } from '../placement/placementTypes.js'
import type { ColdPaceDb } from './coldPaceDb.js'
import type { ColdUpstream, RouterView } from './coldPaceTypes.js'

/** Share of the bearable rate that the chosen router uses. */
const RATE_SHARE = 0.7

/**
 * Names the router that may send to a cold upstream.
 *
 * @param hash - the fleet's hash
 * @param view - the routers that this one knows
 * @param upstream - the cold upstream
 * @returns true when it is this router; false also while most routers are out of sight, as they may choose another
 */
export const ownsColdUpstream = (hash: StringHash, view: RouterView, upstream: ColdUpstream): boolean => {
  if (!view.settled || view.unreachableCount > view.reachable.length) return false
  const subject = hash(upstream.id)
  const self: HashedMember<PeerId> = { id: view.self, hash: hash(view.self) }
  return view.reachable.every(id => compareForSubject(self, { id, hash: hash(id) }, subject) < 0)
}

/**
 * Decides whether this router may send a request to a cold upstream now.
 *
 * @param db - what was sent; not changed
 * @param hash - the fleet's hash
 * @param view - the routers that this one knows
 * @param upstream - the cold upstream
 * @param now - monotonic milliseconds
 * @returns true when it may
 */
export const maySendToColdUpstream = (db: ColdPaceDb, hash: StringHash, view: RouterView, upstream: ColdUpstream, now: Millis): boolean =>
  ownsColdUpstream(hash, view, upstream) && db.hasToken(upstream.id, coldRate(upstream), now)

/** @returns requests a second that one router sends to a cold upstream */
export const coldRate = (upstream: ColdUpstream): number => upstream.requestsPerSecond * RATE_SHARE
