/** Reliable delivery of sessions without sockets: two simulated ends, connections that fail, and a manual clock. */
import { describe, it } from 'node:test'
import { asId, ManualClock, newId, type Incarnation } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import type { Frame, OutgoingFrame } from '../codec/frameTypes.js'
import type { Offer } from '../handshake/handshakeTypes.js'
import { SessionTable } from '../link/sessionTable.js'
import type { Identity, SessionEnd } from '../session/sessionTypes.js'
import { decide, nextWakeAt } from './reliability.js'
import { ReliabilityDb } from './reliabilityDb.js'
import type { ReliabilityCommand, ReliabilityEvent, ReliabilityLimits } from './reliabilityTypes.js'

const LIMITS = { heartbeat: 100, idleHeartbeat: 300, silence: 400, expiry: 2000, bufferLimitBytes: 1_000_000 }

type Side = 'dialer' | 'listener'
const oppositeOf = (side: Side): Side => side === 'dialer' ? 'listener' : 'dialer'

const identity = (role: Identity['role'], incarnation: Incarnation): Identity =>
  ({ host: asId(role), incarnation, role, zone: asId('zone-a') })

/** Data on a simulated connection: frames, the last message of the handshake, and the close of the connection. */
type Packet = { kind: 'frame', frame: OutgoingFrame } | { kind: 'confirm', offer: Offer, received: number } | { kind: 'closed' }

interface SimulatedConnection {
  readonly number: number
  readonly queues: Record<Side, Packet[]>
  readonly owners: Record<Side, Incarnation>
  readonly stalled: Record<Side, boolean>
}

/** One end of one session, with every message that it sent and delivered. */
class SimulatedSession {
  readonly db: ReliabilityDb
  readonly sent: string[] = []
  readonly delivered: string[] = []
  ended: SessionEnd | undefined

  constructor (readonly simulation: Simulation, readonly side: Side, readonly sessionId: string, readonly offer: Offer) {
    this.db = new ReliabilityDb({ ...LIMITS, side }, simulation.clock.now())
  }

  handleEvent (event: ReliabilityEvent<string> extends infer E ? E extends { now: number } ? Omit<E, 'now'> : never : never): void {
    const now = this.simulation.clock.now()
    const expired = now - this.db.lastReceivedAt >= LIMITS.expiry
    const commands = decide(this.db, { now, ...event } as ReliabilityEvent<string>)
    if (expired) expect(commands.filter(command => command.kind === 'deliver')).toEqual([])
    for (const command of commands) this.#execute(command)
  }

  send (): void {
    if (this.ended !== undefined) return
    const text = `${this.sessionId} ${this.side} ${this.sent.length}`
    this.sent.push(text)
    this.handleEvent({ kind: 'send', payload: Buffer.from(text) })
  }

  checkExpiry = (): void => { this.handleEvent({ kind: 'wake' }) }
  end = (reason: SessionEnd): void => { this.handleEvent({ kind: 'end', reason }) }

  #execute (command: ReliabilityCommand<string>): void {
    if (command.kind === 'deliver') this.delivered.push(...command.payloads)
    if (command.kind === 'transmit') this.simulation.transmit(command.connection, this.side, { kind: 'frame', frame: command.frame })
    if (command.kind === 'terminate' || command.kind === 'close-gracefully') this.simulation.transmit(command.connection, this.side, { kind: 'closed' })
    if (command.kind !== 'end') return
    this.ended = command.reason
    if (this.side === 'listener') this.simulation.table.remove(this.offer)
  }
}

/** A dialing and a listening process, with all of their sessions and connections. */
class Simulation {
  readonly clock = new ManualClock()
  readonly allSessions: SimulatedSession[] = []
  readonly connections: SimulatedConnection[] = []
  incarnations: Record<Side, Incarnation> = { dialer: newId(), listener: newId() }
  table = new SessionTable<SimulatedSession>()
  dialerSession: SimulatedSession | undefined
  dialerSessionAttempt = 0
  attempt = 0
  restarts = 0

  liveSessions (side: Side): SimulatedSession[] {
    const candidates = side === 'dialer' ? [this.dialerSession] : this.table.sessions
    return candidates.filter(session => session !== undefined).filter(session => session.ended === undefined)
  }

