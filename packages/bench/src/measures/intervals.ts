/** Operations on intervals of wall-clock time. */

/** Half-open interval: `from` is part of it, `to` is not. */
export interface Interval {
  readonly from: number
  readonly to: number
}

/** Start or end of an interval, as a change of the number of open intervals. */
interface CountChange {
  readonly at: number
  readonly delta: number
}

const changesOf = (intervals: readonly Interval[], delta: number): CountChange[] =>
  intervals.filter(({ from, to }) => to > from).flatMap(({ from, to }) => [{ at: from, delta }, { at: to, delta: -delta }])

/**
 * Sweeps over two sets of intervals and counts the open ones of each.
 *
 * @param first - first set
 * @param second - second set
 * @param visit - called with both counts for each stretch of time in which neither changes
 */
export const sweep = (
  first: readonly Interval[], second: readonly Interval[],
  visit: (stretch: Interval, firstCount: number, secondCount: number) => void
): void => {
  const changes = [
    ...changesOf(first, 1).map(change => ({ ...change, set: 0 })),
    ...changesOf(second, 1).map(change => ({ ...change, set: 1 }))
  ].sort((a, b) => a.at - b.at)
  const counts: [number, number] = [0, 0]
  let last = changes[0]?.at ?? 0
  for (const { at, delta: by, set } of changes) {
    if (at > last) visit({ from: last, to: at }, counts[0], counts[1])
    counts[set === 0 ? 0 : 1] += by
    last = at
  }
}

/**
 * Merges intervals that overlap or touch.
 *
 * @param intervals - in any order
 * @returns disjoint intervals in order
 */
export const union = (intervals: readonly Interval[]): Interval[] => {
  const merged: Array<{ from: number, to: number }> = []
  for (const { from, to } of intervals.filter(item => item.to > item.from).sort((a, b) => a.from - b.from)) {
    const current = merged.at(-1)
    if (current !== undefined && from <= current.to) current.to = Math.max(current.to, to)
    else merged.push({ from, to })
  }
  return merged
}
