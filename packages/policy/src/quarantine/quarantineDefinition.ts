/** Registers the decisions about requests that end upstreams. */
import { decideQuarantine } from './quarantine.js'
import { QuarantineDb } from './quarantineDb.js'
import type { QuarantineConfig } from './quarantineTypes.js'

/** The quarantine policy under its name. */
export const quarantineDefinition = {
  id: 'quarantine',
  createDb: (config: QuarantineConfig): QuarantineDb => new QuarantineDb(config),
  decide: decideQuarantine
} as const
