/** Registers the concurrency limit of an upstream. */
import { decideLimit } from './limit.js'
import { LimitDb } from './limitDb.js'
import type { LimitConfig } from './limitTypes.js'

/** The limit policy under its name. */
export const limitDefinition = {
  id: 'limit',
  createDb: (config: LimitConfig): LimitDb => new LimitDb(config),
  decide: decideLimit
} as const
