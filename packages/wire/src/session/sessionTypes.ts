/** What a session between two processes offers. */
import type { Clock, HostId, Incarnation, Millis, ZoneId } from '@fuchsiaworks/kernel'
import type { Stream } from 'most'
import type { Message } from '../protocol/protocolTypes.js'

/** Who stands at one end of a session. */
export interface Identity {
  readonly host: HostId
  readonly incarnation: Incarnation
  readonly role: 'router' | 'agent'
  readonly zone: ZoneId
}

/**
 * Why a session ended for good. Undelivered messages of an ended session are lost. `overflow` means that more bytes
 * waited for the peer's confirmation than the buffer limit allows.
 */
export type SessionEnd = 'closed' | 'peer-closed' | 'peer-restarted' | 'expired' | 'protocol-error' | 'overflow'

/** State of the transport beneath a session. */
export type TransportEvent =
  { readonly kind: 'up', readonly resumed: boolean } |
  { readonly kind: 'silent', readonly silence: Millis } |
  { readonly kind: 'down', readonly reason: string }

/**
 * A reliable, ordered exchange of messages with one incarnation of one peer. It outlives lost and
 * silent connections: what the peer has not confirmed is sent again over the next one, and what arrives
 * twice is dropped. It ends when either process ends, or when no connection came back in time.
 */
export interface Session {
  readonly peer: Identity
  /** Messages from the peer, in order, each once. Subscribe before the next turn of the loop. */
  readonly messages: Stream<Message>
  /** Changes of the connection beneath. */
  readonly transport: Stream<TransportEvent>
  /** Settles when the session has ended for good. */
  readonly ended: Promise<SessionEnd>
  /** True while a connection is up. */
  readonly connected: boolean
  /** Bytes sent that the peer has not confirmed. */
  readonly unconfirmedBytes: number
  /** Smoothed round trip in milliseconds; 0 until measured. */
  readonly roundTrip: Millis
  /** Estimated peer wall clock minus own, in milliseconds. */
  readonly clockOffset: Millis
  /** Queues a message. Does nothing once the session has ended. */
  send: (message: Message) => void
  /** Ends the session; the peer sees `peer-closed`. */
  close: () => void
}

/** Certificate files' contents, for TLS between the processes. */
export interface LinkTls {
  readonly cert: string
  readonly key: string
  readonly ca: string
}

/** What both ends of a link need. */
export interface LinkOptions {
  readonly identity: Identity
  /** Shared secret of the fleet; proved by challenge and response, never sent. */
  readonly linkKey: string
  readonly clock: Clock
  readonly tls?: LinkTls
  /** Milliseconds between heartbeats. */
  readonly heartbeat: Millis
  /**
   * Milliseconds between heartbeats while no message flows; `heartbeat` when absent. A connection that goes silent while it is
   * idle is found later by the difference, unless something is sent over it.
   */
  readonly idleHeartbeat?: Millis
  /** Milliseconds without any frame after which a connection counts as silent and is replaced. */
  readonly silence: Millis
  /**
   * Milliseconds without any frame of the peer after which a session expires. Larger than `silence` and `idleHeartbeat`
   * together.
   */
  readonly expiry: Millis
  /** Bytes that may wait for the peer's confirmation; a session that exceeds them ends with `overflow`. */
  readonly bufferLimit?: number
  /** Random numbers from 0 up to 1 for the jitter of reconnects; Math.random when absent. */
  readonly random?: () => number
}

/** Accepts sessions. */
export interface SessionServer {
  readonly address: { readonly host: string, readonly port: number }
  /** New sessions. */
  readonly sessions: Stream<Session>
  /** Closes the port and every session. */
  close: () => Promise<void>
}

/** Keeps one peer address connected: a new session whenever the last one ended. */
export interface SessionDialer {
  readonly sessions: Stream<Session>
  close: () => void
}

/** Opens a port for sessions; listenSessions in the public entry has this type. */
export type ListenSessions = (options: LinkOptions & { readonly host: string, readonly port: number }) => Promise<SessionServer>

/** Dials a peer until closed; dialSessions in the public entry has this type. */
export type DialSessions = (options: LinkOptions & { readonly host: string, readonly port: number }) => SessionDialer
