/** Seeded random numbers for the plan of a run. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Draws numbers from 0 up to 1. */
export type Random = () => number

/** Range of a 32-bit draw. */
const UINT32_RANGE = 2 ** 32

/**
 * Makes a generator.
 *
 * @param seed - equal seeds draw equal numbers
 * @returns the generator
 */
export const seededRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / UINT32_RANGE
}

/**
 * Draws a time between two events that come independently.
 *
 * @param random - source of randomness
 * @param mean - mean time
 * @returns an exponentially distributed time
 */
export const drawInterval = (random: Random, mean: number): number => -mean * Math.log(1 - random())

/**
 * Picks one entry by weight.
 *
 * @param random - source of randomness
 * @param entries - values with their weights; not empty
 * @returns the chosen value
 */
export const pickWeighted = <T>(random: Random, entries: ReadonlyArray<readonly [T, number]>): T => {
  const total = entries.reduce((sum, [, weight]) => sum + weight, 0)
  let rest = random() * total
  for (const [value, weight] of entries) {
    rest -= weight
    if (rest < 0) return value
  }
  const last = entries.at(-1)
  if (last === undefined) throw new RangeError('nothing to pick from')
  return last[0]
}
