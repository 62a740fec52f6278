/** State of the reliability of one session. */
import type { Millis } from '@fuchsiaworks/kernel'
import { ClockEstimate } from './clockEstimate.js'
import type { ConnectionNumber, ReliabilityLimits } from './reliabilityTypes.js'

/** Milliseconds that received messages may wait for a frame that confirms them. */
const ACK_DELAY_MS = 50

/** Received messages that are confirmed at once. */
const ACK_MESSAGES = 256

/** Received bytes that are confirmed at once. */
const ACK_BYTES = 128 * 1024

/** Sequence numbers, unconfirmed messages and times of one session. */
export class ReliabilityDb {
  readonly estimate = new ClockEstimate()
  /** Current connection, if any. */
  connection: ConnectionNumber | undefined
  /** Connections that were attached so far. */
  attachments = 0
  ended = false
  /** Set while a flush has been asked for and has not come. */
  flushAsked = false
  /** Last sequence number received from the peer. */
  received = 0
  /** Last sequence number that the peer has confirmed. */
  acked = 0
  /** Last sequence number sent over the current connection. */
  sent = 0
  /** Last sequence number ever sent; a larger confirmation is a lie. */
  everSent = 0
  /** Bytes that wait for confirmation. */
  unconfirmed = 0
  /** Time of the last frame that was processed, or of the attachment. */
  lastHeard: Millis
  /** Time of the last frame that was sent. */
  lastSent: Millis
  lastPing: Millis
  /** Period of the heartbeats: the own one at the dialing end, the announced one at the listening end. */
  pingPeriod: Millis
  /** Time since which sent messages have been waiting for confirmation. */
  unconfirmedSince: Millis | undefined
  /** Time of the last message, sent or received. */
  lastMessage: Millis
  /** Time by which received messages must be confirmed. */
  ackDue: Millis | undefined
  /** Time of the next heartbeat. */
  pingDue: Millis
  readonly #outbox: Uint8Array[] = []
  #ackedToPeer = 0
  #bytesToAck = 0

  /**
   * @param limits - bounds of the session
   * @param now - monotonic reading in milliseconds
   */
  constructor (readonly limits: ReliabilityLimits, now: Millis) {
    this.lastHeard = now
    this.lastSent = now
    this.lastPing = -Infinity
    this.pingDue = now
    this.pingPeriod = limits.heartbeat
    this.lastMessage = now
  }

  /** Last sequence number given to a message. */
  get assigned (): number {
    return this.acked + this.#outbox.length
  }

  /** True when messages wait that the current connection has not carried. */
  get hasUnsent (): boolean {
    return this.sent < this.assigned
  }

  /** True when received messages should be confirmed without delay. */
  get ackUrgent (): boolean {
    return this.received - this.#ackedToPeer >= ACK_MESSAGES || this.#bytesToAck >= ACK_BYTES
  }

  /** Appends a message to what is to be sent. */
  queue (payload: Uint8Array): void {
    this.#outbox.push(payload)
    this.unconfirmed += payload.byteLength
  }

  /**
   * Takes messages that are to be sent next.
   *
   * @param maxBytes - bytes from which no further message is taken
   * @param now - monotonic reading in milliseconds
   * @returns the messages behind the last sent one
   */
  takeUnsent (maxBytes: number, now: Millis): readonly Uint8Array[] {
    const start = this.sent - this.acked
    let end = start
    for (let size = 0; end < this.#outbox.length && size < maxBytes; end++) size += this.#outbox[end]?.byteLength ?? 0
    this.sent += end - start
    this.everSent = Math.max(this.everSent, this.sent)
    this.unconfirmedSince ??= now
    this.#noteMessage(now)
    return this.#outbox.slice(start, end)
  }

  /** Drops what the peer has confirmed. */
  confirm (ack: number): void {
    if (ack <= this.acked) return
    for (const payload of this.#outbox.splice(0, ack - this.acked)) this.unconfirmed -= payload.byteLength
    this.acked = ack
    this.sent = Math.max(this.sent, ack)
    if (this.sent === ack) this.unconfirmedSince = undefined
  }

  /** Counts received messages. */
  receive (count: number, bytes: number, now: Millis): void {
    this.received += count
    this.#bytesToAck += bytes
    this.ackDue ??= now + ACK_DELAY_MS
    this.#noteMessage(now)
  }

  /** Notes that a frame with a confirmation leaves now. */
  markSent (now: Millis): void {
    this.lastSent = now
    this.ackDue = undefined
    this.#ackedToPeer = this.received
    this.#bytesToAck = 0
  }

  /** Time at which the connection counts as silent if no frame comes. */
  get silentAt (): Millis {
    const { heartbeat, silence } = this.limits
    const idle = this.lastHeard + silence + Math.max(0, this.pingPeriod - heartbeat)
    if (this.unconfirmedSince === undefined) return idle
    return Math.min(idle, Math.max(this.lastHeard, this.unconfirmedSince) + silence)
  }

  /** Notes a heartbeat, sent or left out, and plans the next. */
  planPing (now: Millis): void {
    const { heartbeat, idleHeartbeat } = this.limits
    this.pingPeriod = now - this.lastMessage < idleHeartbeat ? heartbeat : idleHeartbeat
    this.pingDue = now + this.pingPeriod
  }

  /** Takes a new connection; what the peer lacks is to be sent over it. */
  attach (connection: ConnectionNumber, peerReceived: number, now: Millis): void {
    this.connection = connection
    this.attachments += 1
    this.lastHeard = now
    this.confirm(peerReceived)
    this.sent = peerReceived
    this.unconfirmedSince = undefined
    this.pingDue = now
    this.pingPeriod = this.limits.heartbeat
  }

  /** Heartbeats come at their short period again at the dialing end. */
  #noteMessage (now: Millis): void {
    this.lastMessage = now
    this.pingDue = Math.min(this.pingDue, now + this.limits.heartbeat)
  }

  /** Forgets the connection. */
  detach (): void {
    this.connection = undefined
    this.ackDue = undefined
  }

  /** Ends the session and frees its messages. */
  end (): void {
    this.ended = true
    this.detach()
    this.#outbox.length = 0
    this.unconfirmed = 0
  }
}
