/** Inputs of the pace at which cold upstreams get requests. */
import type { UpstreamId } from '@fuchsiaworks/kernel'
import type { PeerId } from '../placement/placementTypes.js'

/** A router's view of the routers of the fleet. */
export interface RouterView {
  readonly self: PeerId
  /** Routers that answer now, without this one. */
  readonly reachable: readonly PeerId[]
  /** Routers that were reachable of late and are not now. */
  readonly unreachableCount: number
  /** False until the router has had time to find the others. */
  readonly settled: boolean
}

/** An upstream in cold start. */
export interface ColdUpstream {
  readonly id: UpstreamId
  /** Requests a second that it bears, from all routers together. */
  readonly requestsPerSecond: number
}
