/** Computes time, pressure and cost of a request at each upstream. */
import type { Millis } from '@fuchsiaworks/kernel'
import { estimatePlain } from '../instanceLoad/instanceLoad.js'
import { bytesCostMs, zoneCostMs } from '../zoneSpill/zoneCost.js'
import type { SpillCandidate } from '../zoneSpill/zoneSpillTypes.js'
import type { PlacementDb } from './placementDb.js'
import type { Placement, PlacementRequest } from './placementTypes.js'
import { copySourceFor, missingParts, type PromptView, rankOf } from './promptView.js'
import { BASE_LATENCY_MS, type UpstreamRecord } from './upstreamRecord.js'

/**
 * Factor on the time to prefill a shared part that another upstream has cached: the repeated prefill delays other requests
 * and takes cache memory from other parts.
 */
const REPEATED_PREFILL_WEIGHT = 10

/** Factor on the time of a repeated prefill in the pressure, so that it happens at upstreams with spare capacity only. */
const REPEATED_PREFILL_PRESSURE = 3

/** Cost of copying a cached part as a share of its prefill time, because the copy takes cache memory from other parts. */
const COPY_WEIGHT = 0.5

/** Cost in milliseconds for each rank in the preference order, if the prompt needs prefill; it makes gateways that decide concurrently choose the same upstream. */
const RANK_MS = 30

/** Maximum pressure at which an upstream that is not an engine receives requests: all slots taken and as many requests waiting. */
export const MAX_PLAIN_PRESSURE = 2

/**
 * Upper bound on the pressure from the prefill of the request itself. A prompt that takes longer than the target even at an
 * idle upstream must still be placeable, so mainly the queue ahead of it counts.
 */
const MAX_OWN_PRESSURE = 0.2

/** Share of an engine's memory that may be reserved for open requests. */
const MAX_MEMORY_SHARE = 0.95

/** Load from which an upstream is under pressure: below it, there is room for requests of anybody. */
export const UNDER_PRESSURE = 0.4

/** An upstream that may be chosen for a request. */
export interface Candidate extends Omit<Placement, 'leastLoad' | 'alternative'>, SpillCandidate {
  /** Milliseconds to the first event, with what the choice costs other requests. */
  cost: number
  /** Part of the cost that is due to its zone. */
  zoneMs: Millis
  /** False when it is only used if all others lack room, too. */
  readonly hasRoom: boolean
  /** True when it may give way to another of about the same cost; false when other gateways have to choose it, too. */
  readonly isInterchangeable: boolean
}

/** @returns the cost in milliseconds of the bytes that a copy of cached parts sends between zones */
const copyBytesCostMs = (record: UpstreamRecord, req: PlacementRequest, view: PromptView, copiedTokens: number): Millis => {
  const isWithinZone = copySourceFor(record, view)?.zone === record.upstream.zone
  return req.zoneTraffic === undefined || copiedTokens === 0 || isWithinZone ? 0 : bytesCostMs(req.zoneTraffic, copiedTokens * req.zoneTraffic.copyBytesPerToken)
}

/** Returns the milliseconds to prefill a token at an engine now, with the report on which they are based. */
const tokenEstimate = ({ instance, msPerKToken, unqueuedMsPerKToken }: UpstreamRecord, req: PlacementRequest, view: PromptView, now: Millis): Pick<Placement, 'slowness' | 'reportAgeMs'> & { readonly unitMs: Millis } => {
  if (!instance.reportsPercent(now)) {
    // Whether a zone is full depends on the absolute time of the prefill, not only on the order of the upstreams.
    const msPerThousand = req.zoneTraffic === undefined ? msPerKToken : unqueuedMsPerKToken
    return { unitMs: msPerThousand / 1000, slowness: undefined, reportAgeMs: undefined }
  }
  const { unitMs, slowness } = instance.estimate(view.assumedMs ?? msPerKToken / 1000, now)
  return { unitMs, slowness, reportAgeMs: instance.reportAgeMs(now) }
}

