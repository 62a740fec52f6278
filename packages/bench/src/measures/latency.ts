/** Latency by percentile, from the time at which each request was meant to be sent. */
import { build } from 'hdr-histogram-js'

/** Microseconds in a millisecond; the histogram holds whole numbers. */
const MICROS = 1000

/** Largest latency that is told apart, in microseconds. */
const HIGHEST_MICROS = 600_000_000

/** Summary of latencies in milliseconds. */
export interface LatencySummary {
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly max: number
}

/**
 * Summarises latencies.
 *
 * @param values - milliseconds each
 * @returns percentiles; all 0 without values
 */
export const summariseLatency = (values: readonly number[]): LatencySummary => {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROS, numberOfSignificantValueDigits: 3 })
  for (const value of values) histogram.recordValue(Math.min(HIGHEST_MICROS, Math.max(1, Math.round(value * MICROS))))
  const at = (percentile: number): number => values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROS
  return { count: values.length, p50: at(50), p95: at(95), p99: at(99), max: at(100) }
}
