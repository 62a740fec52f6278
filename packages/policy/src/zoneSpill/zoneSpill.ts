/**
 * Decides whether a request stays in its zone or may go to another one. It stays while the zone has free capacity in time. It
 * leaves when the zone has none, another zone has, and the wait or refusal that this avoids is worth more than delay and bytes.
 */
import type { Millis, ZoneId } from '@fuchsiaworks/kernel'
import { UNDER_PRESSURE } from '../placement/candidates.js'
import { awayCostMs } from './zoneCost.js'
import type { ZoneSpillDb } from './zoneSpillDb.js'
import type { SpillCandidate, SpillDecision, SpillReason, SpillRequest } from './zoneSpillTypes.js'

/**
 * Maximum pressure at which an engine of the own zone still serves in time. It is below the admission limit, because other
 * gateways send requests that their last reports do not include: some 100 ms of reading where engines are full.
 */
const IN_TIME_PRESSURE = 0.75

/** As above, for the first request that leaves: a short rise of the load, or of the loads in old reports, moves nothing. */
const START_PRESSURE = 0.85

/**
 * Share of the admissible pressure up to which an upstream of another zone takes requests. The rest is left to the requests of
 * its own zone, which would otherwise have to leave in their turn.
 */
const AWAY_PRESSURE_RATIO = 0.85

/** Candidates among which a request is placed, with the reason. */
export interface SpillChoice<T> {
  readonly candidates: readonly T[]
  readonly decision: SpillDecision
}

const minPressure = (candidates: readonly SpillCandidate[]): number | undefined =>
  candidates.length === 0 ? undefined : Math.min(...candidates.map(({ pressure }) => pressure))

/** @returns whether this gateway may send a request to a zone: it has sent less than its part of the capacity that is free there */
const hasPart = (db: ZoneSpillDb, zone: ZoneId, free: number, senders: number, now: Millis): boolean =>
  db.sentSinceReport(zone, now) < Math.max(1, free / senders)

/** @returns the candidates of other zones with free capacity of which this gateway has not sent its part */
const awayWithPart = <T extends SpillCandidate>(db: ZoneSpillDb, away: readonly T[], limit: number, senders: number, now: Millis): T[] => {
  const freeByZone = new Map<ZoneId, number>()
  for (const { zone, slots, pressure } of away) freeByZone.set(zone, (freeByZone.get(zone) ?? 0) + slots * (limit - pressure))
  return away.filter(({ zone }) => hasPart(db, zone, freeByZone.get(zone) ?? 0, senders, now))
}

/** @returns whether the wait or refusal that is avoided is worth the cost; a refusal counts as a wait of one target */
const isWorthIt = (req: SpillRequest, own: readonly SpillCandidate[], away: readonly SpillCandidate[]): boolean => {
  const waitOf = (candidates: readonly SpillCandidate[]): Millis => Math.min(...candidates.map(({ expectedMs }) => expectedMs))
  const gainMs = req.latencyTargetMs + Math.max(0, waitOf(own) - waitOf(away))
  return gainMs > awayCostMs(req.zoneTraffic)
}

/** @returns the upstreams of the own zone that admit the request and serve it in time; upstreams that are not engines do while a slot is free */
const inTime = <T extends SpillCandidate>(db: ZoneSpillDb, own: readonly T[], admitted: number, now: Millis): T[] => {
  const limit = own.some(({ isEngine }) => isEngine) ? (db.isShort(now) ? IN_TIME_PRESSURE : START_PRESSURE) : admitted
  // An engine that is not under pressure admits requests of workspaces beyond their share, too.
  return own.filter(({ isEngine, pressure, load }) => pressure <= limit && (pressure <= admitted || (isEngine && load <= UNDER_PRESSURE)))
}

/**
 * Restricts the upstreams for a request to those of its own zone or to those of other zones.
 *
 * @param db - own requests that have left the zone
 * @param candidates - usable upstreams of all zones
 * @param req - the request
 * @param now - monotonic milliseconds
 * @returns the upstreams to choose from, and why
 */
export const decideZoneSpill = <T extends SpillCandidate>(db: ZoneSpillDb, candidates: readonly T[], req: SpillRequest, now: Millis): SpillChoice<T> => {
  const own = candidates.filter(({ zone }) => zone === req.zone)
  const ownPressure = minPressure(own)
  const stay = (reason: SpillReason, among: readonly T[] = own): SpillChoice<T> => ({ candidates: among, decision: { leaves: false, reason, ownPressure } })
  const leave = (reason: SpillReason, among: readonly T[]): SpillChoice<T> => ({ candidates: among, decision: { leaves: true, reason, ownPressure } })
  if (ownPressure === undefined) return leave('own-none', candidates)
  const admitted = req.zoneTraffic.maxPressure()
  const free = inTime(db, own, admitted, now)
  if (free.length > 0) return stay('free', free)
  const away = candidates.filter(({ zone, pressure }) => zone !== req.zone && pressure <= admitted * AWAY_PRESSURE_RATIO)
  if (away.length === 0) return stay('all-full')
  const awayParts = awayWithPart(db, away, admitted, req.zoneTraffic.senders, now)
  if (awayParts.length === 0) return stay('part-sent')
  return isWorthIt(req, own, awayParts) ? leave('own-full', awayParts) : stay('too-expensive')
}
