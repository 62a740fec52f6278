/** Who reads the platform's lists for whom. */
import type { PeerId } from '../placement/placementTypes.js'
import type { ZoneId } from '@fuchsiaworks/kernel'

/** A router in sight. */
export interface ReachableRouter {
  readonly id: PeerId
  readonly zone: ZoneId
  /** Address as `ip:port` at which it listens for other routers. */
  readonly address: string
}

/** What a router knows of the fleet. */
export interface ReaderFacts {
  readonly self: PeerId
  readonly zone: ZoneId
  /** Routers in sight, without this one. */
  readonly neighbours: readonly ReachableRouter[]
}

/** How a router learns of changes. */
export type StoreWatchRole =
  /** It reads for itself, in a fleet that is too small to gain from anything else. */
  | { readonly kind: 'alone' }
  /** It reads for the routers of its zone, too. */
  | { readonly kind: 'reader' }
  /** It asks the reader of its zone. */
  | { readonly kind: 'follower', readonly address: string }
