/** Inputs and results of the choice of the gateways that watch the platform's store. */
import type { PeerId } from '../placement/placementTypes.js'
import type { ZoneId } from '@fuchsiaworks/kernel'

/** A reachable gateway. */
export interface ReachableGateway {
  readonly id: PeerId
  readonly zone: ZoneId
  /** Address, as `ip:port`, for connections from peer gateways. */
  readonly address: string
}

/** A gateway and its view of the fleet. */
export interface ReaderInputs {
  readonly self: PeerId
  readonly zone: ZoneId
  /** Reachable gateways, without this one. */
  readonly reachable: readonly ReachableGateway[]
}

/** How a gateway gets the changes of the platform's store. */
export type StoreWatchRole =
  /** The gateway watches the store for itself only, as all gateways of a small fleet do. */
  | { readonly kind: 'alone' }
  /** The gateway watches the store and relays changes to the peer gateways of its zone. */
  | { readonly kind: 'reader' }
  /** The gateway gets changes from the reader of its zone at this address. */
  | { readonly kind: 'follower', readonly address: string }
