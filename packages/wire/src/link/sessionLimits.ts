/** Bounds of a session, from the options of its link. */
import type { ReliabilityLimits } from '../reliability/reliabilityTypes.js'
import type { LinkOptions } from '../session/sessionTypes.js'
import { DEFAULT_BUFFER_LIMIT_BYTES } from './linkConstants.js'

/**
 * Fills what the options leave out.
 *
 * @param side - which end of the session
 * @param options - options of the link
 * @returns the bounds
 */
export const sessionLimits = (side: ReliabilityLimits['side'], options: LinkOptions): ReliabilityLimits => {
  const { heartbeat, idleHeartbeat = heartbeat, silence, expiry, bufferLimitBytes: bufferLimit = DEFAULT_BUFFER_LIMIT_BYTES } = options
  return { side, heartbeat, idleHeartbeat: Math.max(heartbeat, idleHeartbeat), silence, expiry, bufferLimitBytes: bufferLimit }
}
