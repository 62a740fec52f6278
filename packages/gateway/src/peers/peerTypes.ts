/** What routers tell each other. */
import type { Millis, UpstreamId, WorkspaceId, ZoneId } from '@fuchsiaworks/kernel'
import type { CrashReport, PartUse, PeerId, TokenTotals, UpstreamLoad } from '@fuchsiaworks/policy'

/** An upstream that its teller does not send to for a while. */
export interface AvoidedUpstream {
  readonly upstream: UpstreamId
  readonly remainingMs: Millis
}

/** The state of one router. Every message replaces the one before, so a lost or repeated one does no harm. */
export interface PeerState {
  readonly peer: PeerId
  /** Address as `ip:port` at which the teller listens for other routers. */
  readonly address: string
  readonly zone: ZoneId
  /** True when the teller is ending and takes no more requests. */
  readonly isLeaving: boolean
  /** True when the teller has taken itself out of the balancer's choice. */
  readonly isOutOfRotation: boolean
  /** What the teller has open; upstreams that are not named are idle there. */
  readonly loads: ReadonlyMap<UpstreamId, UpstreamLoad>
  /** Tokens by workspace since the start of the teller; a workspace that is not named has not changed. */
  readonly totals: ReadonlyMap<WorkspaceId, TokenTotals>
  readonly avoided: readonly AvoidedUpstream[]
  /** Prompt parts that the teller has sent to upstreams since its last message. */
  readonly parts: readonly PartUse[]
  /** Ends of upstreams that the teller has seen since its last message, with the requests that they ran. */
  readonly crashes: readonly CrashReport[]
  /** Addresses of other routers that the teller knows. */
  readonly addresses: readonly string[]
}
