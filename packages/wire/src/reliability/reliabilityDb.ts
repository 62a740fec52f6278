/** State of the reliable-delivery protocol of one session. */
import type { Millis } from '@fuchsiaworks/kernel'
import { ClockEstimate } from './clockEstimate.js'
import type { ConnectionNumber, ReliabilityLimits } from './reliabilityTypes.js'

/** Delayed acknowledgement: maximum time in milliseconds until received messages are acknowledged. */
const ACK_DELAY_MS = 50

/** Number of unacknowledged received messages that triggers an immediate acknowledgement. */
const ACK_AFTER_MESSAGES = 256

/** Unacknowledged received bytes that trigger an immediate acknowledgement. */
const ACK_AFTER_BYTES = 128 * 1024

/** Sequence numbers, unacknowledged messages and timestamps of one session. Timestamps are monotonic. */
export class ReliabilityDb {
  readonly clockEstimate = new ClockEstimate()
  /** Current connection, if any. */
  connection: ConnectionNumber | undefined
  /** Number of connections attached so far. */
  attachCount = 0
  ended = false
  /** True while a scheduled flush is pending. */
  flushScheduled = false
  /** Last sequence number received from the peer. */
  receivedSeq = 0
  /** Last sequence number acknowledged by the peer. */
  ackedSeq = 0
  /** Last sequence number sent over the current connection. */
  sentSeq = 0
  /** Last sequence number ever sent over any connection; an acknowledgement above it is a protocol error. */
  highestSentSeq = 0
  /** Bytes queued or sent, but not acknowledged yet. */
  unconfirmedBytes = 0
  /** Time at which the last frame was processed, or the connection was attached. */
  lastReceivedAt: Millis
  /** Time at which the last frame was sent. */
  lastSentAt: Millis
  lastPingAt: Millis
  /** Heartbeat interval: chosen here at the dialing end, advertised by the peer at the listening end. */
  pingInterval: Millis
  /** Time since which there have been sent but unacknowledged messages; undefined while there are none. */
  unackedSince: Millis | undefined
  /** Time at which the last message was sent or received. */
  lastMessageAt: Millis
  /** Time by which received messages must be acknowledged. */
  ackDueAt: Millis | undefined
  /** Time of the next heartbeat. */
  pingDueAt: Millis
  readonly #outbox: Uint8Array[] = []
  #ackSentSeq = 0
  #bytesSinceAck = 0

  /**
   * @param limits - timeouts and limits of the session
   * @param now - monotonic time in milliseconds
   */
  constructor (readonly limits: ReliabilityLimits, now: Millis) {
    this.lastReceivedAt = now
    this.lastSentAt = now
    this.lastPingAt = -Infinity
    this.pingDueAt = now
    this.pingInterval = limits.heartbeat
    this.lastMessageAt = now
  }

  /** Last sequence number assigned to a message. */
  get queuedSeq (): number {
    return this.ackedSeq + this.#outbox.length
  }

  /** True when queued messages have not been sent over the current connection. */
  get hasUnsent (): boolean {
    return this.sentSeq < this.queuedSeq
  }

  /** True when received messages should be acknowledged without delay. */
  get shouldAckNow (): boolean {
    return this.receivedSeq - this.#ackSentSeq >= ACK_AFTER_MESSAGES || this.#bytesSinceAck >= ACK_AFTER_BYTES
  }

  /** Appends a message to the send queue. */
  enqueue (payload: Uint8Array): void {
    this.#outbox.push(payload)
    this.unconfirmedBytes += payload.byteLength
  }

  /**
   * Returns the next unsent messages and marks them as sent. They stay in the queue until they are acknowledged.
   *
   * @param maxBytes - size at which no further message is added; the last message may exceed it
   * @param now - monotonic time in milliseconds
   * @returns the messages after the last sent one
   */
  takeUnsent (maxBytes: number, now: Millis): readonly Uint8Array[] {
    const start = this.sentSeq - this.ackedSeq
    let end = start
    for (let size = 0; end < this.#outbox.length && size < maxBytes; end++) size += this.#outbox[end]?.byteLength ?? 0
    this.sentSeq += end - start
    this.highestSentSeq = Math.max(this.highestSentSeq, this.sentSeq)
    this.unackedSince ??= now
    this.#recordMessage(now)
    return this.#outbox.slice(start, end)
  }

  /** Removes the messages that the peer has acknowledged. */
  applyAck (ack: number): void {
    if (ack <= this.ackedSeq) return
    for (const payload of this.#outbox.splice(0, ack - this.ackedSeq)) this.unconfirmedBytes -= payload.byteLength
    this.ackedSeq = ack
    this.sentSeq = Math.max(this.sentSeq, ack)
    if (this.sentSeq === ack) this.unackedSince = undefined
  }

  /** Records received messages and schedules their acknowledgement. */
  recordReceived (count: number, bytes: number, now: Millis): void {
    this.receivedSeq += count
    this.#bytesSinceAck += bytes
    this.ackDueAt ??= now + ACK_DELAY_MS
    this.#recordMessage(now)
  }

  /** Records that a frame, and with it an acknowledgement of all received messages, is being sent. */
  recordFrameSent (now: Millis): void {
    this.lastSentAt = now
    this.ackDueAt = undefined
    this.#ackSentSeq = this.receivedSeq
    this.#bytesSinceAck = 0
  }

  /** Time at which the connection is considered silent unless a frame arrives. */
  get silenceDeadline (): Millis {
    const { heartbeat, silence } = this.limits
    const idle = this.lastReceivedAt + silence + Math.max(0, this.pingInterval - heartbeat)
    if (this.unackedSince === undefined) return idle
    return Math.min(idle, Math.max(this.lastReceivedAt, this.unackedSince) + silence)
  }

  /** Schedules the next heartbeat after one was sent or skipped. */
  scheduleNextPing (now: Millis): void {
    const { heartbeat, idleHeartbeat } = this.limits
    this.pingInterval = now - this.lastMessageAt < idleHeartbeat ? heartbeat : idleHeartbeat
    this.pingDueAt = now + this.pingInterval
  }

  /** Sets a new connection; messages that the peer has not received will be sent again over it. */
  attach (connection: ConnectionNumber, peerReceivedSeq: number, now: Millis): void {
    this.connection = connection
    this.attachCount += 1
    this.lastReceivedAt = now
    this.applyAck(peerReceivedSeq)
    this.sentSeq = peerReceivedSeq
    this.unackedSince = undefined
    this.pingDueAt = now
    this.pingInterval = this.limits.heartbeat
  }

  /** Records a message; at the dialing end, the next heartbeat is due after the short interval again. */
  #recordMessage (now: Millis): void {
    this.lastMessageAt = now
    this.pingDueAt = Math.min(this.pingDueAt, now + this.limits.heartbeat)
  }

  /** Clears the connection. */
  detach (): void {
    this.connection = undefined
    this.ackDueAt = undefined
  }

  /** Ends the session and discards its queued messages. */
  end (): void {
    this.ended = true
    this.detach()
    this.#outbox.length = 0
    this.unconfirmedBytes = 0
  }
}
