/**
 * Chooses the upstream for a request. Answers the load of prompts that share long parts: a part is read once and kept at
 * few upstreams, yet no upstream takes more than it can begin within the target.
 */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import { compareForSubject } from '../keys/rendezvous.js'
import type { PlacementDb } from './placementDb.js'
import type { PartHash, Placement, PlacementRequest, PromptPart } from './placementTypes.js'
import type { UpstreamRecord } from './upstreamRecord.js'

/** Milliseconds to the first event at an upstream that has nothing else to do. */
const BASE_LATENCY_MS = 15

/**
 * Factor on the time to read a shared part at an upstream while another keeps it: the second reading takes time from
 * requests that others wait for, and room from other parts.
 */
const REREAD_WEIGHT = 10

/** Factor on the time of a second reading in the pressure: it is done where there is room to spare, not for the last place. */
const REREAD_PRESSURE = 3

/** Cost of a copy as a share of the time to read it: it takes room from other parts. */
const COPY_WEIGHT = 0.5

/** Milliseconds added for each step down the preference of a prompt that no upstream keeps, so that routers that decide at once agree. */
const RANK_MS = 30

/** Steps down the preference beyond which all upstreams are equal. */
const MAX_RANK = 2

/** A later part that is this many times as long as the parts before it decides the preference in place of the first. */
const LONG_PART_RATIO = 3

/** Milliseconds that a plain request in another zone costs beyond one in this zone. */
const OTHER_ZONE_MS = 8

/**
 * Share of the target that the prompt of the request itself counts for at most. A prompt that takes longer than the target
 * by itself is as urgent to its workspace as a short one; what it finds ahead of it decides.
 */
const OWN_PRESSURE = 0.2

/** Share of an engine's memory that may be promised to open requests. */
const MEMORY_SHARE = 0.95

/** What is known of a prompt's shared parts before any upstream is looked at. */
interface PromptView {
  readonly parts: ReadonlyArray<{ readonly hash: PartHash, readonly tokens: number }>
  /** True for each part that some upstream keeps. */
  readonly kept: readonly boolean[]
  /** The upstream that others can copy most of the parts from, and how many parts these are. */
  readonly giver: { readonly id: UpstreamId, readonly parts: number } | undefined
  /** Upstreams in the order in which they are preferred, the first few only. */
  readonly preference: readonly UpstreamId[]
}

/**
 * The part that names the upstream of a prompt. Prompts with the same first part go together, unless a much longer part
 * follows: then the first is common to most prompts.
 */
const leadingPart = (parts: readonly PromptPart[]): PromptPart | undefined => {
  let before = 0
  let leading = parts[0]
  for (const part of parts) {
    if (before > 0 && part.tokens > before * LONG_PART_RATIO) leading = part
    before += part.tokens
  }
  return leading
}

/** Finds the upstream from which most of the parts can be copied; of several the one with the least to read. */
const findGiver = (records: readonly UpstreamRecord[], parts: PromptView['parts'], now: Millis): PromptView['giver'] => {
  let best: { readonly id: UpstreamId, readonly parts: number, readonly waiting: number } | undefined
  for (const record of records) {
    if (record.facts.copyMsPerThousandTokens === undefined || record.avoidUntil > now) continue
    const missing = parts.findIndex(({ hash }) => !record.canGivePart(hash, now))
    const count = missing === -1 ? parts.length : missing
    if (count === 0 || count < (best?.parts ?? 0)) continue
    const waiting = record.totalLoad.waitingTokens
    if (best === undefined || count > best.parts || waiting < best.waiting) best = { id: record.id, parts: count, waiting }
  }
  return best
}

const viewOf = (db: PlacementDb, req: PlacementRequest, now: Millis): PromptView => {
  const parts = req.sharedParts.map(({ id, tokens }) => ({ hash: db.hash(id), tokens }))
  const members = db.members(req.service)
  const records = members.flatMap(({ id }) => db.record(id) ?? [])
  const kept = parts.map(({ hash }) => records.some(record => record.keepsPart(hash, now)))
  const giver = findGiver(records, parts, now)
  const leading = leadingPart(req.sharedParts)
  if (leading === undefined) return { parts, kept, giver, preference: [] }
  const subject = db.hash(leading.id)
  const ranked = [...members].sort((a, b) => compareForSubject(a, b, subject))
  return { parts, kept, giver, preference: ranked.slice(0, MAX_RANK).map(({ id }) => id) }
}

