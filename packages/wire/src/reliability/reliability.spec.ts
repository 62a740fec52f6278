/** The reliability of sessions without sockets: two ends, connections that fail, and a clock that is moved by hand. */
import { describe, it } from 'node:test'
import { asId, ManualClock, newId, type Incarnation } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import type { Frame, OutgoingFrame } from '../codec/frameTypes.js'
import type { Offer } from '../handshake/handshakeTypes.js'
import { SessionTable } from '../link/sessionTable.js'
import type { Identity, SessionEnd } from '../session/sessionTypes.js'
import { decide, nextWake } from './reliability.js'
import { ReliabilityDb } from './reliabilityDb.js'
import type { ReliabilityCommand, ReliabilityEvent, ReliabilityLimits } from './reliabilityTypes.js'

const BOUNDS = { heartbeat: 100, idleHeartbeat: 300, silence: 400, expiry: 2000, bufferLimit: 1_000_000 }

type Side = 'dialer' | 'listener'
const other = (side: Side): Side => side === 'dialer' ? 'listener' : 'dialer'

const identity = (role: Identity['role'], incarnation: Incarnation): Identity =>
  ({ host: asId(role), incarnation, role, zone: asId('zone-a') })

/** What travels over a connection: frames, the end of the handshake, and the end of the connection. */
type Parcel = { kind: 'frame', frame: OutgoingFrame } | { kind: 'confirm', offer: Offer, received: number } | { kind: 'closed' }

interface Wire {
  readonly number: number
  readonly queues: Record<Side, Parcel[]>
  readonly owners: Record<Side, Incarnation>
  readonly stalled: Record<Side, boolean>
}

/** One end of one session, with all that it sent and received. */
class ModelSession {
  readonly db: ReliabilityDb
  readonly sent: string[] = []
  readonly delivered: string[] = []
  ended: SessionEnd | undefined

  constructor (readonly world: World, readonly side: Side, readonly tag: string, readonly offer: Offer) {
    this.db = new ReliabilityDb({ ...BOUNDS, side }, world.clock.now())
  }

  take (event: ReliabilityEvent<string> extends infer E ? E extends { now: number } ? Omit<E, 'now'> : never : never): void {
    const now = this.world.clock.now()
    const expired = now - this.db.lastHeard >= BOUNDS.expiry
    const commands = decide(this.db, { now, ...event } as ReliabilityEvent<string>)
    if (expired) expect(commands.filter(command => command.kind === 'deliver')).toEqual([])
    for (const command of commands) this.#do(command)
  }

  send (): void {
    if (this.ended !== undefined) return
    const text = `${this.tag} ${this.side} ${this.sent.length}`
    this.sent.push(text)
    this.take({ kind: 'send', payload: Buffer.from(text) })
  }

  checkExpiry = (): void => { this.take({ kind: 'wake' }) }
  end = (reason: SessionEnd): void => { this.take({ kind: 'end', reason }) }

  #do (command: ReliabilityCommand<string>): void {
    if (command.kind === 'deliver') this.delivered.push(...command.payloads)
    if (command.kind === 'transmit') this.world.post(command.connection, this.side, { kind: 'frame', frame: command.frame })
    if (command.kind === 'terminate' || command.kind === 'hang-up') this.world.post(command.connection, this.side, { kind: 'closed' })
    if (command.kind !== 'end') return
    this.ended = command.reason
    if (this.side === 'listener') this.world.table.remove(this.offer)
  }
}

/** A dialing and a listening process, and everything that ever was between them. */
class World {
  readonly clock = new ManualClock()
  readonly all: ModelSession[] = []
  readonly wires: Wire[] = []
  incarnations: Record<Side, Incarnation> = { dialer: newId(), listener: newId() }
  table = new SessionTable<ModelSession>()
  dialing: ModelSession | undefined
  dialingNumber = 0
  attempt = 0
  restarts = 0

