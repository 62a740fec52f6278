/** Inputs of the rate limit for cold upstreams. */
import type { UpstreamId } from '@fuchsiaworks/kernel'
import type { PeerId } from '../placement/placementTypes.js'

/** Membership view of a router. */
export interface RouterView {
  readonly self: PeerId
  /** Reachable routers, without this one. */
  readonly reachable: readonly PeerId[]
  /** Number of routers that were reachable recently and no longer are. */
  readonly unreachableCount: number
  /** False until the router has had time to discover the others. */
  readonly settled: boolean
}

/** An upstream in cold start. */
export interface ColdUpstream {
  readonly id: UpstreamId
  /** Requests a second that the upstream can handle from all routers together. */
  readonly requestsPerSecond: number
}
