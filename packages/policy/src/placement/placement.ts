/**
 * Chooses the upstream for a request, with affinity to prefix caches: prompts that share long parts go to the few upstreams
 * that have them cached, so that each part is prefilled once, but no upstream gets more than it can start within the target.
 */
import type { Millis, ServiceId, UpstreamId } from '@fuchsiaworks/kernel'
import { chooseNearEqual } from '../instanceLoad/instanceLoad.js'
import { decideZoneSpill, type SpillChoice } from '../zoneSpill/zoneSpill.js'
import type { SpillDecision } from '../zoneSpill/zoneSpillTypes.js'
import { type Candidate, candidateFor, UNDER_PRESSURE } from './candidates.js'
import type { PlacementDb } from './placementDb.js'
import type { Placement, PlacementRequest } from './placementTypes.js'
import { type PromptView, promptViewOf } from './promptView.js'
import type { UpstreamRecord } from './upstreamRecord.js'

/** Difference in cost up to which upstreams are nearly equal: what an engine reads in the age of the loads from peers. */
const SPREAD_MS: Millis = 100

const excludedUntil = (db: PlacementDb, { id, avoidUntil }: UpstreamRecord): Millis => Math.max(avoidUntil, db.backOffUntil(id))

/**
 * Computes how long it takes until a service has an upstream that is not excluded.
 *
 * @param usable - returns false for an upstream that must not be used
 * @returns milliseconds, 0 when there is one now; undefined when none is usable
 */
export const msUntilUsable = (db: PlacementDb, service: ServiceId, usable: (upstream: UpstreamId) => boolean, now: Millis): Millis | undefined => {
  const ends = db.members(service).flatMap(({ id }) => {
    const record = db.record(id)
    return record === undefined || !usable(id) ? [] : [excludedUntil(db, record)]
  })
  return ends.length === 0 ? undefined : Math.max(0, Math.min(...ends) - now)
}

/**
 * Chooses the upstream for a request.
 *
 * @param db - loads and cached parts; not changed
 * @param req - the request
 * @param usable - returns false for an upstream that must not be used (zone, cold start, leaving)
 * @param now - monotonic milliseconds
 * @returns the cheapest upstream with room (a pressure below 1), otherwise the one with the lowest pressure, and an alternative to it; undefined when none is usable
 */
export const place = (db: PlacementDb, req: PlacementRequest, usable: (upstream: UpstreamId) => boolean, now: Millis): Placement | undefined => {
  const view = promptViewOf(db, req, now)
  const candidates: Candidate[] = []
  for (const { id } of db.members(req.service)) {
    const record = db.record(id)
    if (record === undefined || req.tried.has(id) || excludedUntil(db, record) > now || !usable(id)) continue
    candidates.push(candidateFor(db, record, req, view, now))
  }
  const { candidates: allowed, decision: zoneDecision } = restrictByZone(db, candidates, req, now)
  const best = choose(db, allowed, req, view)
  if (best === undefined) return undefined
  const common = { leastLoad: Math.min(...candidates.map(({ load }) => load)), zoneDecision }
  // Where all are under pressure, a second upstream would read shared parts again, which takes capacity from all.
  const other = first(allowed.filter(({ load }) => load <= UNDER_PRESSURE), (a, b) => a.cost < b.cost)
  const alternative = other === undefined || other === best ? undefined : { ...other, ...common, alternative: undefined }
  return { ...best, ...common, alternative }
}

/** Returns the upstreams to choose from: all of them, unless traffic between zones has a price. */
const restrictByZone = (db: PlacementDb, candidates: readonly Candidate[], req: PlacementRequest, now: Millis): Pick<SpillChoice<Candidate>, 'candidates'> & { readonly decision?: SpillDecision } =>
  req.zoneTraffic === undefined ? { candidates } : decideZoneSpill(db.zoneSpill, candidates, { ...req, zoneTraffic: req.zoneTraffic }, now)

/**
 * Returns the best candidate, or one that is about as good, so that many gateways with the same reports do not choose the same one: where upstreams
 * report their slowness, and where traffic between zones has a price.
 */
const choose = (db: PlacementDb, candidates: readonly Candidate[], req: PlacementRequest, view: PromptView): Candidate | undefined => {
  const best = first(candidates, isBetter)
  if (best === undefined || db.random === undefined || !best.isInterchangeable) return best
  if (view.assumedMs !== undefined) return best.hasRoom ? chooseNearEqual(best, candidates.filter(({ hasRoom, isInterchangeable }) => hasRoom && isInterchangeable), db.random) : best
  return req.zoneTraffic === undefined ? best : chooseWithin(best, candidates, db.random)
}

/** Chooses one of the candidates that cost at most `SPREAD_MS` more than the best. Those that lack shared parts are not drawn, so that each part is read at few upstreams. */
const chooseWithin = (best: Candidate, candidates: readonly Candidate[], random: () => number): Candidate => {
  const hasParts = ({ isInterchangeable, copiedTokens }: Candidate): boolean => isInterchangeable && copiedTokens === 0
  if (!hasParts(best)) return best
  const near = candidates.filter(candidate => candidate.cost <= best.cost + SPREAD_MS && candidate.pressure <= Math.max(1, best.pressure) && hasParts(candidate))
  return near[Math.floor(random() * near.length)] ?? best
}

/** Returns the candidate than which none is better, the first one of equals. */
const first = (candidates: readonly Candidate[], isBetter: (a: Candidate, b: Candidate) => boolean): Candidate | undefined => {
  let best = candidates[0]
  for (const candidate of candidates) if (best !== undefined && isBetter(candidate, best)) best = candidate
  return best
}

const isBetter = (a: Candidate, b: Candidate): boolean => {
  if (a.hasRoom !== b.hasRoom) return a.hasRoom
  return a.hasRoom ? a.cost < b.cost : a.pressure < b.pressure
}
