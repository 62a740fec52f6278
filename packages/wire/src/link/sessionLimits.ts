/** Derives the timeouts and limits of a session from the options of its link. */
import type { ReliabilityLimits } from '../reliability/reliabilityTypes.js'
import type { LinkOptions } from '../session/sessionTypes.js'
import { DEFAULT_BUFFER_LIMIT_BYTES } from './linkConstants.js'

/**
 * Applies the defaults to the options of a link.
 *
 * @param side - which end of the session this is
 * @param options - options of the link
 * @returns the timeouts and limits of a session
 */
export const sessionLimits = (side: ReliabilityLimits['side'], options: LinkOptions): ReliabilityLimits => {
  const { heartbeat, idleHeartbeat = heartbeat, silence, expiry, bufferLimitBytes: bufferLimit = DEFAULT_BUFFER_LIMIT_BYTES } = options
  return { side, heartbeat, idleHeartbeat: Math.max(heartbeat, idleHeartbeat), silence, expiry, bufferLimitBytes: bufferLimit }
}
