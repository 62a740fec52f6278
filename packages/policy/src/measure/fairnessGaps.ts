/** Measures the fairness gaps between workspaces from the samples of a run. */
import type { ModelSample } from './modelTypes.js'

interface DifferenceRange {
  /** Difference when the later of the two became backlogged. */
  readonly first: number
  min: number
  max: number
}

/** Gaps of a run, in cost units divided by weight. */
export interface Gaps {
  /** Largest change of a difference between any two samples of a period in which both stay backlogged. */
  readonly max: number
  /** 99th percentile, over the samples, of the largest change of a difference since both became backlogged. */
  readonly p99: number
}

/**
 * Measures the fairness gaps. A gap is the change of the difference between the amounts that two pairs of workspace and
 * service were served, since both became backlogged.
 *
 * @param samples - samples in order of time
 * @param keyOf - group key of a pair, by which the amounts are summed; pairs with the key undefined are left out
 * @returns the largest gap and the 99th percentile over time
 */
export const measureGaps = (samples: readonly ModelSample[], keyOf: (pair: string) => string | undefined = pair => pair): Gaps => {
  const ranges = new Map<string, DifferenceRange>()
  const gaps = samples.map(sample => largestGap(sample, ranges, keyOf))
  const movements = gaps.map(({ movement }) => movement).sort((a, b) => a - b)
  return { max: Math.max(0, ...gaps.map(({ range }) => range)), p99: movements[Math.floor(movements.length * 0.99)] ?? 0 }
}

const largestGap = (sample: ModelSample, ranges: Map<string, DifferenceRange>, keyOf: (pair: string) => string | undefined): { range: number, movement: number } => {
  const served = sumBy(sample, keyOf)
  const keys = [...served.keys()].sort()
  const compared = new Set<string>()
  const largest = { range: 0, movement: 0 }
  for (const [i, a] of keys.entries()) {
    for (const b of keys.slice(i + 1)) {
      if (!isSameService(a, b)) continue
      compared.add(`${a} ${b}`)
      const difference = (served.get(a) ?? 0) - (served.get(b) ?? 0)
      const { first, min, max } = updateRange(ranges, `${a} ${b}`, difference)
      largest.range = Math.max(largest.range, max - min)
      largest.movement = Math.max(largest.movement, Math.abs(difference - first))
    }
  }
  for (const key of [...ranges.keys()]) if (!compared.has(key)) ranges.delete(key)
  return largest
}

/** Keys of different services are not compared; keys without a service, such as a workspace alone, always are. */
const isSameService = (a: string, b: string): boolean => a.split('/')[1] === b.split('/')[1]

const updateRange = (ranges: Map<string, DifferenceRange>, key: string, difference: number): DifferenceRange => {
  const range = ranges.get(key) ?? { first: difference, min: difference, max: difference }
  range.min = Math.min(range.min, difference)
  range.max = Math.max(range.max, difference)
  ranges.set(key, range)
  return range
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
