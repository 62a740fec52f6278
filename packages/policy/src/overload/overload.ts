/**
 * Decides when a router is to say that it is not ready. Answers callers that press on one host until it reads only requests
 * whose callers have given up: it would never catch up by itself, while others of its zone have time to spare.
 */
import type { Millis } from '@fuchsiaworks/kernel'
import type { OverloadState, AbandonmentSample, ZoneReadiness } from './overloadTypes.js'

/** Share of abandoned requests from which a sample is bad. */
const BAD_SHARE = 0.2

/** Abandoned requests below which a sample is not bad: some callers always leave. */
const MIN_ABANDONED = 8

/** Bad samples in a row from which a router goes out. */
const BAD_SAMPLES = 2

/** Milliseconds after its start in which a router stays in: callers that waited for a zone to come back leave in numbers. */
const START_MS: Millis = 6000

/** Shortest and longest milliseconds out; each time soon after the last takes twice as long. */
const OUT_MS = { min: 2500, max: 20_000 } as const

/** Milliseconds in service after which a router starts with the shortest time again. */
const FORGET_MS: Millis = 20_000

/** Largest share of the zone's other routers that may be out when this one goes, too. */
const MAX_OUT_SHARE = 0.5

/** @returns the state of a router that has just started */
export const initialOverloadState = (now: Millis): OverloadState => ({ startedAt: now, badSamples: 0, outUntil: 0, nextOutMs: OUT_MS.min, backAt: -Infinity })

const isBad = ({ read, abandoned }: AbandonmentSample): boolean => abandoned >= MIN_ABANDONED && abandoned >= read * BAD_SHARE

/** @returns whether other routers of the zone can take the callers */
const canOthersTake = ({ inSight, out }: ZoneReadiness): boolean => inSight - out > 0 && out < inSight * MAX_OUT_SHARE

/**
 * Takes one sample.
 *
 * @param state - what was kept
 * @param sample - what was read since the last look
 * @param zone - the other routers of the zone
 * @param now - monotonic milliseconds
 * @returns what is to be kept; the router is out while `outUntil` is set
 */
export const decideOverload = (state: OverloadState, sample: AbandonmentSample, zone: ZoneReadiness, now: Millis): OverloadState => {
  if (state.outUntil > 0) {
    if (now < state.outUntil) return state
    return { ...state, badSamples: 0, outUntil: 0, nextOutMs: Math.min(OUT_MS.max, state.nextOutMs * 2), backAt: now }
  }
  const nextOutMs = now - state.backAt > FORGET_MS ? OUT_MS.min : state.nextOutMs
  const badSamples = isBad(sample) && now - state.startedAt > START_MS ? state.badSamples + 1 : 0
  if (badSamples < BAD_SAMPLES || !canOthersTake(zone)) return { ...state, badSamples, nextOutMs }
  return { ...state, badSamples: 0, outUntil: now + nextOutMs, nextOutMs }
}
