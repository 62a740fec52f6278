/** Registers the fairness policy. */
import { decideFairness } from './fairness.js'
import { FairnessDb } from './fairnessDb.js'
import type { FairnessConfig } from './fairnessTypes.js'
import type { Incarnation, Millis } from '@fuchsiaworks/kernel'

/** Default settings. */
export const DEFAULT_FAIRNESS: FairnessConfig = { scope: 'fleet', propagationDelay: 400, idleGrace: 2_000, creditMs: 10_000, foldAfter: 3_600_000 }

/** Fairness policy under its registered name. */
export const fairnessDefinition = {
  id: 'policy.fairness',
  createDb: (incarnation: Incarnation, now: Millis, config: FairnessConfig = DEFAULT_FAIRNESS): FairnessDb => new FairnessDb(incarnation, config, now),
  decide: decideFairness
}
