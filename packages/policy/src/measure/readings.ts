/** Readings of a run: gaps between workspaces and their percentiles. */
import type { ModelSample } from './modelTypes.js'

/** Gaps of a run, in cost units by weight. */
export interface Gaps {
  readonly max: number
  readonly p99: number
}

/**
 * Measures the gap between each two pairs of workspace and service that stay backlogged: how far the difference of
 * their service has moved since both were backlogged.
 *
 * @param samples - readings in order of time
 * @param keyOf - groups what is compared; undefined leaves it out
 * @returns the largest gap and the 99th percentile of the largest gap at each reading
 */
export const measureGaps = (samples: readonly ModelSample[], keyOf: (pair: string) => string | undefined = pair => pair): Gaps => {
  const ranges = new Map<string, { least: number, most: number }>()
  const gaps = samples.map(sample => largestGap(sample, ranges, keyOf)).sort((a, b) => a - b)
  return { max: gaps.at(-1) ?? 0, p99: gaps[Math.floor(gaps.length * 0.99)] ?? 0 }
}

const largestGap = (sample: ModelSample, ranges: Map<string, { least: number, most: number }>, keyOf: (pair: string) => string | undefined): number => {
  const served = sumBy(sample, keyOf)
  const keys = [...served.keys()].sort()
  const seen = new Set<string>()
  let largest = 0
  for (const [i, a] of keys.entries()) {
    for (const b of keys.slice(i + 1)) {
      if (!comparable(a, b)) continue
      seen.add(`${a} ${b}`)
      largest = Math.max(largest, widen(ranges, `${a} ${b}`, (served.get(a) ?? 0) - (served.get(b) ?? 0)))
    }
  }
  for (const key of [...ranges.keys()]) if (!seen.has(key)) ranges.delete(key)
  return largest
}

/** Pairs at different services are not compared. */
const comparable = (a: string, b: string): boolean => a.split('/')[1] === b.split('/')[1]

const widen = (ranges: Map<string, { least: number, most: number }>, key: string, difference: number): number => {
  const range = ranges.get(key) ?? { least: difference, most: difference }
  range.least = Math.min(range.least, difference)
  range.most = Math.max(range.most, difference)
  ranges.set(key, range)
  return range.most - range.least
}

const sumBy = (sample: ModelSample, keyOf: (pair: string) => string | undefined): Map<string, number> => {
  const sums = new Map<string, number>()
  const waiting = new Set([...sample.waiting].map(keyOf))
  for (const [pair, served] of sample.served) {
    const key = keyOf(pair)
    if (key !== undefined && waiting.has(key)) sums.set(key, (sums.get(key) ?? 0) + served)
  }
  return sums
}
