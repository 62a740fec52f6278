/** Decides what one end of a session sends, delivers and ends. No socket, timer or clock: events in, commands out. */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { ByeReason, DataFrame, Frame, PingFrame, PongFrame } from '../codec/frameTypes.js'
import type { SessionEnd } from '../session/sessionTypes.js'
import type { ReliabilityDb } from './reliabilityDb.js'
import type { ConnectionNumber, ReliabilityCommand, ReliabilityEvent } from './reliabilityTypes.js'

/** Bytes of messages from which a data frame takes no further message. */
const FRAME_BYTES = 64 * 1024

/** Milliseconds after which a busy connection sends a heartbeat all the same, to measure the clocks. */
const MEASURE_PERIOD_MS = 10_000

type Commands<P> = ReadonlyArray<ReliabilityCommand<P>>
type EventOf<P, K> = Extract<ReliabilityEvent<P>, { readonly kind: K }>

const NOTHING: Commands<never> = []

/** What the peer is told. One whose host runs a newer incarnation sees its session expired. */
const byeReason = (reason: SessionEnd): ByeReason =>
  reason === 'peer-restarted' || reason === 'peer-closed' ? 'expired' : reason

const dataFrames = <P>(db: ReliabilityDb, connection: ConnectionNumber, room: number, now: Millis): Array<ReliabilityCommand<P>> => {
  const commands: Array<ReliabilityCommand<P>> = []
  let left = room
  while (left > 0 && db.hasUnsent) {
    const first = db.sent + 1
    const payloads = db.takeUnsent(Math.min(left, FRAME_BYTES), now)
    for (const payload of payloads) left -= payload.byteLength
    commands.push({ kind: 'transmit', connection, frame: { kind: 'data', ack: db.received, first, payloads } })
    db.markSent(now)
  }
  return commands
}

/** Ends the session; a peer that can be reached is told why. */
const finish = <P>(db: ReliabilityDb, reason: SessionEnd, now: Millis, tellPeer: boolean): Commands<P> => {
  const commands: Array<ReliabilityCommand<P>> = []
  const { connection } = db
  if (connection !== undefined) {
    if (reason === 'closed') commands.push(...dataFrames<P>(db, connection, Infinity, now))
    if (tellPeer) commands.push({ kind: 'transmit', connection, frame: { kind: 'bye', reason: byeReason(reason) } })
    commands.push({ kind: 'hang-up', connection })
  }
  db.end()
  commands.push({ kind: 'end', reason })
  return commands
}

const send = (db: ReliabilityDb, event: EventOf<never, 'send'>): Commands<never> => {
  db.queue(event.payload)
  if (db.unconfirmed > db.limits.bufferLimit) return finish(db, 'overflow', event.now, true)
  if (db.flushAsked || db.connection === undefined) return NOTHING
  db.flushAsked = true
  return [{ kind: 'schedule-flush' }]
}

const flush = <P>(db: ReliabilityDb, event: EventOf<P, 'flush'>): Commands<P> => {
  db.flushAsked = false
  if (db.connection === undefined) return NOTHING
  return dataFrames(db, db.connection, event.room, event.now)
}

const attach = <P>(db: ReliabilityDb, event: EventOf<P, 'attached'>): Commands<P> => {
  const { connection, received, now } = event
  if (received < db.acked || received > db.everSent) return finish(db, 'protocol-error', now, true)
  const commands: Array<ReliabilityCommand<P>> = []
  if (db.connection !== undefined) {
    commands.push({ kind: 'terminate', connection: db.connection }, { kind: 'report', event: { kind: 'down', reason: 'replaced' } })
  }
  db.attach(connection, received, now)
  db.flushAsked = true
  commands.push({ kind: 'report', event: { kind: 'up', resumed: db.attachments > 1 } }, { kind: 'schedule-flush' })
  return commands
}

const detach = <P>(db: ReliabilityDb, event: EventOf<P, 'detached'>): Commands<P> => {
  if (event.connection !== db.connection) return NOTHING
  db.detach()
  return [{ kind: 'report', event: { kind: 'down', reason: event.reason } }]
}

const receiveData = <P>(db: ReliabilityDb, frame: DataFrame<P>, event: EventOf<P, 'frame'>): Commands<P> => {
  if (frame.first > db.received + 1) return finish(db, 'protocol-error', event.now, true)
  const fresh = frame.payloads.slice(db.received + 1 - frame.first)
  if (fresh.length === 0) return NOTHING
  db.receive(fresh.length, event.size, event.now)
  const deliver: ReliabilityCommand<P> = { kind: 'deliver', payloads: fresh }
  if (!db.ackUrgent) return [deliver]
  db.markSent(event.now)
  return [deliver, { kind: 'transmit', connection: event.connection, frame: { kind: 'ack', ack: db.received } }]
}

