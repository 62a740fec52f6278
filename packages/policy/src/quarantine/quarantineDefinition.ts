/** Definition of the quarantine policy. */
import { decideQuarantine } from './quarantine.js'
import { QuarantineDb } from './quarantineDb.js'
import type { QuarantineConfig } from './quarantineTypes.js'

/** Quarantine of requests that crash their upstreams. */
export const quarantineDefinition = {
  id: 'quarantine',
  createDb: (config: QuarantineConfig): QuarantineDb => new QuarantineDb(config),
  decide: decideQuarantine
} as const
