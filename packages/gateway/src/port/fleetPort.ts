/** What the gateway asks of an adapter that reads the platform's lists. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Millis, UpstreamId, ZoneId } from '@fuchsiaworks/kernel'
import type { StoreWatchRole } from '@fuchsiaworks/policy'
import type { Stream } from 'most'
import type { GatewayUpstream, RoutingTable } from '../routing/routingTypes.js'

/** What is known of the fleet's surroundings. */
export interface FleetView {
  /** Undefined until a configuration was read. */
  readonly table: RoutingTable | undefined
  readonly upstreams: ReadonlyMap<UpstreamId, GatewayUpstream>
  /** Zones whose upstreams get nothing new. */
  readonly excludedZones: ReadonlySet<ZoneId>
}

/** Reads the platform and tells of changes. */
export interface FleetPort {
  readonly view: FleetView
  /** Each change of the view. */
  readonly changes: Stream<FleetView>
  /** @returns milliseconds, suspended time included, since the view was certainly the newest; undefined before the first time */
  confirmedAgeMs: () => Millis | undefined
  /** Tells how changes are to be learned: from the platform, or from another router. */
  setRole: (role: StoreWatchRole) => void
  /** Answers another router that asks for changes. @returns false when the request is for something else */
  handlePeerRequest: (req: IncomingMessage, res: ServerResponse) => boolean
  start: () => void
  close: () => Promise<void>
}
