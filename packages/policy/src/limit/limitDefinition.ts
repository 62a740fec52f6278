/** Definition of the concurrency limit policy. */
import { decideLimit } from './limit.js'
import { LimitDb } from './limitDb.js'
import type { LimitConfig } from './limitTypes.js'

/** Adaptive concurrency limit of one upstream. */
export const limitDefinition = {
  id: 'limit',
  createDb: (config: LimitConfig): LimitDb => new LimitDb(config),
  decide: decideLimit
} as const
