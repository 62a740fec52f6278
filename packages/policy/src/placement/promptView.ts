/** Where the parts of a prompt are cached, and which upstreams are preferred for it. */
import type { Millis, UpstreamId, ZoneId } from '@fuchsiaworks/kernel'
import { assumedUnitMs } from '../instanceLoad/instanceLoad.js'
import { compareForSubject } from '../keys/rendezvous.js'
import type { VersionHash } from '../streamVersion/streamVersionTypes.js'
import type { PlacementDb } from './placementDb.js'
import type { PartHash, PlacementRequest, PromptPart } from './placementTypes.js'
import type { UpstreamRecord } from './upstreamRecord.js'

/** Rank in the preference order from which all upstreams are equal. */
const MAX_RANK = 2

/** A part that is longer than all parts before it by more than this factor determines the preference order instead of the first part. */
const LONG_PART_RATIO = 3

/** Upstream from which leading parts of a prompt can be copied, and the number of these parts. */
interface CopySource {
  readonly id: UpstreamId
  readonly zone: ZoneId
  readonly parts: number
}

/** Cache state of a prompt's shared parts over all upstreams of the service. */
export interface PromptView {
  readonly parts: ReadonlyArray<{ readonly hash: PartHash, readonly tokens: number }>
  /** True for each part that some upstream has cached. */
  readonly isCached: readonly boolean[]
  /** By software version, the upstream from which the longest run of leading parts can be copied: what one version has cached is no use to another. */
  readonly copySources: ReadonlyMap<VersionHash | undefined, CopySource>
  /** Most preferred upstreams, in order of preference. */
  readonly preference: readonly UpstreamId[]
  /** Milliseconds for a unit of work at an upstream that was not measured; undefined when no upstream of the service reports its slowness. */
  readonly assumedMs: Millis | undefined
}

/**
 * Finds the part whose hash determines the preference order. Prompts with the same first part go to the same upstream,
 * unless a much longer part follows: then the first part is probably common to most prompts.
 */
const affinityPartOf = (parts: readonly PromptPart[]): PromptPart | undefined => {
  let tokensBefore = 0
  let affinityPart = parts[0]
  for (const part of parts) {
    if (tokensBefore > 0 && part.tokens > tokensBefore * LONG_PART_RATIO) affinityPart = part
    tokensBefore += part.tokens
  }
  return affinityPart
}

type RankedCopySource = CopySource & { readonly waiting: number }

const isPreferredSource = (a: RankedCopySource, b: RankedCopySource, isDistant: (source: CopySource) => boolean): boolean =>
  isDistant(a) === isDistant(b) ? a.waiting < b.waiting : isDistant(b)

/**
 * Finds, for each version, the upstream from which most of the leading parts can be copied. Of several, one of the own zone is
 * preferred where copies between zones cost bytes, then the one with the fewest tokens waiting for prefill.
 */
const findCopySources = (records: readonly UpstreamRecord[], parts: PromptView['parts'], req: PlacementRequest, now: Millis): PromptView['copySources'] => {
  const isDistant = ({ zone }: { readonly zone: ZoneId }): boolean => (req.zoneTraffic?.copyBytesPerToken ?? 0) > 0 && zone !== req.zone
  const sources = new Map<VersionHash | undefined, RankedCopySource>()
  for (const record of records) {
    if (record.upstream.copyMsPerThousandTokens === undefined || record.avoidUntil > now) continue
    const firstMissing = parts.findIndex(({ hash }) => !record.hasPrefilledPart(hash, now))
    const partCount = firstMissing === -1 ? parts.length : firstMissing
    const best = sources.get(record.upstream.version)
    if (partCount === 0 || partCount < (best?.parts ?? 0)) continue
    const { zone } = record.upstream
    const source = { id: record.id, zone, parts: partCount, waiting: record.totalLoad.waitingTokens }
    if (best === undefined || partCount > best.parts || isPreferredSource(source, best, isDistant)) sources.set(record.upstream.version, source)
  }
  return sources
}

export const promptViewOf = (db: PlacementDb, req: PlacementRequest, now: Millis): PromptView => {
  const parts = req.sharedParts.map(({ id, tokens }) => ({ hash: db.hash(id), tokens }))
  const members = db.members(req.service)
  const records = members.flatMap(({ id }) => db.record(id) ?? [])
  const isCached = parts.map(({ hash }) => records.some(record => record.hasCachedPart(hash, now)))
  const copySources = findCopySources(records, parts, req, now)
  const affinityPart = affinityPartOf(req.sharedParts)
  const assumedMs = assumedUnitMs(records.map(({ instance }) => instance), now)
  if (affinityPart === undefined) return { parts, isCached, copySources, preference: [], assumedMs }
  const subject = db.hash(affinityPart.id)
  // Requests that stay in their zone can only share what one of its own upstreams has read.
  const isOwn = ({ id }: { readonly id: UpstreamId }): boolean => req.zoneTraffic === undefined || db.record(id)?.upstream.zone === req.zone
  const ranked = [...members].sort((a, b) => Number(isOwn(b)) - Number(isOwn(a)) || compareForSubject(a, b, subject))
  return { parts, isCached, copySources, preference: ranked.slice(0, MAX_RANK).map(({ id }) => id), assumedMs }
}

/** Tokens of the shared parts of a prompt that an upstream lacks. */
interface MissingParts {
  /** Tokens to prefill. */
  readonly prefillTokens: number
  /** Tokens among them that another upstream has cached. */
  readonly repeatedTokens: number
  /** Tokens to copy from another upstream instead. */
  readonly copiedTokens: number
}

export const copySourceFor = (record: UpstreamRecord, view: PromptView): CopySource | undefined => {
  const source = view.copySources.get(record.upstream.version)
  return source?.id === record.id ? undefined : source
}

/** Counts the tokens of the parts that an upstream lacks. A cached part is usable only when all parts before it are cached too. */
export const missingParts = (record: UpstreamRecord, view: PromptView, now: Millis): MissingParts => {
  const source = copySourceFor(record, view)
  const copyableParts = source === undefined || record.upstream.copyMsPerThousandTokens === undefined ? 0 : source.parts
  let isMissing = false
  let [prefillTokens, repeatedTokens, copiedTokens] = [0, 0, 0]
  view.parts.forEach((part, index) => {
    isMissing ||= !record.hasCachedPart(part.hash, now)
    if (!isMissing) return
    if (index < copyableParts) {
      copiedTokens += part.tokens
      return
    }
    prefillTokens += part.tokens
    if (view.isCached[index] === true) repeatedTokens += part.tokens
  })
  return { prefillTokens, repeatedTokens, copiedTokens }
}

export const rankOf = (view: PromptView, id: UpstreamId): number => {
  const rank = view.preference.indexOf(id)
  return rank === -1 ? MAX_RANK : rank
}