const engineCandidate = (db: PlacementDb, record: UpstreamRecord, req: PlacementRequest, view: PromptView, now: Millis): Candidate => {
  const load = record.totalLoad
  const { prefillTokens, repeatedTokens, copiedTokens } = missingParts(record, view, now)
  const { unitMs: msPerToken, slowness, reportAgeMs } = tokenEstimate(record, req, view, now)
  const queueMs = BASE_LATENCY_MS + load.waitingTokens * msPerToken
  const copyMs = copiedTokens * (record.upstream.copyMsPerThousandTokens ?? 0) / 1000
  const prefillMs = (prefillTokens + req.unsharedTokens) * msPerToken + copyMs
  const repeatedMs = repeatedTokens * msPerToken
  const reservedTokens = load.reservedTokens + req.unsharedTokens + req.maxOutputTokens
  const memoryUse = reservedTokens / ((record.upstream.kvCapacityTokens ?? Infinity) * MAX_MEMORY_SHARE)
  const pressure = Math.max(
    queueMs / req.latencyTargetMs + Math.min(prefillMs / req.latencyTargetMs, MAX_OWN_PRESSURE) + repeatedMs * REPEATED_PREFILL_PRESSURE / req.latencyTargetMs,
    (load.open + db.unaccountedRequests(record, now) + 1) / record.upstream.slots,
    memoryUse
  )
  const expectedMs = queueMs + prefillMs
  const cost = expectedMs + repeatedMs * (REPEATED_PREFILL_WEIGHT - 1) + copiedTokens * msPerToken * COPY_WEIGHT + (prefillTokens > 0 ? rankOf(view, record.id) * RANK_MS : 0) +
    copyBytesCostMs(record, req, view, copiedTokens)
  return {
    upstream: record.id,
    zone: record.upstream.zone,
    isEngine: true,
    slots: record.upstream.slots,
    expectedMs,
    readTokens: prefillTokens + req.unsharedTokens,
    rereadTokens: repeatedTokens,
    copiedTokens,
    copyFrom: copiedTokens > 0 ? copySourceFor(record, view)?.id : undefined,
    pressure,
    load: Math.max((queueMs - BASE_LATENCY_MS) / req.latencyTargetMs, load.open / record.upstream.slots, memoryUse),
    slowness,
    reportAgeMs,
    cost,
    zoneMs: 0,
    hasRoom: pressure < 1,
    isInterchangeable: prefillTokens === 0
  }
}

const plainCandidate = (db: PlacementDb, record: UpstreamRecord, req: PlacementRequest, { assumedMs }: PromptView, now: Millis): Candidate => {
  const open = record.totalLoad.open + (assumedMs === undefined ? 0 : db.unaccountedRequests(record, now))
  const pressure = (open + 1) / record.upstream.slots
  const { zone, slots } = record.upstream
  const placement = { upstream: record.id, zone, isEngine: false, slots, readTokens: 0, rereadTokens: 0, copiedTokens: 0, copyFrom: undefined, pressure, load: open / slots, zoneMs: 0, isInterchangeable: true }
  if (assumedMs === undefined) return { ...placement, expectedMs: 0, cost: pressure * req.latencyTargetMs, hasRoom: pressure < 1 }
  const { expectedMs, slowness } = estimatePlain(record.instance, open, slots, assumedMs, now)
  // A request may wait at a fast upstream for less time than it takes at a slow one.
  return { ...placement, expectedMs, cost: expectedMs, slowness, reportAgeMs: record.instance.reportAgeMs(now), hasRoom: pressure <= MAX_PLAIN_PRESSURE }
}

/** Computes what a request would meet at an upstream. */
export const candidateFor = (db: PlacementDb, record: UpstreamRecord, req: PlacementRequest, view: PromptView, now: Millis): Candidate => {
  const candidate = record.upstream.kvCapacityTokens === undefined ? plainCandidate(db, record, req, view, now) : engineCandidate(db, record, req, view, now)
  candidate.zoneMs = zoneCostMs(record, req)
  candidate.cost += candidate.zoneMs
  return candidate
}
