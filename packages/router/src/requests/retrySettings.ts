/** Settings of retries in a router. */
import type { ConfigurationService } from '@fuchsiaworks/fleet'
import type { RetryConfig } from '@fuchsiaworks/policy'

/** Retries a second that each service is allowed whatever its load. */
const MIN_RETRIES_PER_SECOND = 0.2

/** Unused retries that a service saves up. */
const RETRY_BURST = 10

/** Attempts at one request, the first included. */
const MAX_ATTEMPTS = 3

/** Milliseconds added to the age limit of pulls for the difference in speed of two clocks. */
const PULL_TTL_MARGIN_MS = 200

/**
 * Joins the constants with the configuration in force, which is read anew at each use.
 *
 * @param configuration - the shared configuration
 * @returns settings for the retry policy
 */
export const retrySettings = (configuration: ConfigurationService): RetryConfig => ({
  get budgetPercent () { return configuration.effective.retries.percent },
  get pullTtl () { return configuration.effective.links.pullTtlMs },
  floorPerSecond: MIN_RETRIES_PER_SECOND,
  burst: RETRY_BURST,
  maxAttempts: MAX_ATTEMPTS,
  pullMargin: PULL_TTL_MARGIN_MS
})
