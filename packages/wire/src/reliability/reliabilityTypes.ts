/** Events and commands of the reliability of one session. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { Frame, OutgoingFrame } from '../codec/frameTypes.js'
import type { SessionEnd, TransportEvent } from '../session/sessionTypes.js'

/** Number of a connection beneath the session; a newer one has a larger number. */
export type ConnectionNumber = number

/** Bounds of one session. */
export interface ReliabilityLimits {
  /** The dialing end sends the heartbeats. */
  readonly side: 'dialer' | 'listener'
  readonly heartbeat: Millis
  /** Period of the heartbeats while no message flows; at least `heartbeat`. */
  readonly idleHeartbeat: Millis
  readonly silence: Millis
  readonly expiry: Millis
  /** Bytes that may wait for confirmation. */
  readonly bufferLimitBytes: number
}

/** What happened to a session; P is a received message. Every event carries the monotonic reading. */
export type ReliabilityEvent<P> = { readonly now: Millis } & (
  { readonly kind: 'send', readonly payload: Uint8Array } |
  /** The turn of the loop is over, or the connection has room again. */
  { readonly kind: 'flush', readonly writableBytes: number } |
  /** An authenticated connection; `received` is the last sequence number that the peer has received. */
  { readonly kind: 'attached', readonly connection: ConnectionNumber, readonly received: number } |
  { readonly kind: 'detached', readonly connection: ConnectionNumber, readonly reason: string } |
  { readonly kind: 'frame', readonly connection: ConnectionNumber, readonly frame: Frame<P>, readonly size: number, readonly wall: Millis } |
  { readonly kind: 'malformed', readonly connection: ConnectionNumber } |
  { readonly kind: 'wake' } |
  { readonly kind: 'end', readonly reason: SessionEnd }
)

/** What is to be done, in order. */
export type ReliabilityCommand<P> =
  { readonly kind: 'deliver', readonly payloads: readonly P[] } |
  { readonly kind: 'transmit', readonly connection: ConnectionNumber, readonly frame: OutgoingFrame } |
  { readonly kind: 'schedule-flush' } |
  /** Drops a connection at once. */
  { readonly kind: 'terminate', readonly connection: ConnectionNumber } |
  /** Closes a connection after what was transmitted. */
  { readonly kind: 'close-gracefully', readonly connection: ConnectionNumber } |
  { readonly kind: 'report', readonly event: TransportEvent } |
  { readonly kind: 'end', readonly reason: SessionEnd }