  live (side: Side): ModelSession[] {
    const mine = side === 'dialer' ? [this.dialing] : this.table.sessions
    return mine.filter(session => session !== undefined).filter(session => session.ended === undefined)
  }

  post (number: number, from: Side, parcel: Parcel): void {
    const wire = this.wires[number]
    if (wire !== undefined && !wire.stalled[other(from)]) wire.queues[other(from)].push(parcel)
  }

  connect (): void {
    if (this.dialing?.ended !== undefined) this.dialing = undefined
    this.attempt += 1
    const offer: Offer = {
      identity: identity('agent', this.incarnations.dialer),
      started: this.restarts,
      dialer: 'dialer',
      session: this.dialing === undefined ? this.attempt : this.dialingNumber,
      attempt: this.attempt
    }
    const { outcome, session } = this.table.judge(offer)
    if (outcome === 'gone' || outcome === 'superseded') {
      this.dialing?.end('expired')
      return
    }
    const number = this.wires.push({
      number: this.wires.length,
      queues: { dialer: [], listener: [] },
      owners: { ...this.incarnations },
      stalled: { dialer: false, listener: false }
    }) - 1
    this.post(number, 'dialer', { kind: 'confirm', offer, received: this.dialing?.db.received ?? 0 })
    if (outcome === 'new') {
      this.dialing = this.make('dialer', offer)
      this.dialingNumber = offer.session
    }
    this.dialing?.take({ kind: 'attached', connection: number, received: session?.db.received ?? 0 })
  }

  make (side: Side, offer: Offer): ModelSession {
    const session = new ModelSession(this, side, `${offer.identity.incarnation} ${offer.session} ${this.incarnations.listener}`, offer)
    this.all.push(session)
    return session
  }

  deliver (wire: Wire, side: Side): void {
    const parcel = wire.queues[side].shift()
    if (parcel === undefined || wire.owners[side] !== this.incarnations[side]) return
    if (parcel.kind === 'confirm') {
      this.table.accept(parcel.offer, () => this.make('listener', parcel.offer))
        ?.take({ kind: 'attached', connection: wire.number, received: parcel.received })
      return
    }
    for (const session of this.live(side)) {
      if (parcel.kind === 'closed') session.take({ kind: 'detached', connection: wire.number, reason: 'closed' })
      else session.take({ kind: 'frame', connection: wire.number, frame: readPayloads(parcel.frame), size: 1, wall: this.clock.wall() })
    }
  }

  restart (side: Side): void {
    for (const session of this.live(side)) session.ended = 'closed'
    this.incarnations[side] = newId()
    this.restarts += 1
    if (side === 'dialer') this.dialing = undefined
    else this.table = new SessionTable()
  }

  wake (side: Side): void {
    for (const session of this.live(side)) session.take({ kind: 'wake' })
    for (const session of this.live(side)) session.take({ kind: 'flush', room: Infinity })
  }

  /** Lets everything arrive over fresh connections until nothing changes. */
  settle (): void {
    for (let round = 0; round < 4; round++) {
      if (this.dialing?.ended !== undefined || this.dialing?.db.connection === undefined || round < 2) this.connect()
      for (let step = 0; step < 60; step++) {
        this.wake('dialer')
        this.wake('listener')
        for (const wire of this.wires.slice(-3)) {
          wire.stalled.dialer = wire.stalled.listener = false
          for (const side of ['dialer', 'listener'] as const) this.deliver(wire, side)
        }
        this.clock.skip(10)
      }
    }
  }

  check (): void {
    for (const session of this.all) {
      const peer = this.all.find(candidate => candidate.tag === session.tag && candidate.side !== session.side)
      expect(session.delivered).toEqual((peer?.sent ?? []).slice(0, session.delivered.length))
    }
  }

