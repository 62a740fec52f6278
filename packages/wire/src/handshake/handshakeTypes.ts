/** Messages and results of the handshake that opens a connection. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { Identity } from '../session/sessionTypes.js'

/** The session that a dialing end asks for. */
export interface Offer {
  readonly identity: Identity
  /** Wall-clock time at which the process started; of two processes of one host the later one counts. */
  readonly started: Millis
  /** Random name of the dialer within its process. */
  readonly dialer: string
  /** Attempt of the dialer that opened the session. */
  readonly session: number
  /** Rising number of this attempt; equal to `session` when the session is new. */
  readonly attempt: number
}

/**
 * What the listening end makes of an offer: `gone` when the session has ended there, `superseded` while a
 * process of the same host that started later has a session.
 */
export type OfferOutcome = 'new' | 'resumed' | 'gone' | 'superseded'

/** Answer to an offer. */
export interface Answer {
  readonly identity: Identity
  readonly outcome: OfferOutcome
  /** Last sequence number that the listening end has received. */
  readonly received: number
}

/** What a handshake wants after a message: bytes to send, and the result once it is over. */
export interface HandshakeStep<R> {
  readonly reply?: Uint8Array
  readonly result?: R
}

/** Result at the listening end; the offer is proved. */
export interface ListenerResult {
  readonly offer: Offer
  /** Last sequence number that the dialing end has received. */
  readonly received: number
}

/** Result at the dialing end; the answer is proved. */
export interface DialerResult {
  readonly answer: Answer
}

/** What both ends know before the first message. */
export interface HandshakeContext {
  readonly identity: Identity
  readonly linkKey: string
  /** Key material of the TLS connection, empty without TLS. It ties the proofs to the connection. */
  readonly binding: Uint8Array
  /** Source of nonces. */
  readonly randomBytes: (size: number) => Uint8Array
}