const receivePing = <P>(db: ReliabilityDb, frame: PingFrame, event: EventOf<P, 'frame'>): Commands<P> => {
  db.estimate.adopt(frame.roundTrip, -frame.offset)
  db.pingPeriod = frame.next
  db.markSent(event.now)
  const pong: PongFrame = { kind: 'pong', ack: db.received, sentAt: frame.sentAt, wall: event.wall }
  return [{ kind: 'transmit', connection: event.connection, frame: pong }]
}

const receivePong = (db: ReliabilityDb, frame: PongFrame, event: EventOf<unknown, 'frame'>): void => {
  const delay = event.now - frame.sentAt
  if (delay < 0) return
  db.estimate.add(event.now, delay, frame.wall - (event.wall - delay / 2))
}

/** @returns whether the peer confirms no more than it was sent */
const takeAck = (db: ReliabilityDb, ack: number): boolean => {
  if (ack > db.everSent) return false
  db.confirm(ack)
  return true
}

const receive = <P>(db: ReliabilityDb, event: EventOf<P, 'frame'>): Commands<P> => {
  if (event.connection !== db.connection) return NOTHING
  const frame: Frame<P> = event.frame
  if (frame.kind === 'bye') return finish(db, frame.reason === 'closed' ? 'peer-closed' : frame.reason, event.now, false)
  if (!takeAck(db, frame.ack)) return finish(db, 'protocol-error', event.now, true)
  db.lastHeard = event.now
  switch (frame.kind) {
    case 'data': return receiveData(db, frame, event)
    case 'ping': return receivePing(db, frame, event)
    case 'pong':
      receivePong(db, frame, event)
      return NOTHING
    case 'ack': return NOTHING
    default: return assertNever(frame)
  }
}

/** True when data in both directions does what a heartbeat would do. */
const isBusy = (db: ReliabilityDb, now: Millis): boolean => {
  const recent = now - db.limits.heartbeat
  return db.lastHeard > recent && db.lastSent > recent && now - db.lastPing < MEASURE_PERIOD_MS
}

const ping = <P>(db: ReliabilityDb, connection: ConnectionNumber, now: Millis): Commands<P> => {
  db.planPing(now)
  if (isBusy(db, now)) return NOTHING
  db.lastPing = now
  db.markSent(now)
  const { roundTrip, offset } = db.estimate
  const frame: PingFrame = { kind: 'ping', ack: db.received, sentAt: now, roundTrip, offset, next: db.pingPeriod }
  return [{ kind: 'transmit', connection, frame }]
}

const wake = <P>(db: ReliabilityDb, now: Millis): Commands<P> => {
  const { connection } = db
  if (connection === undefined) return NOTHING
  if (now >= db.silentAt) {
    const silence = now - db.lastHeard
    db.detach()
    return [
      { kind: 'report', event: { kind: 'silent', silence } },
      { kind: 'terminate', connection },
      { kind: 'report', event: { kind: 'down', reason: 'silent' } }
    ]
  }
  if (db.limits.side === 'dialer' && now >= db.pingDue) return ping(db, connection, now)
  if (db.ackDue === undefined || now < db.ackDue) return NOTHING
  db.markSent(now)
  return [{ kind: 'transmit', connection, frame: { kind: 'ack', ack: db.received } }]
}

/**
 * Takes one event and returns the commands that follow from it. A session that heard nothing for its expiry ends before
 * the event is looked at, so a process that was stopped never acts on frames that waited in its socket.
 *
 * @param db - state of the session; changed in place
 * @param event - what happened
 * @returns the commands, in the order in which they are to be carried out
 */
export const decide = <P>(db: ReliabilityDb, event: ReliabilityEvent<P>): Commands<P> => {
  if (db.ended) return NOTHING
  if (event.now - db.lastHeard >= db.limits.expiry) return finish(db, 'expired', event.now, true)
  switch (event.kind) {
    case 'send': return send(db, event)
    case 'flush': return flush(db, event)
    case 'attached': return attach(db, event)
    case 'detached': return detach(db, event)
    case 'frame': return receive(db, event)
    case 'malformed': return event.connection === db.connection ? finish(db, 'protocol-error', event.now, true) : NOTHING
    case 'wake': return wake(db, event.now)
    case 'end': return finish(db, event.reason, event.now, true)
    default: return assertNever(event)
  }
}

/**
 * Says when the session wants its next wake event.
 *
 * @param db - state of the session
 * @returns monotonic reading in milliseconds
 */
export const nextWake = (db: ReliabilityDb): Millis => {
  if (db.ended) return Infinity
  const { expiry, side } = db.limits
  if (db.connection === undefined) return db.lastHeard + expiry
  const heartbeat = side === 'dialer' ? db.pingDue : Infinity
  return Math.min(heartbeat, db.ackDue ?? Infinity, db.silentAt, db.lastHeard + expiry)
}
