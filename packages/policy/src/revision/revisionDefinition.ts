/** Registers the decisions about configuration revisions. */
import { decideRevision } from './revision.js'
import { RevisionDb } from './revisionDb.js'
import type { RevisionConfig } from './revisionTypes.js'

/** The revision policy under its name. */
export const revisionDefinition = {
  id: 'revision',
  createDb: (config: RevisionConfig): RevisionDb => new RevisionDb(config),
  decide: decideRevision
} as const
