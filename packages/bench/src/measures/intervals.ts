/** Intervals of wall-clock time, for measures that sweep over a run. */

/** From a time up to, but not including, another. */
export interface Interval {
  readonly from: number
  readonly to: number
}

/** A change of a count at a time. */
interface CountChange {
  readonly at: number
  readonly delta: number
}

const changesOf = (intervals: readonly Interval[], delta: number): CountChange[] =>
  intervals.filter(({ from, to }) => to > from).flatMap(({ from, to }) => [{ at: from, delta }, { at: to, delta: -delta }])

/**
 * Sweeps over two sets of intervals.
 *
 * @param first - counted in the first number
 * @param second - counted in the second number
 * @param visit - called for each stretch of time in which both counts stay the same
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
 * Finds the stretches that at least one interval covers.
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
