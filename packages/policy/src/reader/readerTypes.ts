/** Inputs and results of the choice of the routers that watch the platform's store. */
import type { PeerId } from '../placement/placementTypes.js'
import type { ZoneId } from '@fuchsiaworks/kernel'

/** A reachable router. */
export interface ReachableRouter {
  readonly id: PeerId
  readonly zone: ZoneId
  /** Address, as `ip:port`, for connections from other routers. */
  readonly address: string
}

/** A router and its view of the fleet. */
export interface ReaderInputs {
  readonly self: PeerId
  readonly zone: ZoneId
  /** Reachable routers, without this one. */
  readonly neighbours: readonly ReachableRouter[]
}

/** Source from which a router gets changes. */
export type StoreWatchRole =
  /** The router watches the store for itself only, as all routers of a small fleet do. */
  | { readonly kind: 'alone' }
  /** The router watches the store and relays changes to the other routers of its zone. */
  | { readonly kind: 'reader' }
  /** The router gets changes from the reader of its zone at this address. */
  | { readonly kind: 'follower', readonly address: string }
