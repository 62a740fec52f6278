/**
 * Bounds the age of what a router believes of the configuration. A key that was taken away must stop working within a
 * known time, also at a router that cannot see the change: past that age the router refuses what needs a key.
 */
import type { Millis } from '@fuchsiaworks/kernel'

/** Milliseconds kept free below the bound: the time from the decision to the start at the upstream. */
const MARGIN_MS = 700

/**
 * Decides whether keys may still be honoured.
 *
 * @param ageMs - milliseconds, suspended time included, since the configuration was confirmed; undefined before the first time
 * @param boundMs - milliseconds after which a key that was taken away must not work; undefined when there is no bound
 * @returns true when a request with a known key may run
 */
export const mayAcceptApiKeys = (ageMs: Millis | undefined, boundMs: Millis | undefined): boolean => {
  if (ageMs === undefined) return false
  return boundMs === undefined || ageMs <= boundMs - MARGIN_MS
}
