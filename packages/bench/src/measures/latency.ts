/** Percentiles of latency, measured from the intended time of sending. */
import { build } from 'hdr-histogram-js'

/** Microseconds in a millisecond; the histogram records integers. */
const MICROS_PER_MS = 1000

/** Larger latencies are recorded as this one. */
const MAX_LATENCY_US = 600_000_000

/** Summary of latencies in milliseconds. */
export interface LatencySummary {
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly max: number
}

/**
 * Calculates percentiles of latencies.
 *
 * @param values - latencies in milliseconds
 * @returns percentiles; all 0 when there are no values
 */
export const summariseLatency = (values: readonly number[]): LatencySummary => {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 })
  for (const value of values) histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, Math.round(value * MICROS_PER_MS))))
  const percentileMs = (percentile: number): number => values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
  return { count: values.length, p50: percentileMs(50), p95: percentileMs(95), p99: percentileMs(99), max: percentileMs(100) }
}