  transmit (number: number, from: Side, packet: Packet): void {
    const connection = this.connections[number]
    if (connection !== undefined && !connection.stalled[oppositeOf(from)]) connection.queues[oppositeOf(from)].push(packet)
  }

  connect (): void {
    if (this.dialerSession?.ended !== undefined) this.dialerSession = undefined
    this.attempt += 1
    const offer: Offer = {
      identity: identity('agent', this.incarnations.dialer),
      started: this.restarts,
      dialer: 'dialer',
      session: this.dialerSession === undefined ? this.attempt : this.dialerSessionAttempt,
      attempt: this.attempt
    }
    const { outcome, session } = this.table.evaluate(offer)
    if (outcome === 'gone' || outcome === 'superseded') {
      this.dialerSession?.end('expired')
      return
    }
    const number = this.connections.push({
      number: this.connections.length,
      queues: { dialer: [], listener: [] },
      owners: { ...this.incarnations },
      stalled: { dialer: false, listener: false }
    }) - 1
    this.transmit(number, 'dialer', { kind: 'confirm', offer, received: this.dialerSession?.db.receivedSeq ?? 0 })
    if (outcome === 'new') {
      this.dialerSession = this.createSession('dialer', offer)
      this.dialerSessionAttempt = offer.session
    }
    this.dialerSession?.handleEvent({ kind: 'attached', connection: number, received: session?.db.receivedSeq ?? 0 })
  }

  createSession (side: Side, offer: Offer): SimulatedSession {
    const session = new SimulatedSession(this, side, `${offer.identity.incarnation} ${offer.session} ${this.incarnations.listener}`, offer)
    this.allSessions.push(session)
    return session
  }

  deliver (connection: SimulatedConnection, side: Side): void {
    const packet = connection.queues[side].shift()
    if (packet === undefined || connection.owners[side] !== this.incarnations[side]) return
    if (packet.kind === 'confirm') {
      this.table.accept(packet.offer, () => this.createSession('listener', packet.offer))
        ?.handleEvent({ kind: 'attached', connection: connection.number, received: packet.received })
      return
    }
    for (const session of this.liveSessions(side)) {
      if (packet.kind === 'closed') session.handleEvent({ kind: 'detached', connection: connection.number, reason: 'closed' })
      else session.handleEvent({ kind: 'frame', connection: connection.number, frame: readPayloads(packet.frame), size: 1, wall: this.clock.wall() })
    }
  }

  restart (side: Side): void {
    for (const session of this.liveSessions(side)) session.ended = 'closed'
    this.incarnations[side] = newId()
    this.restarts += 1
    if (side === 'dialer') this.dialerSession = undefined
    else this.table = new SessionTable()
  }

  wake (side: Side): void {
    for (const session of this.liveSessions(side)) session.handleEvent({ kind: 'wake' })
    for (const session of this.liveSessions(side)) session.handleEvent({ kind: 'flush', writableBytes: Infinity })
  }

  /** Delivers everything over fresh connections, for long enough that both ends converge. */
  settle (): void {
    for (let round = 0; round < 4; round++) {
      if (this.dialerSession?.ended !== undefined || this.dialerSession?.db.connection === undefined || round < 2) this.connect()
      for (let step = 0; step < 60; step++) {
        this.wake('dialer')
        this.wake('listener')
        for (const connection of this.connections.slice(-3)) {
          connection.stalled.dialer = connection.stalled.listener = false
          for (const side of ['dialer', 'listener'] as const) this.deliver(connection, side)
        }
        this.clock.skip(10)
      }
    }
  }

  checkDeliveries (): void {
    for (const session of this.allSessions) {
      const peer = this.allSessions.find(candidate => candidate.sessionId === session.sessionId && candidate.side !== session.side)
      expect(session.delivered).toEqual((peer?.sent ?? []).slice(0, session.delivered.length))
    }
  }

