/** Inputs of the rate limit for cold upstreams. */
import type { UpstreamId } from '@fuchsiaworks/kernel'
import type { PeerId } from '../placement/placementTypes.js'

/** Membership view of a gateway. */
export interface GatewayView {
  readonly self: PeerId
  /** Reachable gateways, without this one. */
  readonly reachable: readonly PeerId[]
  /** Number of gateways that were reachable recently and no longer are. */
  readonly unreachableCount: number
  /** False until the gateway has had time to discover the others. */
  readonly settled: boolean
}

/** An upstream in cold start. */
export interface ColdUpstream {
  readonly id: UpstreamId
  /** Requests a second that the upstream can handle from all gateways together. */
  readonly requestsPerSecond: number
}
