/**
 * Bounds the staleness of the configuration for the check of API keys. A revoked key must stop working within a bounded time,
 * also at a gateway that cannot receive the change. Hence a gateway whose configuration is older refuses requests with a key.
 */
import type { Millis } from '@fuchsiaworks/kernel'

/** Safety margin below the bound, in milliseconds, for the time from the check to the start at the upstream. */
const SAFETY_MARGIN_MS = 700

/**
 * Decides whether API keys of the current configuration may be accepted.
 *
 * @param ageMs - milliseconds, including system suspend, since the configuration was last confirmed as current; undefined before the first confirmation
 * @param boundMs - milliseconds after which a revoked key must be refused; undefined for no bound
 * @returns true when requests with a known key may run
 */
export const mayAcceptApiKeys = (ageMs: Millis | undefined, boundMs: Millis | undefined): boolean => {
  if (ageMs === undefined) return false
  return boundMs === undefined || ageMs <= boundMs - SAFETY_MARGIN_MS
}