  checkConvergence (): void {
    const [listenerSession, ...more] = this.liveSessions('listener')
    expect(more).toEqual([])
    expect(this.liveSessions('dialer').map(session => session.sessionId)).toEqual([listenerSession?.sessionId ?? 'no session'])
    expect(listenerSession?.delivered).toEqual(this.dialerSession?.sent)
    expect(this.dialerSession?.delivered).toEqual(listenerSession?.sent)
    expect([listenerSession?.db.unconfirmedBytes, this.dialerSession?.db.unconfirmedBytes]).toEqual([0, 0])
  }
}

const readPayloads = (frame: OutgoingFrame): Frame<string> =>
  frame.kind === 'data' ? { ...frame, payloads: frame.payloads.map(payload => Buffer.from(payload).toString()) } : frame

interface Step {
  /** Shown in counterexamples of fast-check. */
  readonly description: string
  readonly run: (simulation: Simulation) => void
}

const step = <A>(weight: number, name: string, args: fc.Arbitrary<A>, run: (simulation: Simulation, args: A) => void): fc.WeightedArbitrary<Step> =>
  ({ weight, arbitrary: args.map(value => ({ description: `${name} ${fc.stringify(value)}`, run: simulation => { run(simulation, value) } })) })

const side = fc.constantFrom<Side>('dialer', 'listener')
const recentConnections = (simulation: Simulation, back: number): SimulatedConnection[] => simulation.connections.slice(-1 - back, back === 0 ? undefined : -back)

const steps = fc.oneof(
  step(6, 'send', fc.tuple(side, fc.integer({ min: 1, max: 5 })), (simulation, [end, count]) => {
    for (const session of simulation.liveSessions(end)) for (let i = 0; i < count; i++) session.send()
  }),
  step(6, 'flush', fc.tuple(side, fc.constantFrom(1, 50, Infinity)), (simulation, [end, writableBytes]) => {
    for (const session of simulation.liveSessions(end)) session.handleEvent({ kind: 'flush', writableBytes })
  }),
  step(10, 'deliver', fc.tuple(side, fc.integer({ min: 0, max: 2 }), fc.integer({ min: 1, max: 6 })), (simulation, [end, back, count]) => {
    for (const connection of recentConnections(simulation, back)) for (let i = 0; i < count; i++) simulation.deliver(connection, end)
  }),
  step(3, 'connect', fc.constant(0), simulation => { simulation.connect() }),
  step(2, 'reset, noticed by dialer and listener', fc.tuple(fc.boolean(), fc.boolean()), (simulation, [dialer, listener]) => {
    for (const connection of recentConnections(simulation, 0)) {
      connection.queues.dialer = dialer ? [{ kind: 'closed' }] : []
      connection.queues.listener = listener ? [{ kind: 'closed' }] : []
      connection.stalled.dialer = connection.stalled.listener = true
    }
  }),
  step(2, 'stall towards', side, (simulation, end) => { for (const connection of recentConnections(simulation, 0)) connection.stalled[end] = true }),
  step(5, 'advance', fc.constantFrom(10, 60, 150, 450), (simulation, span) => {
    simulation.clock.skip(span)
    simulation.wake('dialer')
    simulation.wake('listener')
  }),
  step(2, 'pause the other end while this one sends', fc.tuple(side, fc.constantFrom(300, 900, 1999, 2000, 5000)), (simulation, [end, span]) => {
    for (const session of simulation.liveSessions(end)) session.send()
    simulation.wake(end)
    simulation.clock.skip(span)
    for (const connection of recentConnections(simulation, 0)) for (let i = 0; i < 4; i++) simulation.deliver(connection, oppositeOf(end))
  }),
  step(1, 'restart', side, (simulation, end) => { simulation.restart(end) }),
  step(1, 'close', side, (simulation, end) => { for (const session of simulation.liveSessions(end)) session.end('closed') })
)

const limits: ReliabilityLimits = { ...LIMITS, side: 'dialer' }

