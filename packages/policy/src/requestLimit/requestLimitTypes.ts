/** Types of the limits that upstreams announce. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { UpstreamProcess } from '../crashSuspect/crashSuspectTypes.js'
import type { PeerId } from '../placement/placementTypes.js'

/**
 * What a gateway tells its peers of an upstream that limits its requests. Each report replaces the one before; numbers of permits only grow, so that a lost report
 * does no harm.
 */
export interface RequestLimitReport extends UpstreamProcess {
  /** Requests a second that the upstream takes from all gateways together; undefined since it has responded without a limit. */
  readonly limit: number | undefined
  /** Time since the response that said so. */
  readonly ageMs: Millis
  /** Gateway from which the sender expects permits; undefined for none. */
  readonly granter: PeerId | undefined
  /** Permits that the sender lacks. */
  readonly wanted: number
  /** Permits that the sender has received from that gateway. */
  readonly received: number
  /** Permits that the sender has let expire. */
  readonly returned: number
  /** Permits that the sender has granted to each gateway that has not confirmed all of them. */
  readonly granted: ReadonlyMap<PeerId, number>
}
