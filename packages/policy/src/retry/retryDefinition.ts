/** Registers the retry policy. */
import { decideRetry } from './retry.js'
import { RetryDb } from './retryDb.js'
import type { RetryConfig } from './retryTypes.js'

/** Retry policy under its registered name. */
export const retryDefinition = {
  id: 'retry',
  createDb: (config: RetryConfig): RetryDb => new RetryDb(config),
  decide: decideRetry
} as const
