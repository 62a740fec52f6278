/**
 * Decides when an overloaded gateway reports that it is not ready, so that the load balancer sends new callers to other gateways.
 * A gateway first gives connections to its peers; when it cannot even accept them in time, callers time out in its listen queue,
 * and it reads mainly requests whose callers have left. It returns when the load that it left no longer exists: a return after a fixed time
 * would move the same load back to it, and on to the next small gateway, by turns.
 */
import type { Millis } from '@fuchsiaworks/kernel'
import type { OverloadSample, OverloadState, ZoneReadiness } from './overloadTypes.js'

/** Wait in the listen queue from which a sample counts as bad: a queue that stands although connections are given away. */
const BAD_WAIT_MS: Millis = 250

/** Share of abandoned requests from which a sample counts as bad. */
const BAD_SHARE = 0.2

/** Minimum abandoned requests in a bad sample, because some callers always disconnect early. */
const MIN_ABANDONED = 4

/** Consecutive bad samples after which a gateway goes out of rotation. */
const BAD_SAMPLES = 2

/** Milliseconds after its start for which a gateway stays in rotation: in a zone that returns from an outage, many waiting callers time out at once. */
const STARTUP_GRACE_MS: Millis = 6000

/** Shortest and longest time out of rotation: the load balancer needs the former to move callers, and the latter bounds an error of the comparison below. */
const OUT_RANGE_MS = { min: 2500, max: 120_000 } as const

/** Share of the load that a gateway left from which a peer's load may be that load. */
const SAME_LOAD_RATIO = 0.6

/** Utilization from which a peer may be one that cannot accept all of that load. */
const PRESSED_UTILIZATION = 0.9

/** Share of the zone's peer gateways out of rotation from which this gateway stays in. */
const MAX_OUT_SHARE = 0.5

/** @returns the state of a gateway that has just started */
export const initialOverloadState = (now: Millis): OverloadState => ({ startedAt: now, badSamples: 0, outSince: undefined, unbearable: 0 })

const isBadSample = ({ listenQueueWaitMs, read, abandoned }: OverloadSample): boolean =>
  listenQueueWaitMs >= BAD_WAIT_MS || (abandoned >= MIN_ABANDONED && abandoned >= read * BAD_SHARE)

/** @returns whether enough peer gateways of the zone are in rotation to take over the callers */
const canOthersTakeOver = ({ inSight, out }: ZoneReadiness): boolean => inSight - out > 0 && out < inSight * MAX_OUT_SHARE

/** @returns whether the load that the gateway left has ended, as far as the loads of its peers show */
const isLoadGone = ({ unbearable }: OverloadState, { maxAccepted, maxUtilization }: ZoneReadiness): boolean =>
  maxAccepted < unbearable * SAME_LOAD_RATIO && maxUtilization < PRESSED_UTILIZATION

/**
 * Applies one sample.
 *
 * @param state - state after the previous sample
 * @param sample - what was seen since the previous sample
 * @param zone - the peer gateways of the zone
 * @param now - monotonic milliseconds
 * @returns the new state; the gateway is out of rotation while `outSince` is set
 */
export const decideOverload = (state: OverloadState, sample: OverloadSample, zone: ZoneReadiness, now: Millis): OverloadState => {
  if (state.outSince !== undefined) {
    const outMs = now - state.outSince
    const mayReturn = outMs >= OUT_RANGE_MS.max || (outMs >= OUT_RANGE_MS.min && isLoadGone(state, zone))
    return mayReturn ? { ...state, badSamples: 0, outSince: undefined } : state
  }
  const badSamples = isBadSample(sample) && now - state.startedAt > STARTUP_GRACE_MS ? state.badSamples + 1 : 0
  if (badSamples < BAD_SAMPLES || !canOthersTakeOver(zone)) return { ...state, badSamples }
  return { ...state, badSamples: 0, outSince: now, unbearable: sample.acceptedPerSecond }
}
