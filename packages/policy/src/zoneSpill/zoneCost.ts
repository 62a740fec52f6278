/** Cost of serving a request in another zone. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { PlacementRequest } from '../placement/placementTypes.js'
import type { UpstreamRecord } from '../placement/upstreamRecord.js'
import type { ZoneTraffic } from './zoneSpillTypes.js'

/** Additional cost, in milliseconds, of sending a plain request to another zone where the bytes between zones have no price. */
const OTHER_ZONE_MS: Millis = 8

/** Milliseconds of a round trip to another zone, twice the 1.4 ms of one way. */
const ROUND_TRIP_MS: Millis = 2.8

const MEGABYTE = 1_000_000

/** @returns the cost in milliseconds of a number of bytes between zones */
export const bytesCostMs = ({ msPerMegabyte }: Pick<ZoneTraffic, 'msPerMegabyte'>, bytes: number): Millis => bytes * msPerMegabyte / MEGABYTE

/** @returns the cost in milliseconds of serving a request in another zone */
export const awayCostMs = (traffic: ZoneTraffic): Millis => ROUND_TRIP_MS + bytesCostMs(traffic, traffic.bytes)

/** @returns the additional cost in milliseconds of sending a request to the zone of an upstream */
export const zoneCostMs = ({ upstream }: UpstreamRecord, req: PlacementRequest): Millis => {
  if (upstream.zone === req.zone) return 0
  if (req.zoneTraffic !== undefined) return awayCostMs(req.zoneTraffic)
  return upstream.kvCapacityTokens === undefined ? OTHER_ZONE_MS : 0
}
