/** Registers the policy of configuration revisions. */
import { decideRevision } from './revision.js'
import { RevisionDb } from './revisionDb.js'
import type { RevisionConfig } from './revisionTypes.js'

/** Policy `revision`: its database and decisions. */
export const revisionDefinition = {
  id: 'revision',
  createDb: (config: RevisionConfig): RevisionDb => new RevisionDb(config),
  decide: decideRevision
} as const