describe('reliable delivery of a session', () => {
  it('delivers a prefix of the messages sent in the session, in order and once each, and both ends converge', () => {
    fc.assert(fc.property(fc.array(steps, { minLength: 5, maxLength: 120 }), sequence => {
      const simulation = new Simulation()
      simulation.connect()
      for (const { run } of sequence) {
        run(simulation)
        simulation.checkDeliveries()
      }
      simulation.settle()
      simulation.checkDeliveries()
      simulation.checkConvergence()
    }), { seed: 20261203, numRuns: 1500 })
  })

  it('ends with overflow when the unacknowledged bytes exceed the limit', () => {
    const db = new ReliabilityDb({ ...limits, bufferLimitBytes: 10 }, 0)
    expect(decide(db, { kind: 'send', now: 1, payload: new Uint8Array(11) })).toEqual([{ kind: 'end', reason: 'overflow' }])
  })

  it('ends with a protocol error when the peer acknowledges messages that were never sent or leaves a sequence gap', () => {
    for (const frame of [{ kind: 'ack', ack: 1 }, { kind: 'data', ack: 0, first: 2, payloads: ['x'] }] as const) {
      const db = new ReliabilityDb(limits, 0)
      decide(db, { kind: 'attached', now: 1, connection: 1, received: 0 })
      const commands = decide<string>(db, { kind: 'frame', now: 2, connection: 1, frame, size: 1, wall: 2 })
      expect(commands.at(-1)).toEqual({ kind: 'end', reason: 'protocol-error' })
    }
  })

  it('sends heartbeats less often while no messages are exchanged', () => {
    const db = new ReliabilityDb(limits, 0)
    decide(db, { kind: 'attached', now: 0, connection: 1, received: 0 })
    const pings: number[] = []
    for (let now = nextWakeAt(db); now < 2000; now = nextWakeAt(db)) {
      for (const command of decide(db, { kind: 'wake', now })) {
        if (command.kind !== 'transmit' || command.frame.kind !== 'ping') continue
        pings.push(now)
        decide(db, { kind: 'frame', now, connection: 1, frame: { kind: 'pong', ack: db.ackedSeq, sentAt: now, wall: now }, size: 9, wall: now })
      }
      if (now === 900) {
        decide(db, { kind: 'send', now, payload: Buffer.from('x') })
        decide(db, { kind: 'flush', now, writableBytes: 1000 })
        decide(db, { kind: 'frame', now, connection: 1, frame: { kind: 'ack', ack: 1 }, size: 2, wall: now })
      }
    }
    expect(pings).toEqual([0, 100, 200, 300, 600, 900, 1000, 1100, 1200, 1500, 1800])
  })

  it('detects a silent connection later while it is idle, but in the usual time once a message is unacknowledged', () => {
    const silentAfter = (sendAt: number): number => {
      const db = new ReliabilityDb({ ...limits, side: 'listener' }, 0)
      decide(db, { kind: 'attached', now: 0, connection: 1, received: 0 })
      const ping = { kind: 'ping', ack: 0, sentAt: 0, roundTrip: 0, offset: 0, next: 300 } as const
      decide(db, { kind: 'frame', now: 0, connection: 1, frame: ping, size: 9, wall: 0 })
      if (sendAt < Infinity) decide(db, { kind: 'send', now: sendAt, payload: Buffer.from('x') })
      if (sendAt < Infinity) decide(db, { kind: 'flush', now: sendAt, writableBytes: 1000 })
      return nextWakeAt(db)
    }
    expect([silentAfter(Infinity), silentAfter(10), silentAfter(500)]).toEqual([600, 410, 600])
  })

  it('schedules no wake after its end, and one at its expiry while there is no connection', () => {
    const db = new ReliabilityDb(limits, 5)
    expect(nextWakeAt(db)).toEqual(5 + LIMITS.expiry)
    decide(db, { kind: 'end', now: 6, reason: 'closed' })
    expect(nextWakeAt(db)).toEqual(Infinity)
  })

  it('acknowledges a one-way stream in batches, not message by message', () => {
    const db = new ReliabilityDb({ ...limits, side: 'listener' }, 0)
    decide(db, { kind: 'attached', now: 1, connection: 1, received: 0 })
    const acks = Array.from({ length: 1024 }, (_, index) => decide<string>(db, {
      kind: 'frame', now: 2, connection: 1, frame: { kind: 'data', ack: 0, first: index + 1, payloads: ['x'] }, size: 20, wall: 2
    }).filter(command => command.kind === 'transmit').length)
    expect(acks.reduce((sum, count) => sum + count)).toEqual(4)
  })
})
