/** Applies reported loads and measured times to the comparison of upstreams. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { InstanceRecord } from './instanceRecord.js'
import type { WorkEstimate } from './instanceLoadTypes.js'

/**
 * Costs within this part of the lowest one count as equal, so that gateways which decide at once do not all choose the same upstream. With 0.1, mean
 * latencies were up to 3 % higher at 20 senders that hear from each other every 60 ms.
 */
const NEAR_EQUAL_RATIO = 0.3

/**
 * Computes how many times the duration of one request a new one takes at a plain upstream: requests that find no free slot wait for one.
 *
 * @param ahead - requests at the upstream
 */
export const queueRounds = (ahead: number, slots: number): number => 1 + Math.max(0, ahead + 1 - slots) / slots

/**
 * Finds the time that is assumed for an upstream which was not measured recently.
 *
 * @param records - upstreams of one service
 * @returns the time at the fastest measured one, so that the others are tried; undefined when no upstream reports its slowness or none is measured
 */
export const assumedUnitMs = (records: readonly InstanceRecord[], now: Millis): Millis | undefined => {
  let fastest: Millis | undefined
  let isReported = false
  for (const record of records) {
    isReported ||= record.reportsPercent(now)
    const usualMs = record.usualMs(now)
    if (usualMs !== undefined && (fastest === undefined || usualMs < fastest)) fastest = usualMs
  }
  return isReported ? fastest : undefined
}

/**
 * Estimates the time of a new request at a plain upstream.
 *
 * @param ahead - requests at the upstream
 * @param assumedMs - time of a request at an upstream that was not measured recently
 */
export const estimatePlain = (record: InstanceRecord, ahead: number, slots: number, assumedMs: Millis, now: Millis): WorkEstimate & { readonly expectedMs: Millis } => {
  const estimate = record.estimate(assumedMs, now)
  return { ...estimate, expectedMs: queueRounds(ahead, slots) * estimate.unitMs }
}

/**
 * Chooses one of the candidates that cost about as much as the best, and are not in a farther zone.
 *
 * @param random - returns a number from 0 to below 1
 */
export const chooseNearEqual = <T extends { readonly cost: number, readonly zoneMs: Millis }>(best: T, candidates: readonly T[], random: () => number): T => {
  const near = candidates.filter(({ cost, zoneMs }) => zoneMs <= best.zoneMs && cost <= best.cost * (1 + NEAR_EQUAL_RATIO))
  return near[Math.floor(random() * near.length)] ?? best
}
