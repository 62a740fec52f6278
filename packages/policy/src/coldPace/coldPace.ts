/**
 * Limits the rate of requests that all gateways together send to an upstream in cold start. Only one gateway, chosen by
 * rendezvous hashing, sends to it. While membership views differ, two gateways may do so, hence each uses only a part of the
 * rate.
 */
import type { Millis } from '@fuchsiaworks/kernel'
import { compareForSubject, type HashedMember, type StringHash } from '../keys/rendezvous.js'
import type { PeerId } from '../placement/placementTypes.js'
import type { ColdPaceDb } from './coldPaceDb.js'
import type { ColdUpstream, GatewayView } from './coldPaceTypes.js'

/** Share of the configured rate that the chosen gateway uses; two gateways together stay below 1.5 times the rate. */
const RATE_SHARE = 0.7

/**
 * Checks whether this gateway is the one of the fleet that acts for a subject.
 *
 * @param hash - hash function shared by the fleet
 * @param view - membership view of this gateway
 * @param subject - hash of the subject
 * @returns true when this gateway is the one; false also while most peer gateways are unreachable, as they may choose another
 */
export const ownsSubject = (hash: StringHash, view: GatewayView, subject: number): boolean => {
  if (!view.settled || view.unreachableCount > view.reachable.length) return false
  const self: HashedMember<PeerId> = { id: view.self, hash: hash(view.self) }
  return view.reachable.every(id => compareForSubject(self, { id, hash: hash(id) }, subject) < 0)
}

/**
 * Checks whether this gateway is the one that may send to a cold upstream.
 *
 * @param hash - hash function shared by the fleet
 * @param view - membership view of this gateway
 * @param upstream - the cold upstream
 * @returns true when this gateway is the one; false also while most peer gateways are unreachable, as they may choose another
 */
export const ownsColdUpstream = (hash: StringHash, view: GatewayView, upstream: ColdUpstream): boolean => ownsSubject(hash, view, hash(upstream.id))

/**
 * Decides whether this gateway may send a request to a cold upstream now.
 *
 * @param db - token buckets; refilled, but no token is taken
 * @param hash - hash function shared by the fleet
 * @param view - membership view of this gateway
 * @param upstream - the cold upstream
 * @param now - monotonic milliseconds
 * @returns true when this gateway is the chosen one and its token bucket is not empty
 */
export const maySendToColdUpstream = (db: ColdPaceDb, hash: StringHash, view: GatewayView, upstream: ColdUpstream, now: Millis): boolean =>
  ownsColdUpstream(hash, view, upstream) && db.hasToken(upstream.id, coldRate(upstream), now)

/** @returns maximum requests a second from the chosen gateway to a cold upstream */
export const coldRate = (upstream: ColdUpstream): number => upstream.requestsPerSecond * RATE_SHARE
