/** Delays between attempts to connect. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Milliseconds of the longest delay after the second failure in a row; it doubles with each further one. */
const BASE_DELAY_MS = 50

/** Milliseconds of the longest delay. */
const MAX_DELAY_MS = 2_000

/**
 * Draws the delay before the next attempt: none after the first failure, then between half and all of a doubling bound.
 *
 * @param failures - attempts that failed in a row, or connections that were lost at once
 * @param random - source of numbers from 0 up to 1
 * @returns milliseconds
 */
export const backoffDelay = (failures: number, random: () => number): Millis => {
  if (failures <= 1) return 0
  const bound = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (failures - 2))
  return bound * (0.5 + random() / 2)
}
