/** Delays between failed reads. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Longest delay after the first failure, in milliseconds. */
const FIRST_DELAY_MS = 250

/** Longest delay after many failures, in milliseconds. */
const MAX_DELAY_MS = 10_000

/**
 * Chooses the delay before the next read. The upper half of the range is random, so that processes
 * which lost the service together do not come back together.
 *
 * @param failures - failures in a row, from 1
 * @param random - number from 0 up to 1
 * @returns the delay in milliseconds
 */
export const backoffDelay = (failures: number, random: number): Millis => {
  const maxDelayMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** (failures - 1))
  return maxDelayMs * (1 + random) / 2
}
