/**
 * Reliable, ordered delivery of one end of a session, as a state machine without I/O: it maps events to commands and uses
 * no sockets, timers or clocks.
 */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { ByeReason, DataFrame, Frame, PingFrame, PongFrame } from '../codec/frameTypes.js'
import type { SessionEnd } from '../session/sessionTypes.js'
import type { ReliabilityDb } from './reliabilityDb.js'
import type { ConnectionNumber, ReliabilityCommand, ReliabilityEvent } from './reliabilityTypes.js'

/** Payload size in bytes at which a data frame is closed and the next one begins. */
const DATA_FRAME_TARGET_BYTES = 64 * 1024

/** Maximum interval between pings on a busy connection, in milliseconds; the clock estimate needs them. */
const CLOCK_MEASUREMENT_INTERVAL_MS = 10_000

type Commands<P> = ReadonlyArray<ReliabilityCommand<P>>
type EventOf<P, K> = Extract<ReliabilityEvent<P>, { readonly kind: K }>

const NO_COMMANDS: Commands<never> = []

/** Reason sent in the bye frame. A peer that was replaced by a newer incarnation on its host receives `expired`. */
const byeReasonFor = (reason: SessionEnd): ByeReason =>
  reason === 'peer-restarted' || reason === 'peer-closed' ? 'expired' : reason

const transmitUnsent = <P>(db: ReliabilityDb, connection: ConnectionNumber, writableBytes: number, now: Millis): Array<ReliabilityCommand<P>> => {
  const commands: Array<ReliabilityCommand<P>> = []
  let remainingBytes = writableBytes
  while (remainingBytes > 0 && db.hasUnsent) {
    const first = db.sentSeq + 1
    const payloads = db.takeUnsent(Math.min(remainingBytes, DATA_FRAME_TARGET_BYTES), now)
    for (const payload of payloads) remainingBytes -= payload.byteLength
    commands.push({ kind: 'transmit', connection, frame: { kind: 'data', ack: db.receivedSeq, first, payloads } })
    db.recordFrameSent(now)
  }
  return commands
}

/** Ends the session, and sends the reason to the peer if a connection exists and `notifyPeer` is set. */
const endSession = <P>(db: ReliabilityDb, reason: SessionEnd, now: Millis, notifyPeer: boolean): Commands<P> => {
  const commands: Array<ReliabilityCommand<P>> = []
  const { connection } = db
  if (connection !== undefined) {
    if (reason === 'closed') commands.push(...transmitUnsent<P>(db, connection, Infinity, now))
    if (notifyPeer) commands.push({ kind: 'transmit', connection, frame: { kind: 'bye', reason: byeReasonFor(reason) } })
    commands.push({ kind: 'close-gracefully', connection })
  }
  db.end()
  commands.push({ kind: 'end', reason })
  return commands
}

const send = (db: ReliabilityDb, event: EventOf<never, 'send'>): Commands<never> => {
  db.enqueue(event.payload)
  if (db.unconfirmedBytes > db.limits.bufferLimitBytes) return endSession(db, 'overflow', event.now, true)
  if (db.flushScheduled || db.connection === undefined) return NO_COMMANDS
  db.flushScheduled = true
  return [{ kind: 'schedule-flush' }]
}

const flush = <P>(db: ReliabilityDb, event: EventOf<P, 'flush'>): Commands<P> => {
  db.flushScheduled = false
  if (db.connection === undefined) return NO_COMMANDS
  return transmitUnsent(db, db.connection, event.writableBytes, event.now)
}

const attach = <P>(db: ReliabilityDb, event: EventOf<P, 'attached'>): Commands<P> => {
  const { connection, received, now } = event
  if (received < db.ackedSeq || received > db.highestSentSeq) return endSession(db, 'protocol-error', now, true)
  const commands: Array<ReliabilityCommand<P>> = []
  if (db.connection !== undefined) {
    commands.push({ kind: 'terminate', connection: db.connection }, { kind: 'report', event: { kind: 'down', reason: 'replaced' } })
  }
  db.attach(connection, received, now)
  db.flushScheduled = true
  commands.push({ kind: 'report', event: { kind: 'up', resumed: db.attachCount > 1 } }, { kind: 'schedule-flush' })
  return commands
}

const detach = <P>(db: ReliabilityDb, event: EventOf<P, 'detached'>): Commands<P> => {
  if (event.connection !== db.connection) return NO_COMMANDS
  db.detach()
  return [{ kind: 'report', event: { kind: 'down', reason: event.reason } }]
}

const handleData = <P>(db: ReliabilityDb, frame: DataFrame<P>, event: EventOf<P, 'frame'>): Commands<P> => {
  if (frame.first > db.receivedSeq + 1) return endSession(db, 'protocol-error', event.now, true)
  const newPayloads = frame.payloads.slice(db.receivedSeq + 1 - frame.first)
  if (newPayloads.length === 0) return NO_COMMANDS
  db.recordReceived(newPayloads.length, event.size, event.now)
  const deliver: ReliabilityCommand<P> = { kind: 'deliver', payloads: newPayloads }
  if (!db.shouldAckNow) return [deliver]
  db.recordFrameSent(event.now)
  return [deliver, { kind: 'transmit', connection: event.connection, frame: { kind: 'ack', ack: db.receivedSeq } }]
}

