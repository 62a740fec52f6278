/** Settings of the retry policy in a router. */
import type { ConfigurationService } from '@fuchsiaworks/fleet'
import type { RetryConfig } from '@fuchsiaworks/policy'

/** Retries per second that each service is allowed regardless of its load. */
const MIN_RETRIES_PER_SECOND = 0.2

/** Maximum number of unused retries that a service accumulates. */
const RETRY_BURST = 10

/** Maximum number of attempts at one request, including the first. */
const MAX_ATTEMPTS = 3

/** Margin added to the time to live of pulls, for drift between the clocks of router and agent. */
const PULL_TTL_MARGIN_MS = 200

/**
 * Combines the constants with the active configuration. The properties that depend on the configuration are
 * getters, so that a new revision applies immediately.
 *
 * @param configuration - the shared configuration
 */
export const retrySettings = (configuration: ConfigurationService): RetryConfig => ({
  get budgetPercent () { return configuration.effective.retries.percent },
  get pullTtl () { return configuration.effective.links.pullTtlMs },
  floorPerSecond: MIN_RETRIES_PER_SECOND,
  burst: RETRY_BURST,
  maxAttempts: MAX_ATTEMPTS,
  pullMargin: PULL_TTL_MARGIN_MS
})
