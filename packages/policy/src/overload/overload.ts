/**
 * Decides when an overloaded gateway reports that it is not ready, so that the load balancer takes it out of rotation. A
 * gateway with a long backlog reads mainly requests whose callers have already timed out. It cannot catch up while callers
 * retry, although peer gateways of its zone may have spare capacity.
 */
import type { Millis } from '@fuchsiaworks/kernel'
import type { OverloadState, AbandonmentSample, ZoneReadiness } from './overloadTypes.js'

/** Share of abandoned requests from which a sample counts as bad. */
const BAD_SHARE = 0.2

/** Minimum abandoned requests in a bad sample, because some callers always disconnect early. */
const MIN_ABANDONED = 8

/** Consecutive bad samples after which a gateway goes out of rotation. */
const BAD_SAMPLES = 2

/** Milliseconds after its start for which a gateway stays in rotation: in a zone that returns from an outage, many waiting callers time out at once. */
const STARTUP_GRACE_MS: Millis = 6000

/** Bounds of the milliseconds out of rotation; the time doubles when a gateway goes out again soon after its return. */
const OUT_RANGE_MS = { min: 2500, max: 20_000 } as const

/** Milliseconds in rotation after which the time out of rotation is reset to the minimum. */
const BACKOFF_RESET_MS: Millis = 20_000

/** Share of the zone's peer gateways out of rotation from which this gateway stays in. */
const MAX_OUT_SHARE = 0.5

/** @returns the state of a gateway that has just started */
export const initialOverloadState = (now: Millis): OverloadState => ({ startedAt: now, badSamples: 0, outUntil: 0, nextOutMs: OUT_RANGE_MS.min, returnedAt: -Infinity })

const isBadSample = ({ read, abandoned }: AbandonmentSample): boolean => abandoned >= MIN_ABANDONED && abandoned >= read * BAD_SHARE

/** @returns whether enough peer gateways of the zone are in rotation to take over the callers */
const canOthersTakeOver = ({ inSight, out }: ZoneReadiness): boolean => inSight - out > 0 && out < inSight * MAX_OUT_SHARE

/**
 * Applies one sample.
 *
 * @param state - state after the previous sample
 * @param sample - requests read since the previous sample
 * @param zone - the peer gateways of the zone
 * @param now - monotonic milliseconds
 * @returns the new state; the gateway is out of rotation while `outUntil` is not 0
 */
export const decideOverload = (state: OverloadState, sample: AbandonmentSample, zone: ZoneReadiness, now: Millis): OverloadState => {
  if (state.outUntil > 0) {
    if (now < state.outUntil) return state
    return { ...state, badSamples: 0, outUntil: 0, nextOutMs: Math.min(OUT_RANGE_MS.max, state.nextOutMs * 2), returnedAt: now }
  }
  const nextOutMs = now - state.returnedAt > BACKOFF_RESET_MS ? OUT_RANGE_MS.min : state.nextOutMs
  const badSamples = isBadSample(sample) && now - state.startedAt > STARTUP_GRACE_MS ? state.badSamples + 1 : 0
  if (badSamples < BAD_SAMPLES || !canOthersTakeOver(zone)) return { ...state, badSamples, nextOutMs }
  return { ...state, badSamples: 0, outUntil: now + nextOutMs, nextOutMs }
}
