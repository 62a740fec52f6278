/** Public interface of sessions between two processes. */
import type { Clock, HostId, Incarnation, Millis, ZoneId } from '@fuchsiaworks/kernel'
import type { Stream } from 'most'
import type { Message } from '../protocol/protocolTypes.js'

/** Identity of the process at one end of a session. */
export interface Identity {
  readonly host: HostId
  readonly incarnation: Incarnation
  readonly role: 'router' | 'agent'
  readonly zone: ZoneId
}

/**
 * Why a session ended. Undelivered messages of an ended session are lost. `overflow` means that the unacknowledged bytes
 * exceeded the buffer limit.
 */
export type SessionEnd = 'closed' | 'peer-closed' | 'peer-restarted' | 'expired' | 'protocol-error' | 'overflow'

/** State changes of the connection that carries a session. */
export type TransportEvent =
  { readonly kind: 'up', readonly resumed: boolean } |
  { readonly kind: 'silent', readonly silence: Millis } |
  { readonly kind: 'down', readonly reason: string }

/**
 * A reliable, ordered exchange of messages with one incarnation of one peer. It survives lost and silent connections:
 * unacknowledged messages are sent again over the next connection, and duplicates are dropped. It ends when either
 * process ends, or when no connection is re-established before it expires.
 */
export interface Session {
  readonly peer: Identity
  /** Messages from the peer, in order, each once. Subscribe before the next event loop iteration. */
  readonly messages: Stream<Message>
  /** State changes of the underlying connection. */
  readonly transport: Stream<TransportEvent>
  /** Resolves when the session has ended. */
  readonly ended: Promise<SessionEnd>
  /** True while a connection is established. */
  readonly connected: boolean
  /** Bytes queued or sent that the peer has not acknowledged. */
  readonly unconfirmedBytes: number
  /** Smoothed round-trip time in milliseconds; 0 until measured. */
  readonly roundTrip: Millis
  /** Estimated offset of the peer's wall clock from the own one, in milliseconds. */
  readonly clockOffset: Millis
  /** Queues a message. No-op once the session has ended. */
  send: (message: Message) => void
  /** Ends the session; at the peer it ends with `peer-closed`. */
  close: () => void
}

/** PEM contents of the certificate files for mutual TLS between the processes. */
export interface LinkTls {
  readonly cert: string
  readonly key: string
  readonly ca: string
}

/** Options of both ends of a link. */
export interface LinkOptions {
  readonly identity: Identity
  /** Shared secret of the fleet; proven by challenge and response, never sent. */
  readonly linkKey: string
  readonly clock: Clock
  readonly tls?: LinkTls
  /** Milliseconds between heartbeats. */
  readonly heartbeat: Millis
  /**
   * Milliseconds between heartbeats while no messages are exchanged; defaults to `heartbeat`. A connection that goes silent
   * while idle is detected later by the difference, unless a message is sent over it.
   */
  readonly idleHeartbeat?: Millis
  /** Milliseconds without any frame from the peer after which a connection is considered silent and is replaced. */
  readonly silence: Millis
  /**
   * Milliseconds without any frame from the peer after which a session expires. Must exceed the sum of `silence` and
   * `idleHeartbeat`.
   */
  readonly expiry: Millis
  /** Maximum size of the unacknowledged messages in bytes; a session that exceeds it ends with `overflow`. */
  readonly bufferLimitBytes?: number
  /** Random numbers in [0, 1) for the jitter of reconnects; defaults to Math.random. */
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

/** Keeps a link to one peer address: opens a new session whenever the previous one has ended. */
export interface SessionDialer {
  readonly sessions: Stream<Session>
  close: () => void
}

/** Listens for sessions on a port; type of listenSessions. */
export type ListenSessions = (options: LinkOptions & { readonly host: string, readonly port: number }) => Promise<SessionServer>

/** Dials a peer until closed; type of dialSessions. */
export type DialSessions = (options: LinkOptions & { readonly host: string, readonly port: number }) => SessionDialer
