/** Frames of an authenticated connection. Each is one WebSocket message. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Why the sender of a bye frame ended the session. */
export type ByeReason = 'closed' | 'expired' | 'protocol-error' | 'overflow'

/** Messages with rising sequence numbers. */
export interface DataFrame<P> {
  readonly kind: 'data'
  /** Last sequence number that the sender of the frame has received. */
  readonly ack: number
  /** Sequence number of the first payload. */
  readonly first: number
  readonly payloads: readonly P[]
}

/** Confirms messages when no other frame does. */
export interface AckFrame {
  readonly kind: 'ack'
  readonly ack: number
}

/** Heartbeat of the dialing end. */
export interface PingFrame {
  readonly kind: 'ping'
  readonly ack: number
  /** Sender's monotonic reading; the answer carries it back. */
  readonly sentAt: Millis
  /** Smoothed round trip as the sender measures it. */
  readonly roundTrip: Millis
  /** Receiver's wall clock minus the sender's, as the sender estimates it. */
  readonly offset: Millis
  /** Milliseconds until the next ping at the latest. */
  readonly next: Millis
}

/** Answer to a ping. */
export interface PongFrame {
  readonly kind: 'pong'
  readonly ack: number
  /** From the ping. */
  readonly sentAt: Millis
  /** Wall clock of the answering end. */
  readonly wall: Millis
}

/** The sender has ended the session. */
export interface ByeFrame {
  readonly kind: 'bye'
  readonly reason: ByeReason
}

/** Any frame; P is the form of a message in it. */
export type Frame<P> = DataFrame<P> | AckFrame | PingFrame | PongFrame | ByeFrame

/** A frame as it is sent: its messages are encoded already. */
export type OutgoingFrame = Frame<Uint8Array>
