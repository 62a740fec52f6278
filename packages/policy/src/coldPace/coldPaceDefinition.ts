/** Definition of the rate limit for cold upstreams. */
import { maySendToColdUpstream } from './coldPace.js'
import { ColdPaceDb } from './coldPaceDb.js'

/** Rate limit for requests to upstreams in cold start. */
export const coldPaceDefinition = {
  id: 'cold-pace',
  createDb: () => new ColdPaceDb(),
  decide: maySendToColdUpstream
} as const
