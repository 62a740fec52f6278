/** Port to the platform's lists of upstreams, routes and zones; implemented by a platform adapter. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Millis, UpstreamId, ZoneId } from '@fuchsiaworks/kernel'
import type { StoreWatchRole } from '@fuchsiaworks/policy'
import type { Stream } from 'most'
import type { GatewayUpstream, RoutingTable } from '../routing/routingTypes.js'

/** Current configuration and upstreams. */
export interface FleetView {
  /** Undefined until the first configuration was read. */
  readonly table: RoutingTable | undefined
  readonly upstreams: ReadonlyMap<UpstreamId, GatewayUpstream>
  /** Zones whose upstreams receive no new requests. */
  readonly excludedZones: ReadonlySet<ZoneId>
}

/**
 * Why an entry of the list names no upstream. `unreadable`: its bytes are no JSON; `field`: one is missing or of another type, or its value has no
 * meaning; `id`: no header can carry it.
 */
export type UpstreamEntryProblem = 'unreadable' | 'too-deep' | 'number-out-of-range' | 'field' | 'address' | 'id'

/** Watches the platform's lists. */
export interface FleetPort {
  readonly view: FleetView
  /** Emits the new view after each change. */
  readonly changes: Stream<FleetView>
  /** Emits why an entry names no upstream, each time that one is written. */
  readonly entryProblems: Stream<UpstreamEntryProblem>
  /** Milliseconds since the view was last confirmed to be up to date, including time in which the process was suspended; undefined before the first confirmation. */
  confirmedAgeMs: () => Millis | undefined
  /** Milliseconds of monotonic time for which the list of upstreams has been followed without missing a change; 0 before it is complete. */
  completeForMs: () => Millis
  /** Reads what has changed, so that the view is confirmed as of this call. @returns false when that failed */
  confirm: () => Promise<boolean>
  /** Sets whether changes are read from the platform or from a peer gateway. */
  setRole: (role: StoreWatchRole) => void
  /** Handles a peer gateway's request for changes. @returns false when the request is for something else */
  handlePeerRequest: (req: IncomingMessage, res: ServerResponse) => boolean
  start: () => void
  close: () => Promise<void>
}
