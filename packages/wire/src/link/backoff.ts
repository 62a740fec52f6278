/** Exponential backoff with jitter between connection attempts. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Upper bound of the delay after the second consecutive failure, in milliseconds; doubles with each further failure. */
const BASE_DELAY_MS = 50

/** Maximum delay in milliseconds. */
const MAX_DELAY_MS = 2_000

/**
 * Computes the delay before the next attempt: none after the first failure, then a random value between half of an
 * exponentially growing bound and the bound.
 *
 * @param failures - consecutive attempts that failed or whose connection was lost immediately
 * @param random - source of random numbers in [0, 1)
 * @returns delay in milliseconds
 */
export const backoffDelay = (failures: number, random: () => number): Millis => {
  if (failures <= 1) return 0
  const bound = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (failures - 2))
  return bound * (0.5 + random() / 2)
}