  checkAgreement (): void {
    const [dialing, ...more] = this.live('listener')
    expect(more).toEqual([])
    expect(this.live('dialer').map(session => session.tag)).toEqual([dialing?.tag ?? 'no session'])
    expect(dialing?.delivered).toEqual(this.dialing?.sent)
    expect(this.dialing?.delivered).toEqual(dialing?.sent)
    expect([dialing?.db.unconfirmed, this.dialing?.db.unconfirmed]).toEqual([0, 0])
  }
}

const readPayloads = (frame: OutgoingFrame): Frame<string> =>
  frame.kind === 'data' ? { ...frame, payloads: frame.payloads.map(payload => Buffer.from(payload).toString()) } : frame

interface Step {
  /** Shown in counterexamples. */
  readonly what: string
  readonly run: (world: World) => void
}

const step = <A>(weight: number, name: string, args: fc.Arbitrary<A>, run: (world: World, args: A) => void): fc.WeightedArbitrary<Step> =>
  ({ weight, arbitrary: args.map(value => ({ what: `${name} ${fc.stringify(value)}`, run: world => { run(world, value) } })) })

const side = fc.constantFrom<Side>('dialer', 'listener')
const lastWires = (world: World, back: number): Wire[] => world.wires.slice(-1 - back, back === 0 ? undefined : -back)

const steps = fc.oneof(
  step(6, 'send', fc.tuple(side, fc.integer({ min: 1, max: 5 })), (world, [end, count]) => {
    for (const session of world.live(end)) for (let i = 0; i < count; i++) session.send()
  }),
  step(6, 'flush', fc.tuple(side, fc.constantFrom(1, 50, Infinity)), (world, [end, room]) => {
    for (const session of world.live(end)) session.take({ kind: 'flush', room })
  }),
  step(10, 'deliver', fc.tuple(side, fc.integer({ min: 0, max: 2 }), fc.integer({ min: 1, max: 6 })), (world, [end, back, count]) => {
    for (const wire of lastWires(world, back)) for (let i = 0; i < count; i++) world.deliver(wire, end)
  }),
  step(3, 'connect', fc.constant(0), world => { world.connect() }),
  step(2, 'cut, heard by dialer and listener', fc.tuple(fc.boolean(), fc.boolean()), (world, [dialer, listener]) => {
    for (const wire of lastWires(world, 0)) {
      wire.queues.dialer = dialer ? [{ kind: 'closed' }] : []
      wire.queues.listener = listener ? [{ kind: 'closed' }] : []
      wire.stalled.dialer = wire.stalled.listener = true
    }
  }),
  step(2, 'stall towards', side, (world, end) => { for (const wire of lastWires(world, 0)) wire.stalled[end] = true }),
  step(5, 'advance', fc.constantFrom(10, 60, 150, 450), (world, span) => {
    world.clock.skip(span)
    world.wake('dialer')
    world.wake('listener')
  }),
  step(2, 'stop while these send', fc.tuple(side, fc.constantFrom(300, 900, 1999, 2000, 5000)), (world, [end, span]) => {
    for (const session of world.live(end)) session.send()
    world.wake(end)
    world.clock.skip(span)
    for (const wire of lastWires(world, 0)) for (let i = 0; i < 4; i++) world.deliver(wire, other(end))
  }),
  step(1, 'restart', side, (world, end) => { world.restart(end) }),
  step(1, 'close', side, (world, end) => { for (const session of world.live(end)) session.end('closed') })
)

const limits: ReliabilityLimits = { ...BOUNDS, side: 'dialer' }

