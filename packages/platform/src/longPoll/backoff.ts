/** Exponential backoff with jitter between failed reads. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Upper bound of the delay after the first failure. */
const FIRST_DELAY_MS = 250

/** Upper bound of the delay after any number of failures. */
const MAX_DELAY_MS = 10_000

/**
 * Returns the delay before the next read. It is random between half of its upper bound and the upper bound, so that
 * processes that lost the service at the same time do not all reconnect at the same time.
 *
 * @param failures - number of consecutive failures, at least 1
 * @param random - random number in [0, 1)
 * @returns the delay in milliseconds
 */
export const backoffDelay = (failures: number, random: number): Millis => {
  const maxDelayMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** (failures - 1))
  return maxDelayMs * (1 + random) / 2
}
