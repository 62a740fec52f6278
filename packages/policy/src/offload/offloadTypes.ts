/** Inputs and result of the decision where a new connection of a caller is served. */
import type { Millis, ZoneId } from '@fuchsiaworks/kernel'
import type { PeerId } from '../placement/placementTypes.js'

/** A peer gateway that could serve the connection. */
export interface OffloadPeer {
  readonly id: PeerId
  readonly zone: ZoneId
  /** Share of its time for which its event loop is busy, from 0 to 1. */
  readonly utilization: number
  /** Revision of the configuration that it applies; -1 for none. */
  readonly revision: number
}

/** State of the gateway that accepted the connection. */
export interface OffloadInputs {
  readonly zone: ZoneId
  /** Share of the time for which the own event loop is busy, from 0 to 1. */
  readonly utilization: number
  /** Time for which new connections wait until they are accepted. */
  readonly listenQueueWaitMs: Millis
  /** Revision of the own configuration; -1 for none. */
  readonly revision: number
  /** Mean utilization of all peers of the own zone; undefined to take that of those in `peers`. */
  readonly zoneUtilization?: number | undefined
  /** Peers that can be given connections now. */
  readonly peers: readonly OffloadPeer[]
}

/** Where a connection is served. */
export type ConnectionDecision =
  | { readonly kind: 'serve' }
  /** The bytes of the connection are passed on to and from the peer, which serves it. */
  | { readonly kind: 'offload', readonly peer: PeerId }
  /** Nobody has time for the connection. */
  | { readonly kind: 'refuse', readonly retryAfterMs: Millis }
