/** Definition of the retry time policy. */
import { tellRetryTime } from './retryTime.js'
import { RetryTimeDb } from './retryTimeDb.js'
import type { RetryTimeConfig } from './retryTimeTypes.js'

/** Times told to refused callers. */
export const retryTimeDefinition = {
  id: 'retryTime',
  createDb: (config: RetryTimeConfig) => new RetryTimeDb(config),
  decide: tellRetryTime
} as const
