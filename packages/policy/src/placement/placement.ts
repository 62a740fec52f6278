/**
 * Chooses the upstream for a request. Answers the load of prompts that share long parts: a part is read once and kept at
 * few upstreams, yet no upstream takes more than it can begin within the target.
 */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import { compareForSubject } from '../keys/rendezvous.js'
import type { PlacementDb } from './placementDb.js'
import type { Placement, PlacementRequest, PromptPart } from './placementTypes.js'
import type { UpstreamRecord } from './upstreamRecord.js'

/** Milliseconds to the first event at an upstream that has nothing else to do. */
const BASE_LATENCY_MS = 15

/** Milliseconds for which a part is expected to be kept after its last use. */
const PART_KEPT_MS = 10_000

/** Share of a part that is expected to be missing at its preferred upstream while this router has not used it there. */
const PREFERRED_MISS = 0.3

/** Factor on the cost of reading a shared part again: it also pushes other parts out of the memory. */
const REREAD_WEIGHT = 2

/** Milliseconds that a plain request in another zone costs beyond one in this zone. */
const OTHER_ZONE_MS = 8

/**
 * Share of the target that the prompt of the request itself counts for at most. A prompt that takes longer than the target
 * by itself is as urgent to its workspace as a short one; what it finds ahead of it decides.
 */
const OWN_PRESSURE = 0.2

/** Share of an engine's memory that may be promised to open requests. */
const MEMORY_SHARE = 0.95

/** The preferred upstreams of each part, best first, worked out once for a request. */
const preferredFor = (db: PlacementDb, req: PlacementRequest): UpstreamId | undefined => {
  const subject = longestPart(req.sharedParts)
  if (subject === undefined) return undefined
  const hash = db.hash(subject.id)
  let best = db.members(req.service)[0]
  for (const member of db.members(req.service)) if (best !== undefined && compareForSubject(member, best, hash) < 0) best = member
  return best?.id
}

const longestPart = (parts: readonly PromptPart[]): PromptPart | undefined =>
  parts.reduce<PromptPart | undefined>((best, part) => best === undefined || part.tokens > best.tokens ? part : best, undefined)

const missingTokens = (record: UpstreamRecord, req: PlacementRequest, preferred: UpstreamId | undefined, now: Millis): number => {
  let missing = 0
  for (const part of req.sharedParts) {
    const lastUse = record.lastUseOfPart(part.id)
    if (lastUse !== undefined && now - lastUse < PART_KEPT_MS) continue
    missing += part.tokens * (record.id === preferred ? PREFERRED_MISS : 1)
  }
  return missing
}

interface Candidate extends Placement {
  readonly cost: number
}

const engineCandidate = (record: UpstreamRecord, req: PlacementRequest, preferred: UpstreamId | undefined, now: Millis): Candidate => {
  const load = record.totalLoad(now)
  const missing = missingTokens(record, req, preferred, now)
  const perToken = record.msPerKToken / 1000
  const aheadMs = BASE_LATENCY_MS + load.waitingTokens * perToken
  const readMs = (missing + req.ownTokens) * perToken
  const promised = load.heldTokens + req.ownTokens + req.maxOutputTokens
  const pressure = Math.max(
    aheadMs / req.targetMs + Math.min(readMs / req.targetMs, OWN_PRESSURE),
    (load.open + 1) / record.facts.slots,
    promised / ((record.facts.memoryTokens ?? Infinity) * MEMORY_SHARE)
  )
  const expectedMs = aheadMs + readMs
  const cost = expectedMs + missing * perToken * (REREAD_WEIGHT - 1)
  return { upstream: record.id, expectedMs, readTokens: missing + req.ownTokens, pressure, cost }
}

const plainCandidate = (record: UpstreamRecord, req: PlacementRequest, now: Millis): Candidate => {
  const { open } = record.totalLoad(now)
  const pressure = (open + 1) / record.facts.slots
  const cost = pressure * req.targetMs + (record.facts.zone === req.zone ? 0 : OTHER_ZONE_MS)
  return { upstream: record.id, expectedMs: 0, readTokens: 0, pressure, cost }
}

/**
 * Ranks the upstreams for a request.
 *
 * @param db - loads; not changed
 * @param req - the request
 * @param usable - whether an upstream may be sent to at all (zone, cold start, leaving)
 * @param now - monotonic milliseconds
 * @returns the cheapest upstream, one under pressure below 1 before any other; undefined when none is usable
 */
export const place = (db: PlacementDb, req: PlacementRequest, usable: (upstream: UpstreamId) => boolean, now: Millis): Placement | undefined => {
  const preferred = preferredFor(db, req)
  let best: Candidate | undefined
  for (const { id } of db.members(req.service)) {
    const record = db.record(id)
    if (record === undefined || req.tried.has(id) || record.avoidUntil > now || !usable(id)) continue
    const candidate = record.facts.memoryTokens === undefined ? plainCandidate(record, req, now) : engineCandidate(record, req, preferred, now)
    if (best === undefined || isBetter(candidate, best)) best = candidate
  }
  return best
}

const isBetter = (a: Candidate, b: Candidate): boolean => {
  if ((a.pressure < 1) !== (b.pressure < 1)) return a.pressure < 1
  return a.pressure < 1 ? a.cost < b.cost : a.pressure < b.pressure
}