const handlePing = <P>(db: ReliabilityDb, frame: PingFrame, event: EventOf<P, 'frame'>): Commands<P> => {
  db.clockEstimate.adoptPeerEstimate(frame.roundTrip, -frame.offset)
  db.pingInterval = frame.next
  db.recordFrameSent(event.now)
  const pong: PongFrame = { kind: 'pong', ack: db.receivedSeq, sentAt: frame.sentAt, wall: event.wall }
  return [{ kind: 'transmit', connection: event.connection, frame: pong }]
}

const handlePong = (db: ReliabilityDb, frame: PongFrame, event: EventOf<unknown, 'frame'>): void => {
  const delay = event.now - frame.sentAt
  if (delay < 0) return
  db.clockEstimate.addSample(event.now, delay, frame.wall - (event.wall - delay / 2))
}

/** @returns false if the peer acknowledges messages that were never sent */
const applyAck = (db: ReliabilityDb, ack: number): boolean => {
  if (ack > db.highestSentSeq) return false
  db.applyAck(ack)
  return true
}

const handleFrame = <P>(db: ReliabilityDb, event: EventOf<P, 'frame'>): Commands<P> => {
  if (event.connection !== db.connection) return NO_COMMANDS
  const frame: Frame<P> = event.frame
  if (frame.kind === 'bye') return endSession(db, frame.reason === 'closed' ? 'peer-closed' : frame.reason, event.now, false)
  if (!applyAck(db, frame.ack)) return endSession(db, 'protocol-error', event.now, true)
  db.lastReceivedAt = event.now
  switch (frame.kind) {
    case 'data': return handleData(db, frame, event)
    case 'ping': return handlePing(db, frame, event)
    case 'pong':
      handlePong(db, frame, event)
      return NO_COMMANDS
    case 'ack': return NO_COMMANDS
    default: return assertNever(frame)
  }
}

/** True when recent traffic in both directions makes a heartbeat unnecessary. */
const canSkipPing = (db: ReliabilityDb, now: Millis): boolean => {
  const recent = now - db.limits.heartbeat
  return db.lastReceivedAt > recent && db.lastSentAt > recent && now - db.lastPingAt < CLOCK_MEASUREMENT_INTERVAL_MS
}

const sendPingIfNeeded = <P>(db: ReliabilityDb, connection: ConnectionNumber, now: Millis): Commands<P> => {
  db.scheduleNextPing(now)
  if (canSkipPing(db, now)) return NO_COMMANDS
  db.lastPingAt = now
  db.recordFrameSent(now)
  const { roundTrip, offset } = db.clockEstimate
  const frame: PingFrame = { kind: 'ping', ack: db.receivedSeq, sentAt: now, roundTrip, offset, next: db.pingInterval }
  return [{ kind: 'transmit', connection, frame }]
}

const handleWake = <P>(db: ReliabilityDb, now: Millis): Commands<P> => {
  const { connection } = db
  if (connection === undefined) return NO_COMMANDS
  if (now >= db.silenceDeadline) {
    const silence = now - db.lastReceivedAt
    db.detach()
    return [
      { kind: 'report', event: { kind: 'silent', silence } },
      { kind: 'terminate', connection },
      { kind: 'report', event: { kind: 'down', reason: 'silent' } }
    ]
  }
  if (db.limits.side === 'dialer' && now >= db.pingDueAt) return sendPingIfNeeded(db, connection, now)
  if (db.ackDueAt === undefined || now < db.ackDueAt) return NO_COMMANDS
  db.recordFrameSent(now)
  return [{ kind: 'transmit', connection, frame: { kind: 'ack', ack: db.receivedSeq } }]
}

/**
 * Handles one event. A session that has received no frame for its expiry ends before the event is processed, so a process
 * that was paused never acts on stale frames that were waiting in its socket.
 *
 * @param db - state of the session; updated in place
 * @param event - the event
 * @returns the resulting commands, in execution order
 */
export const decide = <P>(db: ReliabilityDb, event: ReliabilityEvent<P>): Commands<P> => {
  if (db.ended) return NO_COMMANDS
  if (event.now - db.lastReceivedAt >= db.limits.expiry) return endSession(db, 'expired', event.now, true)
  switch (event.kind) {
    case 'send': return send(db, event)
    case 'flush': return flush(db, event)
    case 'attached': return attach(db, event)
    case 'detached': return detach(db, event)
    case 'frame': return handleFrame(db, event)
    case 'malformed': return event.connection === db.connection ? endSession(db, 'protocol-error', event.now, true) : NO_COMMANDS
    case 'wake': return handleWake(db, event.now)
    case 'end': return endSession(db, event.reason, event.now, true)
    default: return assertNever(event)
  }
}

/**
 * Computes when the next `wake` event is due.
 *
 * @param db - state of the session
 * @returns monotonic time in milliseconds; Infinity for an ended session
 */
export const nextWakeAt = (db: ReliabilityDb): Millis => {
  if (db.ended) return Infinity
  const { expiry, side } = db.limits
  if (db.connection === undefined) return db.lastReceivedAt + expiry
  const heartbeat = side === 'dialer' ? db.pingDueAt : Infinity
  return Math.min(heartbeat, db.ackDueAt ?? Infinity, db.silenceDeadline, db.lastReceivedAt + expiry)
}
