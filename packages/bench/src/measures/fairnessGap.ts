/** The largest difference in weighted service between two workspaces over any time in which both were backlogged. */
import type { Interval } from './intervals.js'

/** Service to one workspace by one service over the run. */
export interface ServedWorkspace {
  readonly workspace: string
  readonly weight: number
  /** Cost served in each step of time. */
  readonly served: readonly number[]
  /** Whether the workspace was backlogged for the whole of each step. */
  readonly backlogged: readonly boolean[]
}

/** The pair with the largest gap. */
export interface FairnessGap {
  /** Cost units by weight. */
  readonly gap: number
  readonly pair: readonly [string, string] | undefined
  /** Largest number of workspaces that were backlogged in the same step. */
  readonly backlogged: number
  /** Gap between the most and the least served of the backlogged workspaces since the backlog of both began, by step. */
  readonly series: readonly number[]
}

/** Walks over the steps and keeps the range that the difference of a pair has had since both became backlogged. */
const visitPairGaps = (a: ServedWorkspace, b: ServedWorkspace, visit: (step: number, gap: number) => void): void => {
  let difference = 0
  let lowest = 0
  let highest = 0
  a.backlogged.forEach((waits, step) => {
    if (!waits || b.backlogged[step] !== true) {
      difference = lowest = highest = 0
      return
    }
    difference += (a.served[step] ?? 0) / a.weight - (b.served[step] ?? 0) / b.weight
    lowest = Math.min(lowest, difference)
    highest = Math.max(highest, difference)
    visit(step, highest - lowest)
  })
}

/**
 * Measures the gap. Over a time in which both of a pair are backlogged, the largest difference of service between any two
 * moments is the range of the running difference.
 *
 * @param workspaces - service and backlog by step, all of the same length
 * @returns the largest gap of all pairs
 */
export const measureGap = (workspaces: readonly ServedWorkspace[]): FairnessGap => {
  const steps = workspaces[0]?.backlogged.length ?? 0
  const series = Array.from({ length: steps }, () => 0)
  let gap = 0
  let pair: readonly [string, string] | undefined
  workspaces.forEach((a, index) => {
    for (const b of workspaces.slice(index + 1)) {
      visitPairGaps(a, b, (step, value) => {
        series[step] = Math.max(series[step] ?? 0, value)
        if (value > gap) {
          gap = value
          pair = [a.workspace, b.workspace]
        }
      })
    }
  })
  const counts = series.map((_, step) => workspaces.filter(item => item.backlogged[step] === true).length)
  return { gap, pair, backlogged: Math.max(0, ...counts), series }
}

/**
 * Tells for each step whether intervals cover the whole of it.
 *
 * @param intervals - disjoint intervals in order
 * @param start - start of the first step
 * @param step - length of a step
 * @param count - number of steps
 * @returns one answer for each step
 */
export const coveredSteps = (intervals: readonly Interval[], start: number, step: number, count: number): boolean[] =>
  Array.from({ length: count }, (_, index) => {
    const from = start + index * step
    return intervals.some(interval => interval.from <= from && interval.to >= from + step)
  })
