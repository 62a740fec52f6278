/** Tests of the adaptive concurrency limit. */
import { describe, it } from 'node:test'
import { asId, type RequestId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { decideLimit } from './limit.js'
import { LimitDb } from './limitDb.js'
import type { LimitCommand, LimitConfig, LimitEvent } from './limitTypes.js'
import { UpstreamModel, type UpstreamModelConfig } from './upstreamModel.js'

const SEED = 20_261
const STEP_MS = 50
/** Milliseconds between two rounds of requests to a plain service. */
const ROUND_MS = 200

const uniform = (seed: number): () => number => {
  const source = xoroshiro128plus(seed)
  return () => (source.next() >>> 0) / 2 ** 32
}

const config: LimitConfig = {
  target: { kind: 'model', firstToken: 1_700, tokenGap: 59 }, coldConcurrency: 2, hardCap: 512, probeBaseMs: 500, probeMaxMs: 10_000
}

const id = (n: number): RequestId => asId<RequestId>(`q${n}`)

/** Agent with unlimited demand in front of a simulated engine. */
class SimulatedAgent {
  readonly db: LimitDb
  readonly random: () => number
  readonly model: UpstreamModel
  now = 0
  started = 0
  probes: number[] = []
  pendingReports: Array<{ at: number, running: number }> = []

  constructor (seed: number, model: Partial<UpstreamModelConfig> = {}, readonly sendsLoadReports = false, cfg = config) {
    this.random = uniform(seed)
    this.db = new LimitDb(cfg)
    const coldShare = Math.max(0.1, cfg.coldConcurrency / (model.knee ?? 40))
    this.model = new UpstreamModel({ knee: 40, coldShare, warmAfter: 60, crashFactor: 1.6, tokens: 60, random: this.random, ...model })
  }

  send (event: LimitEvent): void {
    const commands: LimitCommand[] = decideLimit(this.db, event)
    if (!commands.some(command => command.kind === 'probe')) return
    this.probes.push(this.now)
    this.send({ kind: 'probe-ended', now: this.now, ok: true })
  }

  run (seconds: number, each: () => void = () => {}): void {
    for (const end = this.now + seconds * 1_000; this.now < end;) {
      this.now += STEP_MS
      for (const event of this.model.step(this.now, STEP_MS)) this.send(event)
      this.send({ kind: 'tick', now: this.now, random: this.random() })
      if (this.sendsLoadReports) this.report()
      while (this.model.running.size < this.db.effectiveLimit(this.now)) {
        this.send(this.model.start(this.now))
        this.started += 1
      }
      each()
    }
  }

  report (): void {
    this.pendingReports.push({ at: this.now, running: this.model.running.size })
    if (this.now % 1_000 !== 0 || this.pendingReports.length < 40) return
    const { at, running } = this.pendingReports.splice(0, this.pendingReports.length - 40)[0] ?? { at: this.now, running: 0 }
    const batch = Math.floor(this.model.config.knee * 1.2)
    this.send({ kind: 'load-report', now: this.now, age: this.now - at, running: Math.min(running, batch), waiting: Math.max(0, running - batch) })
  }
}

describe('limit', () => {
  it('starts cold with coldConcurrency and publishes this once', () => {
    const db = new LimitDb(config)
    expect(decideLimit(db, { kind: 'tick', now: 0, random: 0 })).toEqual([
      { kind: 'limit-changed', limit: 2, reason: 'start' }, { kind: 'state-changed', state: 'cold', reason: 'start' }
    ])
    expect(decideLimit(db, { kind: 'tick', now: 1, random: 0 })).toEqual([])
  })

  it('does not grow with time alone, nor while slots are free', () => {
    const db = new LimitDb(config)
    for (let n = 0; n < 100; n += 1) {
      decideLimit(db, { kind: 'started', now: n, request: id(n) })
      decideLimit(db, { kind: 'first-byte', now: n, request: id(n), latency: 100 })
      decideLimit(db, { kind: 'ended', now: n, request: id(n), ok: true, duration: 10 })
    }
    decideLimit(db, { kind: 'tick', now: 3_600_000, random: 0 })
    expect(db.limit).toEqual(2)
  })

  it('converges near any knee, with or without delayed load reports', () => {
    fc.assert(fc.property(fc.integer({ min: 4, max: 160 }), fc.boolean(), fc.nat(), (knee, reports, seed) => {
      const agent = new SimulatedAgent(seed, { knee }, reports)
      agent.run(240)
      const limits: number[] = []
      agent.run(60, () => { limits.push(agent.db.effectiveLimit(agent.now)) })
      const mean = limits.reduce((sum, limit) => sum + limit, 0) / limits.length
      return mean >= 0.8 * knee - 0.5 && mean <= 1.1 * knee && agent.model.crashCount === 0
    }), { seed: SEED, numRuns: 20 })
  })

  it('never exceeds the capacity of a cold engine that warms up with its completed requests', () => {
    fc.assert(fc.property(fc.integer({ min: 20, max: 120 }), fc.integer({ min: 10, max: 300 }), fc.nat(), (knee, warmAfter, seed) => {
      const agent = new SimulatedAgent(seed, { knee, warmAfter })
      agent.run(120)
      return agent.model.crashCount === 0
    }), { seed: SEED, numRuns: 20 })
  })

  it('detects an engine that turns cold without notice, and starts only a few requests before that', () => {
    fc.assert(fc.property(fc.nat(), seed => {
      const agent = new SimulatedAgent(seed, { crashFactor: Infinity, tokens: 200 })
      agent.model.makeWarm()
      agent.run(240)
      agent.model.makeCold()
      const before = agent.started
      agent.run(15)
      return agent.db.state === 'cold' && agent.db.limit <= config.coldConcurrency && agent.started - before <= 10
    }), { seed: SEED, numRuns: 20 })
  })

  it('does not treat one short stall as overload or as a cold start', () => {
    const agent = new SimulatedAgent(5, { crashFactor: Infinity, tokens: 600 })
    agent.model.makeWarm()
    agent.run(120)
    agent.run(20, () => { if (agent.db.state !== 'ready') throw new Error('the upstream left the ready state under steady load') })
    const { limit } = agent.db
    agent.now += STEP_MS
    for (const request of agent.model.running.keys()) agent.send({ kind: 'token-gap', now: agent.now, request, gap: 240 })
    expect([agent.db.limit, agent.db.state]).toEqual([limit, 'ready'])
  })

  it('does not treat a pause of its own process as a slow upstream', () => {
    const agent = new SimulatedAgent(3, { crashFactor: Infinity })
    agent.model.makeWarm()
    agent.run(120)
    const { limit, state } = agent.db
    agent.now += 30_000
    for (const event of agent.model.step(agent.now, STEP_MS)) {
      agent.send(event.kind === 'token-gap' ? { ...event, gap: 30_000 } : event.kind === 'first-byte' ? { ...event, latency: 30_000 } : event)
    }
    agent.run(1)
    expect(state).toEqual('ready')
    expect([agent.db.limit >= limit, agent.db.state]).toEqual([true, 'ready'])
  })

  it('goes down at once when the connection is refused, and probes one at a time with exponential backoff and jitter', () => {
    const db = new LimitDb(config)
    decideLimit(db, { kind: 'started', now: 0, request: id(1) })
    const failed = decideLimit(db, { kind: 'failed', now: 1, request: id(1), reason: 'refused' })
    expect(failed.map(command => command.kind)).toEqual(['limit-changed', 'state-changed'])
    const probes: number[] = []
    for (let now = 2; now < 20_000; now += 1) {
      const probe = decideLimit(db, { kind: 'tick', now, random: 0.5 }).some(command => command.kind === 'probe')
      if (!probe) continue
      probes.push(now)
      expect(decideLimit(db, { kind: 'tick', now: now + 0.5, random: 0.5 })).toEqual([])
      decideLimit(db, { kind: 'probe-ended', now, ok: false })
    }
    expect(probes).toEqual([502, 1_503, 3_504, 7_505, 15_506])
    expect(db.effectiveLimit(20_000)).toEqual(0)
  })

  it('goes down after three consecutive timeouts; a successful response resets the count', () => {
    const db = new LimitDb(config)
    const ends: LimitEvent[] = ['timeout', 'timeout', 'ok', 'timeout', 'timeout', 'timeout'].map((end, n) => end === 'ok'
      ? { kind: 'ended', now: n, request: id(n), ok: true, duration: 1 }
      : { kind: 'failed', now: n, request: id(n), reason: 'timeout' })
    const states = ends.map((event, n) => {
      decideLimit(db, { kind: 'started', now: n, request: id(n) })
      decideLimit(db, event)
      return db.state
    })
    expect(states).toEqual(['cold', 'cold', 'cold', 'cold', 'cold', 'down'])
  })

  it('decreases once for all requests of one epoch that are rejected as overloaded', () => {
    const db = new LimitDb({ ...config, coldConcurrency: 1 })
    db.setState('ready', 'test')
    db.setLimit(30, 0, 'test')
    for (let n = 0; n < 10; n += 1) decideLimit(db, { kind: 'started', now: 1, request: id(n) })
    for (let n = 0; n < 10; n += 1) decideLimit(db, { kind: 'failed', now: 2, request: id(n), reason: 'overloaded' })
    expect(db.limit).toEqual(20)
  })

  it('returns to cold on a load report, but not on an outdated one', () => {
    const db = new LimitDb(config)
    db.setState('ready', 'test')
    db.setLimit(30, 1_000, 'test')
    const report = (age: number): LimitEvent => ({ kind: 'load-report', now: 2_000, age, running: 3, waiting: 0, cold: true })
    decideLimit(db, report(1_001))
    expect([db.state, db.limit]).toEqual(['ready', 30])
    decideLimit(db, report(500))
    expect([db.state, db.limit]).toEqual(['cold', 2])
  })

  it('leaves the down state for cold', () => {
    const agent = new SimulatedAgent(1)
    agent.model.makeWarm()
    agent.run(120)
    for (const request of agent.model.running.keys()) agent.send({ kind: 'failed', now: agent.now, request, reason: 'crashed' })
    agent.model.running.clear()
    agent.model.makeCold()
    agent.run(2)
    expect(agent.probes.length).toEqual(1)
    expect(agent.db.state).toEqual('cold')
    expect(agent.model.running.size).toEqual(2)
  })

  it('holds its invariants over any sequence of events', () => {
    const span = fc.integer({ min: 0, max: 5_000 })
    const request = fc.integer({ min: 0, max: 9 }).map(id)
    const reason = fc.constantFrom('crashed', 'refused', 'timeout', 'overloaded')
    const event = fc.oneof(
      fc.record({ kind: fc.constant('started'), request }),
      fc.record({ kind: fc.constant('first-byte'), request, latency: span }),
      fc.record({ kind: fc.constant('token-gap'), request, gap: span }),
      fc.record({ kind: fc.constant('ended'), request, ok: fc.boolean(), duration: span }),
      fc.record({ kind: fc.constant('failed'), request, reason }),
      fc.record({ kind: fc.constant('load-report'), age: span, running: fc.nat(20), waiting: fc.nat(3), cold: fc.boolean() }),
      fc.record({ kind: fc.constant('probe-ended'), ok: fc.boolean() }),
      fc.record({ kind: fc.constant('restarted') }),
      fc.record({ kind: fc.constant('tick'), random: fc.constantFrom(0, 0.5, 0.99) }))
    fc.assert(fc.property(fc.array(fc.tuple(span, event), { maxLength: 200 }), steps => {
      const db = new LimitDb({ ...config, hardCap: 16 })
      let now = 0
      let probing = false
      for (const [wait, body] of steps) {
        now += wait
        const probed = decideLimit(db, { ...body, now } as LimitEvent).filter(command => command.kind === 'probe').length
        if (body.kind === 'probe-ended' || db.state !== 'down') probing = false
        if (probed > (probing ? 0 : 1)) return false
        probing ||= probed > 0
        const limit = db.effectiveLimit(now)
        if (db.state === 'down' ? limit !== 0 : limit < 1 || limit > 16) return false
        if (body.kind === 'restarted' && db.limit > config.coldConcurrency) return false
      }
      return true
    }), { seed: SEED, numRuns: 500 })
  })

  it('uses a load report as an upper bound until it expires, and never to increase the limit', () => {
    const db = new LimitDb({ ...config, coldConcurrency: 8 })
    // A request that was just admitted waits briefly; a standing queue shows up in every report.
    for (const now of [1_000, 1_500]) {
      decideLimit(db, { kind: 'load-report', now, age: 500, running: 3, waiting: 2 })
      expect(db.effectiveLimit(now)).toEqual(8)
    }
    decideLimit(db, { kind: 'load-report', now: 2_000, age: 1_000, running: 3, waiting: 2 })
    expect([db.effectiveLimit(2_001), db.effectiveLimit(5_999), db.effectiveLimit(6_000)]).toEqual([5, 5, 8])
    decideLimit(db, { kind: 'load-report', now: 7_000, age: 0, running: 50, waiting: 0 })
    expect(db.effectiveLimit(7_000)).toEqual(8)
  })

  it('is not held down by load reports that count newly admitted requests as waiting', () => {
    const db = new LimitDb({ ...config, coldConcurrency: 2, hardCap: 8 })
    for (const now of [500, 1_000, 1_500, 2_000]) decideLimit(db, { kind: 'load-report', now, age: 200, running: 2, waiting: 1 })
    for (let now = 2_500; now < 20_000; now += 100) {
      const running = db.effectiveLimit(now)
      if (now % 500 === 0) decideLimit(db, { kind: 'load-report', now, age: 200, running, waiting: 1 })
      for (let n = 0; n < running; n += 1) {
        decideLimit(db, { kind: 'started', now, request: id(now + n) })
        decideLimit(db, { kind: 'first-byte', now: now + 50, request: id(now + n), latency: 50 })
      }
      for (let n = 0; n < running; n += 1) decideLimit(db, { kind: 'ended', now: now + 99, request: id(now + n), ok: true, duration: 99 })
    }
    expect(db.effectiveLimit(20_000)).toEqual(8)
  })

  it('ignores a load report measured before the last change of the limit', () => {
    const db = new LimitDb({ ...config, coldConcurrency: 8 })
    decideLimit(db, { kind: 'restarted', now: 1_500 })
    decideLimit(db, { kind: 'load-report', now: 2_000, age: 1_000, running: 5, waiting: 3 })
    expect(db.effectiveLimit(2_000)).toEqual(8)
  })

  it('measures the base latency from completed requests only', () => {
    const db = new LimitDb({ ...config, target: { kind: 'plain', factor: 2 } })
    for (let n = 0; n < 6; n += 1) {
      decideLimit(db, { kind: 'started', now: n * 100, request: id(n) })
      decideLimit(db, { kind: 'tick', now: n * 100 + 1, random: 0 })
      decideLimit(db, { kind: 'first-byte', now: n * 100 + 40, request: id(n), latency: 40 })
      decideLimit(db, { kind: 'ended', now: n * 100 + 40, request: id(n), ok: true, duration: 40 })
    }
    // The target derived from the base latency applies above light load only.
    expect(db.target('first-byte')).toEqual(Infinity)
    for (let n = 0; n <= config.coldConcurrency; n += 1) decideLimit(db, { kind: 'started', now: 600, request: id(10 + n) })
    expect(db.target('first-byte')).toEqual(80)
  })

  it('does not treat a plain service as overloaded because a few of its requests are slow', () => {
    const db = new LimitDb({ ...config, target: { kind: 'plain', factor: 3 }, coldConcurrency: 2, hardCap: 4 })
    const random = uniform(11)
    for (let round = 0; round < 300; round += 1) {
      const batch = Array.from({ length: db.effectiveLimit(round * ROUND_MS) }, (_, n) => id(round * 100 + n))
      for (const request of batch) decideLimit(db, { kind: 'started', now: round * ROUND_MS, request })
      for (const request of batch) {
        const latency = random() < 0.1 ? 200 : 40
        decideLimit(db, { kind: 'first-byte', now: round * ROUND_MS, request, latency })
        decideLimit(db, { kind: 'ended', now: round * ROUND_MS, request, ok: true, duration: latency })
      }
    }
    expect(db.limit).toEqual(4)
  })

  it('never learns the latency under overload as the base latency', () => {
    const db = new LimitDb({ ...config, target: { kind: 'plain', factor: 2 }, hardCap: 1_000 })
    for (let round = 0; round < 2_000; round += 1) {
      const batch = Array.from({ length: db.effectiveLimit(round * ROUND_MS) }, (_, n) => id(round * 1_000 + n))
      for (const request of batch) decideLimit(db, { kind: 'started', now: round * ROUND_MS, request })
      for (const request of batch) {
        decideLimit(db, { kind: 'first-byte', now: round * ROUND_MS, request, latency: 20 * Math.max(1, batch.length / 10) })
        decideLimit(db, { kind: 'ended', now: round * ROUND_MS, request, ok: true, duration: 1 })
      }
    }
    expect(db.limit <= 20).toEqual(true)
  })

  it('keeps a plain service within a multiple of its base latency and under the hard cap', () => {
    const plain: LimitConfig = { ...config, target: { kind: 'plain', factor: 2 }, hardCap: 24 }
    const db = new LimitDb(plain)
    const random = uniform(7)
    for (let round = 0; round < 400; round += 1) {
      const batch = Array.from({ length: db.effectiveLimit(round * ROUND_MS) }, (_, n) => id(round * 100 + n))
      for (const request of batch) decideLimit(db, { kind: 'started', now: round * ROUND_MS, request })
      const latency = 20 * Math.max(1, batch.length / 12) * (0.95 + 0.1 * random())
      for (const request of batch) {
        decideLimit(db, { kind: 'first-byte', now: round * ROUND_MS, request, latency })
        decideLimit(db, { kind: 'ended', now: round * ROUND_MS, request, ok: true, duration: latency })
      }
    }
    expect(db.limit >= 18 && db.limit <= 24).toEqual(true)
  })
})
