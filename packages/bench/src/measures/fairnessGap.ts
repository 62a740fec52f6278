/** Fairness gap: the largest difference in weighted service between two workspaces over any interval in which both were backlogged. */
import type { Interval } from './intervals.js'

/** Cost served to one workspace, and its backlog, by step of the run. */
export interface ServedWorkspace {
  readonly workspace: string
  readonly weight: number
  /** Cost served in each step. */
  readonly served: readonly number[]
  /** For each step, whether the workspace was backlogged throughout. */
  readonly backlogged: readonly boolean[]
}

/** Largest gap of all pairs of workspaces. */
export interface FairnessGap {
  /** Cost units per unit of weight. */
  readonly gap: number
  readonly pair: readonly [string, string] | undefined
  /** Largest number of workspaces that were backlogged in the same step. */
  readonly backlogged: number
  /** For each step, the largest gap of any pair since both became backlogged. */
  readonly series: readonly number[]
}

/** Visits the steps in which both workspaces are backlogged, with the range of their difference in service since both became so. */
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
 * Measures the gap over all pairs of workspaces. The largest difference in service between any two moments of an interval in
 * which both are backlogged is the range (maximum minus minimum) of the cumulative difference.
 *
 * @param workspaces - cost served and backlog by step, all of the same length
 * @returns the largest gap
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
 * Finds the steps that are completely covered by one of the intervals.
 *
 * @param intervals - disjoint intervals in order
 * @param start - start of the first step
 * @param step - length of a step
 * @param count - number of steps
 * @returns one entry for each step
 */
export const coveredSteps = (intervals: readonly Interval[], start: number, step: number, count: number): boolean[] =>
  Array.from({ length: count }, (_, index) => {
    const from = start + index * step
    return intervals.some(interval => interval.from <= from && interval.to >= from + step)
  })
