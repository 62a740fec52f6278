/** State of the reliability of one session. */
import type { Millis } from '@fuchsiaworks/kernel'
import { ClockEstimate } from './clockEstimate.js'
import type { ConnectionNumber, ReliabilityLimits } from './reliabilityTypes.js'

/** Milliseconds that received messages may wait for a frame that confirms them. */
const ACK_DELAY_MS = 50

/** Received messages that are confirmed at once. */
const ACK_AFTER_MESSAGES = 256

/** Received bytes that are confirmed at once. */
const ACK_AFTER_BYTES = 128 * 1024

/** Sequence numbers, unconfirmed messages and times of one session. */
export class ReliabilityDb {
  readonly clockEstimate = new ClockEstimate()
  /** Current connection, if any. */
  connection: ConnectionNumber | undefined
  /** Connections that were attached so far. */
  attachCount = 0
  ended = false
  /** Set while a flush has been asked for and has not come. */
  flushScheduled = false
  /** Last sequence number received from the peer. */
  receivedSeq = 0
  /** Last sequence number that the peer has confirmed. */
  ackedSeq = 0
  /** Last sequence number sent over the current connection. */
  sentSeq = 0
  /** Last sequence number ever sent; a larger confirmation is a lie. */
  highestSentSeq = 0
  /** Bytes that wait for confirmation. */
  unconfirmedBytes = 0
  /** Time of the last frame that was processed, or of the attachment. */
  lastReceivedAt: Millis
  /** Time of the last frame that was sent. */
  lastSentAt: Millis
  lastPingAt: Millis
  /** Period of the heartbeats: the own one at the dialing end, the announced one at the listening end. */
  pingInterval: Millis
  /** Time since which sent messages have been waiting for confirmation. */
  oldestUnackedSince: Millis | undefined
  /** Time of the last message, sent or received. */
  lastMessageAt: Millis
  /** Time by which received messages must be confirmed. */
  ackDueAt: Millis | undefined
  /** Time of the next heartbeat. */
  pingDueAt: Millis
  readonly #outbox: Uint8Array[] = []
  #ackSentSeq = 0
  #bytesSinceAck = 0

  /**
   * @param limits - bounds of the session
   * @param now - monotonic reading in milliseconds
   */
  constructor (readonly limits: ReliabilityLimits, now: Millis) {
    this.lastReceivedAt = now
    this.lastSentAt = now
    this.lastPingAt = -Infinity
    this.pingDueAt = now
    this.pingInterval = limits.heartbeat
    this.lastMessageAt = now
  }

  /** Last sequence number given to a message. */
  get queuedSeq (): number {
    return this.ackedSeq + this.#outbox.length
  }

  /** True when messages wait that the current connection has not carried. */
  get hasUnsent (): boolean {
    return this.sentSeq < this.queuedSeq
  }

  /** True when received messages should be confirmed without delay. */
  get shouldAckNow (): boolean {
    return this.receivedSeq - this.#ackSentSeq >= ACK_AFTER_MESSAGES || this.#bytesSinceAck >= ACK_AFTER_BYTES
  }

  /** Appends a message to what is to be sent. */
  enqueue (payload: Uint8Array): void {
    this.#outbox.push(payload)
    this.unconfirmedBytes += payload.byteLength
  }

  /**
   * Takes messages that are to be sent next.
   *
   * @param maxBytes - bytes from which no further message is taken
   * @param now - monotonic reading in milliseconds
   * @returns the messages behind the last sent one
   */
  dequeueUnsent (maxBytes: number, now: Millis): readonly Uint8Array[] {
    const start = this.sentSeq - this.ackedSeq
    let end = start
    for (let size = 0; end < this.#outbox.length && size < maxBytes; end++) size += this.#outbox[end]?.byteLength ?? 0
    this.sentSeq += end - start
    this.highestSentSeq = Math.max(this.highestSentSeq, this.sentSeq)
    this.oldestUnackedSince ??= now
    this.#recordMessage(now)
    return this.#outbox.slice(start, end)
  }

  /** Drops what the peer has confirmed. */
  applyAck (ack: number): void {
    if (ack <= this.ackedSeq) return
    for (const payload of this.#outbox.splice(0, ack - this.ackedSeq)) this.unconfirmedBytes -= payload.byteLength
    this.ackedSeq = ack
    this.sentSeq = Math.max(this.sentSeq, ack)
    if (this.sentSeq === ack) this.oldestUnackedSince = undefined
  }

  /** Counts received messages. */
  recordReceived (count: number, bytes: number, now: Millis): void {
    this.receivedSeq += count
    this.#bytesSinceAck += bytes
    this.ackDueAt ??= now + ACK_DELAY_MS
    this.#recordMessage(now)
  }

  /** Notes that a frame with a confirmation leaves now. */
  recordFrameSent (now: Millis): void {
    this.lastSentAt = now
    this.ackDueAt = undefined
    this.#ackSentSeq = this.receivedSeq
    this.#bytesSinceAck = 0
  }

  /** Time at which the connection counts as silent if no frame comes. */
  get silenceDeadline (): Millis {
    const { heartbeat, silence } = this.limits
    const idle = this.lastReceivedAt + silence + Math.max(0, this.pingInterval - heartbeat)
    if (this.oldestUnackedSince === undefined) return idle
    return Math.min(idle, Math.max(this.lastReceivedAt, this.oldestUnackedSince) + silence)
  }

  /** Notes a heartbeat, sent or left out, and plans the next. */
  scheduleNextPing (now: Millis): void {
    const { heartbeat, idleHeartbeat } = this.limits
    this.pingInterval = now - this.lastMessageAt < idleHeartbeat ? heartbeat : idleHeartbeat
    this.pingDueAt = now + this.pingInterval
  }

  /** Takes a new connection; what the peer lacks is to be sent over it. */
  attach (connection: ConnectionNumber, peerReceivedSeq: number, now: Millis): void {
    this.connection = connection
    this.attachCount += 1
    this.lastReceivedAt = now
    this.applyAck(peerReceivedSeq)
    this.sentSeq = peerReceivedSeq
    this.oldestUnackedSince = undefined
    this.pingDueAt = now
    this.pingInterval = this.limits.heartbeat
  }

  /** Heartbeats come at their short period again at the dialing end. */
  #recordMessage (now: Millis): void {
    this.lastMessageAt = now
    this.pingDueAt = Math.min(this.pingDueAt, now + this.limits.heartbeat)
  }

  /** Forgets the connection. */
  detach (): void {
    this.connection = undefined
    this.ackDueAt = undefined
  }

  /** Ends the session and frees its messages. */
  end (): void {
    this.ended = true
    this.detach()
    this.#outbox.length = 0
    this.unconfirmedBytes = 0
  }
}