describe('reliability of a session', () => {
  it('delivers a prefix, in order, each once, of its own session only, and both ends agree in the end', () => {
    fc.assert(fc.property(fc.array(steps, { minLength: 5, maxLength: 120 }), sequence => {
      const world = new World()
      world.connect()
      for (const { run } of sequence) {
        run(world)
        world.check()
      }
      world.settle()
      world.check()
      world.checkAgreement()
    }), { seed: 20261203, numRuns: 1500 })
  })

  it('ends with overflow when more bytes wait for the peer than allowed', () => {
    const db = new ReliabilityDb({ ...limits, bufferLimit: 10 }, 0)
    expect(decide(db, { kind: 'send', now: 1, payload: new Uint8Array(11) })).toEqual([{ kind: 'end', reason: 'overflow' }])
  })

  it('ends with a protocol error when the peer confirms what was never sent or leaves a gap', () => {
    for (const frame of [{ kind: 'ack', ack: 1 }, { kind: 'data', ack: 0, first: 2, payloads: ['x'] }] as const) {
      const db = new ReliabilityDb(limits, 0)
      decide(db, { kind: 'attached', now: 1, connection: 1, received: 0 })
      const commands = decide<string>(db, { kind: 'frame', now: 2, connection: 1, frame, size: 1, wall: 2 })
      expect(commands.at(-1)).toEqual({ kind: 'end', reason: 'protocol-error' })
    }
  })

  it('sends heartbeats more seldom while no message flows', () => {
    const db = new ReliabilityDb(limits, 0)
    decide(db, { kind: 'attached', now: 0, connection: 1, received: 0 })
    const pings: number[] = []
    for (let now = nextWake(db); now < 2000; now = nextWake(db)) {
      for (const command of decide(db, { kind: 'wake', now })) {
        if (command.kind !== 'transmit' || command.frame.kind !== 'ping') continue
        pings.push(now)
        decide(db, { kind: 'frame', now, connection: 1, frame: { kind: 'pong', ack: db.acked, sentAt: now, wall: now }, size: 9, wall: now })
      }
      if (now === 900) {
        decide(db, { kind: 'send', now, payload: Buffer.from('x') })
        decide(db, { kind: 'flush', now, room: 1000 })
        decide(db, { kind: 'frame', now, connection: 1, frame: { kind: 'ack', ack: 1 }, size: 2, wall: now })
      }
    }
    expect(pings).toEqual([0, 100, 200, 300, 600, 900, 1000, 1100, 1200, 1500, 1800])
  })

  it('finds a silent connection later while it is idle, but not once a message waits', () => {
    const silentAfter = (sendAt: number): number => {
      const db = new ReliabilityDb({ ...limits, side: 'listener' }, 0)
      decide(db, { kind: 'attached', now: 0, connection: 1, received: 0 })
      const ping = { kind: 'ping', ack: 0, sentAt: 0, roundTrip: 0, offset: 0, next: 300 } as const
      decide(db, { kind: 'frame', now: 0, connection: 1, frame: ping, size: 9, wall: 0 })
      if (sendAt < Infinity) decide(db, { kind: 'send', now: sendAt, payload: Buffer.from('x') })
      if (sendAt < Infinity) decide(db, { kind: 'flush', now: sendAt, room: 1000 })
      return nextWake(db)
    }
    expect([silentAfter(Infinity), silentAfter(10), silentAfter(500)]).toEqual([600, 410, 600])
  })

  it('wants no wake after its end, and one at its expiry while there is no connection', () => {
    const db = new ReliabilityDb(limits, 5)
    expect(nextWake(db)).toEqual(5 + BOUNDS.expiry)
    decide(db, { kind: 'end', now: 6, reason: 'closed' })
    expect(nextWake(db)).toEqual(Infinity)
  })

  it('confirms a one-way stream by count, not by message', () => {
    const db = new ReliabilityDb({ ...limits, side: 'listener' }, 0)
    decide(db, { kind: 'attached', now: 1, connection: 1, received: 0 })
    const acks = Array.from({ length: 1024 }, (_, index) => decide<string>(db, {
      kind: 'frame', now: 2, connection: 1, frame: { kind: 'data', ack: 0, first: index + 1, payloads: ['x'] }, size: 20, wall: 2
    }).filter(command => command.kind === 'transmit').length)
    expect(acks.reduce((sum, count) => sum + count)).toEqual(4)
  })
})
