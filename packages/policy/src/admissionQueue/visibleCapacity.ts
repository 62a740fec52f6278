/** Counts the requests for which upstreams show free capacity, so that gateways can divide it. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import type { PlacementDb } from '../placement/placementDb.js'
import type { PlacementRequest } from '../placement/placementTypes.js'
import type { UpstreamRecord } from '../placement/upstreamRecord.js'

const engineCapacity = ({ totalLoad, upstream, msPerKToken }: UpstreamRecord, req: PlacementRequest, maxPressure: number): number => {
  const waitingTokens = maxPressure * req.latencyTargetMs / (msPerKToken / 1000)
  const reservedTokens = maxPressure * (upstream.kvCapacityTokens ?? Infinity)
  return Math.min(
    maxPressure * upstream.slots - totalLoad.open,
    (waitingTokens - totalLoad.waitingTokens) / Math.max(1, req.unsharedTokens),
    (reservedTokens - totalLoad.reservedTokens) / Math.max(1, req.unsharedTokens + req.maxOutputTokens)
  )
}

/**
 * Computes how many requests like the given one the upstreams of a service can take before they reach a pressure.
 *
 * @param usable - returns false for an upstream that must not be used
 */
export const visibleCapacity = (db: PlacementDb, req: PlacementRequest, usable: (upstream: UpstreamId) => boolean, maxPressure: number, now: Millis): number => {
  let capacity = 0
  for (const { id } of db.members(req.service)) {
    const record = db.record(id)
    if (record === undefined || record.avoidUntil > now || !usable(id)) continue
    const free = record.upstream.kvCapacityTokens === undefined ? maxPressure * record.upstream.slots - record.totalLoad.open : engineCapacity(record, req, maxPressure)
    capacity += Math.max(0, free)
  }
  return capacity
}