/** What an upstream would have to do for the shared parts of a prompt, in tokens. */
interface MissingParts {
  /** To be read. */
  readonly read: number
  /** Those of them that another upstream keeps. */
  readonly reread: number
  /** To be copied from another upstream in place of being read. */
  readonly copied: number
}

/** A part is of use only when all before it are kept too. */
const missingParts = (record: UpstreamRecord, view: PromptView, now: Millis): MissingParts => {
  const given = record.facts.copyMsPerThousandTokens === undefined || view.giver === undefined || view.giver.id === record.id ? 0 : view.giver.parts
  let isMissing = false
  let [read, reread, copied] = [0, 0, 0]
  view.parts.forEach((part, at) => {
    isMissing ||= !record.keepsPart(part.hash, now)
    if (!isMissing) return
    if (at < given) {
      copied += part.tokens
      return
    }
    read += part.tokens
    if (view.kept[at] === true) reread += part.tokens
  })
  return { read, reread, copied }
}

const rankOf = (view: PromptView, id: UpstreamId): number => {
  const rank = view.preference.indexOf(id)
  return rank === -1 ? MAX_RANK : rank
}

interface Candidate extends Placement {
  readonly cost: number
}

const engineCandidate = (record: UpstreamRecord, req: PlacementRequest, view: PromptView, now: Millis): Candidate => {
  const load = record.totalLoad
  const { read, reread, copied } = missingParts(record, view, now)
  const perToken = record.msPerKToken / 1000
  const aheadMs = BASE_LATENCY_MS + load.waitingTokens * perToken
  const copyMs = copied * (record.facts.copyMsPerThousandTokens ?? 0) / 1000
  const readMs = (read + req.unsharedTokens) * perToken + copyMs
  const rereadMs = reread * perToken
  const promised = load.reservedTokens + req.unsharedTokens + req.maxOutputTokens
  const pressure = Math.max(
    aheadMs / req.latencyTargetMs + Math.min(readMs / req.latencyTargetMs, OWN_PRESSURE) + rereadMs * REREAD_PRESSURE / req.latencyTargetMs,
    (load.open + 1) / record.facts.slots,
    promised / ((record.facts.kvCapacityTokens ?? Infinity) * MEMORY_SHARE)
  )
  const expectedMs = aheadMs + readMs
  const cost = expectedMs + rereadMs * (REREAD_WEIGHT - 1) + copied * perToken * COPY_WEIGHT + (read > 0 ? rankOf(view, record.id) * RANK_MS : 0)
  return {
    upstream: record.id,
    expectedMs,
    readTokens: read + req.unsharedTokens,
    rereadTokens: reread,
    copiedTokens: copied,
    copyFrom: copied > 0 ? view.giver?.id : undefined,
    pressure,
    cost
  }
}

const plainCandidate = (record: UpstreamRecord, req: PlacementRequest): Candidate => {
  const { open } = record.totalLoad
  const pressure = (open + 1) / record.facts.slots
  const cost = pressure * req.latencyTargetMs + (record.facts.zone === req.zone ? 0 : OTHER_ZONE_MS)
  return { upstream: record.id, expectedMs: 0, readTokens: 0, rereadTokens: 0, copiedTokens: 0, copyFrom: undefined, pressure, cost }
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
  const view = viewOf(db, req, now)
  let best: Candidate | undefined
  for (const { id } of db.members(req.service)) {
    const record = db.record(id)
    if (record === undefined || req.tried.has(id) || record.avoidUntil > now || !usable(id)) continue
    const candidate = record.facts.kvCapacityTokens === undefined ? plainCandidate(record, req) : engineCandidate(record, req, view, now)
    if (best === undefined || isBetter(candidate, best)) best = candidate
  }
  return best
}

const isBetter = (a: Candidate, b: Candidate): boolean => {
  if ((a.pressure < 1) !== (b.pressure < 1)) return a.pressure < 1
  return a.pressure < 1 ? a.cost < b.cost : a.pressure < b.pressure
}
