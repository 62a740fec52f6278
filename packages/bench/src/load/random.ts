/** Seeded random numbers, so that a run can be repeated. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Draws a uniformly distributed number in [0, 1). */
export type Random = () => number

/** Number of values of an unsigned 32-bit integer. */
const UINT32_RANGE = 2 ** 32

/**
 * Creates a generator of random numbers.
 *
 * @param seed - an equal seed gives an equal sequence
 * @returns the generator
 */
export const seededRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / UINT32_RANGE
}

/**
 * Draws the time between two events of a Poisson process.
 *
 * @param random - source of randomness
 * @param mean - mean time between events
 * @returns an exponentially distributed time
 */
export const drawInterval = (random: Random, mean: number): number => -mean * Math.log(1 - random())

/**
 * Picks a value at random, with a probability proportional to its weight.
 *
 * @param random - source of randomness
 * @param entries - values with their weights; not empty
 * @returns the picked value
 */
export const pickWeighted = <T>(random: Random, entries: ReadonlyArray<readonly [T, number]>): T => {
  const total = entries.reduce((sum, [, weight]) => sum + weight, 0)
  let rest = random() * total
  for (const [value, weight] of entries) {
    rest -= weight
    if (rest < 0) return value
  }
  const last = entries.at(-1)
  if (last === undefined) throw new RangeError('cannot pick from an empty list')
  return last[0]
}
