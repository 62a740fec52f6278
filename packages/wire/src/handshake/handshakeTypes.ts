/** Messages and results of the handshake that authenticates a connection. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { Identity } from '../session/sessionTypes.js'

/** Session requested by a dialing end: a new one, or one to resume. */
export interface Offer {
  readonly identity: Identity
  /** Wall-clock time at which the process started; of two processes of the same host, the later one supersedes the other. */
  readonly started: Millis
  /** Random id of the dialer within its process. */
  readonly dialer: string
  /** Number of the dialer's attempt that opened the session. */
  readonly session: number
  /** Increasing number of this attempt; equal to `session` for a new session. */
  readonly attempt: number
}

/**
 * Decision of the listening end on an offer: `gone` when the session to resume has ended there, `superseded` while a
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

/** Result of handling one handshake message: the reply to send, and the overall result once the handshake is complete. */
export interface HandshakeStep<R> {
  readonly reply?: Uint8Array
  readonly result?: R
}

/** Result at the listening end, with the authenticated offer. */
export interface ListenerResult {
  readonly offer: Offer
  /** Last sequence number that the dialing end has received. */
  readonly received: number
}

/** Result at the dialing end, with the authenticated answer. */
export interface DialerResult {
  readonly answer: Answer
}

/** Inputs of the handshake at either end. */
export interface HandshakeContext {
  readonly identity: Identity
  readonly linkKey: string
  /** Channel binding: keying material of the TLS connection, empty without TLS. It binds the proofs to the connection. */
  readonly binding: Uint8Array
  /** Random source for nonces. */
  readonly randomBytes: (size: number) => Uint8Array
}
