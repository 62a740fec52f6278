/** Registers the pace of cold upstreams by name. */
import { maySendToColdUpstream } from './coldPace.js'
import { ColdPaceDb } from './coldPaceDb.js'

/** Pace of requests to upstreams in cold start. */
export const coldPaceDefinition = {
  id: 'cold-pace',
  createDb: () => new ColdPaceDb(),
  decide: maySendToColdUpstream
} as const
