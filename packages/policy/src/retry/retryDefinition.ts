/** Registers the decisions about failed attempts. */
import { decideRetry } from './retry.js'
import { RetryDb } from './retryDb.js'
import type { RetryConfig } from './retryTypes.js'

/** The retry policy under its name. */
export const retryDefinition = {
  id: 'retry',
  createDb: (config: RetryConfig): RetryDb => new RetryDb(config),
  decide: decideRetry
} as const
