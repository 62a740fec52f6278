/** Messages between peer gateways. */
import type { Millis, ServiceId, UpstreamId, WorkspaceId, ZoneId } from '@fuchsiaworks/kernel'
import type { CrashReport, LeavingUpstream, PartUse, PeerId, RequestLimitReport, SlownessReport, SoundReport, StreamVersionReport, TokenTotals, UpstreamLoad } from '@fuchsiaworks/policy'

/** An upstream to which the sender temporarily sends no requests. */
export interface AvoidedUpstream {
  readonly upstream: UpstreamId
  readonly remainingMs: Millis
}

/**
 * State of one gateway. Loads, limits and flags replace those of the previous message and token totals are cumulative, so a later
 * message makes up for a lost one. Parts, crashes, sound responses, leaving upstreams, streams and slowness are sent in one message, and again only over a new connection.
 */
export interface PeerState {
  readonly peer: PeerId
  /** Address as `ip:port` at which the sender accepts peers. */
  readonly address: string
  readonly zone: ZoneId
  /** True when the sender is shutting down and accepts no more requests. */
  readonly isLeaving: boolean
  /** True while the sender reports itself as not ready to the load balancer because it is overloaded. */
  readonly isOutOfRotation: boolean
  /** Share of its time for which the sender's event loop is busy; undefined from a gateway that does not serve connections of its peers. */
  readonly utilization: number | undefined
  /** Revision of the sender's configuration; -1 for none. */
  readonly revision: number
  /** Rate at which the sender accepts connections of callers. */
  readonly acceptedPerSecond: number
  /** Open requests of the sender by upstream; it has none at upstreams that are not listed. */
  readonly loads: ReadonlyMap<UpstreamId, UpstreamLoad>
  /** Token totals by workspace since the sender started; workspaces that are not listed have not changed. */
  readonly totals: ReadonlyMap<WorkspaceId, TokenTotals>
  /** Tokens that upstreams have processed for the sender since it started; undefined from a gateway that does not count them. */
  readonly processedTokens: number | undefined
  readonly avoided: readonly AvoidedUpstream[]
  /** Prompt parts that the sender has sent to upstreams since its last message. */
  readonly parts: readonly PartUse[]
  /** Crashes of upstreams that the sender has recognized since its last message, with the requests that may have caused them. */
  readonly crashes: readonly CrashReport[]
  /** What began soundly at the sender since its last message, of that which may have caused crashes. */
  readonly sound: readonly SoundReport[]
  /** Upstreams that have announced their shutdown to the sender since its last message. */
  readonly leaving: readonly LeavingUpstream[]
  /** Streams that the sender has sent to upstreams since its last message, by software version. */
  readonly streams: readonly StreamVersionReport[]
  /** Momentary slowness of upstreams that differs from what the sender's peers assumed, since its last message. */
  readonly slowness: readonly SlownessReport[]
  /** Upstreams that limit the requests of all gateways together. */
  readonly limits: readonly RequestLimitReport[]
  /** Demand of the sender for services for which requests wait there, see `AdmissionQueueDb.ownDemand`. */
  readonly queueDemand: ReadonlyMap<ServiceId, number>
  /** Addresses of peer gateways known to the sender. */
  readonly addresses: readonly string[]
}
