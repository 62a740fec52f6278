/** Frames of an authenticated connection. Each frame is one binary WebSocket message. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Reason in a bye frame: why its sender ended the session. */
export type ByeReason = 'closed' | 'expired' | 'protocol-error' | 'overflow'

/** Messages with consecutive sequence numbers. */
export interface DataFrame<P> {
  readonly kind: 'data'
  /** Cumulative acknowledgement: last sequence number that the sender of the frame has received. */
  readonly ack: number
  /** Sequence number of the first payload. */
  readonly first: number
  readonly payloads: readonly P[]
}

/** Standalone acknowledgement, sent when no other frame carries it in time. */
export interface AckFrame {
  readonly kind: 'ack'
  readonly ack: number
}

/** Heartbeat, sent by the dialing end. */
export interface PingFrame {
  readonly kind: 'ping'
  readonly ack: number
  /** Sender's monotonic clock; echoed in the pong. */
  readonly sentAt: Millis
  /** Smoothed round-trip time as measured by the sender. */
  readonly roundTrip: Millis
  /** Receiver's wall clock minus the sender's, as estimated by the sender. */
  readonly offset: Millis
  /** Upper bound on the time until the next ping, in milliseconds. */
  readonly next: Millis
}

/** Reply to a ping. */
export interface PongFrame {
  readonly kind: 'pong'
  readonly ack: number
  /** `sentAt` of the ping. */
  readonly sentAt: Millis
  /** Wall clock of the end that sends the pong. */
  readonly wall: Millis
}

/** The sender has ended the session. */
export interface ByeFrame {
  readonly kind: 'bye'
  readonly reason: ByeReason
}

/** Any frame; P is the representation of the messages in it. */
export type Frame<P> = DataFrame<P> | AckFrame | PingFrame | PongFrame | ByeFrame

/** A frame to be sent, with encoded messages. */
export type OutgoingFrame = Frame<Uint8Array>
