/** Events and commands of the reliable-delivery state machine of one session. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { Frame, OutgoingFrame } from '../codec/frameTypes.js'
import type { SessionEnd, TransportEvent } from '../session/sessionTypes.js'

/** Number of a connection of the session; newer connections have larger numbers. */
export type ConnectionNumber = number

/** Timeouts and limits of one session. */
export interface ReliabilityLimits {
  /** Which end this is; only the dialing end sends heartbeats. */
  readonly side: 'dialer' | 'listener'
  /** Heartbeat interval while messages are exchanged. */
  readonly heartbeat: Millis
  /** Heartbeat interval while no messages are exchanged; at least `heartbeat`. */
  readonly idleHeartbeat: Millis
  /** Time without a frame after which the connection is dropped. */
  readonly silence: Millis
  /** Time without a frame after which the session ends. */
  readonly expiry: Millis
  /** Maximum size of the unacknowledged messages in bytes. */
  readonly bufferLimitBytes: number
}

/** Input of the state machine; P is the type of received messages. Every event carries the monotonic time. */
export type ReliabilityEvent<P> = { readonly now: Millis } & (
  { readonly kind: 'send', readonly payload: Uint8Array } |
  /** A scheduled flush is due, or the connection's socket buffer has drained. */
  { readonly kind: 'flush', readonly writableBytes: number } |
  /** A connection was authenticated; `received` is the last sequence number that the peer has received. */
  { readonly kind: 'attached', readonly connection: ConnectionNumber, readonly received: number } |
  { readonly kind: 'detached', readonly connection: ConnectionNumber, readonly reason: string } |
  { readonly kind: 'frame', readonly connection: ConnectionNumber, readonly frame: Frame<P>, readonly size: number, readonly wall: Millis } |
  { readonly kind: 'malformed', readonly connection: ConnectionNumber } |
  { readonly kind: 'wake' } |
  { readonly kind: 'end', readonly reason: SessionEnd }
)

/** Output of the state machine, to be executed in order. */
export type ReliabilityCommand<P> =
  { readonly kind: 'deliver', readonly payloads: readonly P[] } |
  { readonly kind: 'transmit', readonly connection: ConnectionNumber, readonly frame: OutgoingFrame } |
  { readonly kind: 'schedule-flush' } |
  /** Drops a connection immediately. */
  { readonly kind: 'terminate', readonly connection: ConnectionNumber } |
  /** Closes a connection after the transmitted frames have been sent. */
  { readonly kind: 'close-gracefully', readonly connection: ConnectionNumber } |
  { readonly kind: 'report', readonly event: TransportEvent } |
  { readonly kind: 'end', readonly reason: SessionEnd }
