/** Definition of the placement policy. */
import type { StringHash } from '../keys/rendezvous.js'
import { place } from './placement.js'
import { PlacementDb } from './placementDb.js'

/** Choice of the upstream for a request. */
export const placementDefinition = {
  id: 'placement',
  createDb: (hash: StringHash, random?: () => number) => new PlacementDb(hash, random),
  decide: place
} as const
