/**
 * Bounds the age of what a router believes of the configuration. A key that was taken away must stop working within a
 * known time, also at a router that cannot see the change: past that age the router refuses what needs a key.
 */
import type { Millis } from '@fuchsiaworks/kernel'

/** When the newest configuration was last confirmed. */
export interface BeliefAge {
  /** Reading of a clock that counts suspended time, in milliseconds; undefined before the first confirmation. */
  readonly confirmedAt: Millis | undefined
}

/** Milliseconds kept free below the bound: the time from the decision to the start at the upstream. */
const MARGIN_MS = 700

/**
 * Decides whether keys may still be honoured.
 *
 * @param belief - when the configuration was last confirmed
 * @param boundMs - milliseconds after which a key that was taken away must not work; undefined when there is no bound
 * @param now - reading of the same clock
 * @returns true when a request with a known key may run
 */
export const mayHonourKeys = (belief: BeliefAge, boundMs: Millis | undefined, now: Millis): boolean => {
  if (belief.confirmedAt === undefined) return false
  return boundMs === undefined || now - belief.confirmedAt <= boundMs - MARGIN_MS
}
