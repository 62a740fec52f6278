/** Tests of the quarantine of crash-causing requests. */
import { describe, it } from 'node:test'
import { asId, type Fingerprint, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { mayRunConcurrently } from './isolation.js'
import { decideQuarantine } from './quarantine.js'
import { QuarantineDb } from './quarantineDb.js'
import type { QuarantineCommand, QuarantineConfig, RequestFingerprint } from './quarantineTypes.js'

const SEED = 411
const config: QuarantineConfig = { crashes: 2, suspectMs: 60_000, refuseMs: 600_000, maxPerWorkspace: 4 }
const upstream = asId<UpstreamId>('u1')
const requestOf = (n: number, workspace = 'small'): RequestFingerprint =>
  ({ workspace: asId<WorkspaceId>(workspace), fingerprint: asId<Fingerprint>(`f${n}`) })

const crash = (db: QuarantineDb, request: RequestFingerprint, crashId: string, alone: boolean, now = 0, from: 'agent' | 'router' = 'agent'): QuarantineCommand[] =>
  decideQuarantine(db, { kind: 'crash-reported', now, ...request, upstream, crash: crashId, alone, from })

const arrive = (db: QuarantineDb, request: RequestFingerprint, now = 0): string =>
  decideQuarantine(db, { kind: 'request-arrived', now, ...request }).map(command => command.kind).join()

/** Two routers that exchange crash reports, and upstreams that run requests under the isolation rule. */
class Fleet {
  readonly routers = [new QuarantineDb(config), new QuarantineDb(config)]
  readonly upstreams: Array<Array<{ request: RequestFingerprint, suspect: boolean, causesCrash: boolean, router: number }>> = [[], [], []]
  readonly crashesByFingerprint = new Map<string, number>()
  harmlessRefused = 0
  now = 0
  #crashes = 0

  arrive (request: RequestFingerprint, causesCrash: boolean, router: number, upstreamIndex: number): void {
    const verdict = arrive(this.routers[router]!, request, this.now)
    if (verdict === 'refuse' && !causesCrash) this.harmlessRefused += 1
    if (verdict === 'refuse') return
    const running = this.upstreams[upstreamIndex]!
    const suspect = verdict === 'isolate'
    if (!mayRunConcurrently({ running: running.length, suspectRunning: running.some(each => each.suspect) }, suspect)) return
    if (causesCrash && this.upstreams.some(each => each.some(other => other.request.fingerprint === request.fingerprint))) return
    running.push({ request, suspect, causesCrash, router })
  }

  /** Ends all requests at an upstream: they complete, unless a crash-causing one among them crashes it. */
  advance (upstreamIndex: number): void {
    const running = this.upstreams[upstreamIndex]!
    const crashCausing = running.find(each => each.causesCrash)
    this.upstreams[upstreamIndex] = []
    if (crashCausing === undefined) {
      for (const each of running) decideQuarantine(this.routers[each.router]!, { kind: 'request-completed', now: this.now, ...each.request })
      return
    }
    this.crashesByFingerprint.set(crashCausing.request.fingerprint, (this.crashesByFingerprint.get(crashCausing.request.fingerprint) ?? 0) + 1)
    const crashId = `c${this.#crashes++}`
    for (const each of running) this.#report(each.router, each.request, crashId, running.length === 1)
  }

  #report (router: number, request: RequestFingerprint, crashId: string, alone: boolean): void {
    for (const command of crash(this.routers[router]!, request, crashId, alone, this.now)) {
      const other = this.routers[1 - router]!
      if (command.kind === 'broadcast-crash') crash(other, request, crashId, alone, this.now, 'router')
      if (command.kind === 'broadcast-quarantine') decideQuarantine(other, { ...command, kind: 'quarantine-received', now: this.now })
    }
  }
}

describe('quarantine', () => {
  it('isolates a suspect and refuses it when its upstream crashes again', () => {
    const db = new QuarantineDb(config)
    expect(crash(db, requestOf(1), 'c1', false).map(command => command.kind)).toEqual(['broadcast-crash'])
    expect(arrive(db, requestOf(1))).toEqual('isolate')
    expect(crash(db, requestOf(1), 'c2', true).map(command => command.kind)).toEqual(['broadcast-crash', 'broadcast-quarantine'])
    expect(decideQuarantine(db, { kind: 'request-arrived', now: 1_000, ...requestOf(1) })).toEqual([{ kind: 'refuse', remaining: 599_000 }])
    expect(arrive(db, requestOf(1), 600_000)).toEqual('admit')
  })

  it('counts a crash once, however often it is reported', () => {
    const db = new QuarantineDb(config)
    for (let n = 0; n < 5; n += 1) crash(db, requestOf(1), 'c1', true)
    expect(arrive(db, requestOf(1))).toEqual('isolate')
  })

  it('clears a suspect that completes, and lets suspicion expire', () => {
    const db = new QuarantineDb(config)
    crash(db, requestOf(1), 'c1', false)
    crash(db, requestOf(2), 'c1', false)
    decideQuarantine(db, { kind: 'request-completed', now: 1, ...requestOf(1) })
    expect([arrive(db, requestOf(1)), arrive(db, requestOf(2)), arrive(db, requestOf(2), 60_000)]).toEqual(['admit', 'isolate', 'admit'])
  })

  it('keeps the longest remaining time, broadcasts new refusals only, and caps the time from a peer at its own', () => {
    const db = new QuarantineDb(config)
    const receive = (remaining: number): QuarantineCommand[] => decideQuarantine(db, { kind: 'quarantine-received', now: 0, ...requestOf(1), remaining })
    expect(receive(5_000).map(command => command.kind)).toEqual(['broadcast-quarantine'])
    expect(receive(9_000)).toEqual([])
    expect(receive(1_000)).toEqual([])
    expect(db.remaining(requestOf(1), 0)).toEqual(9_000)
    receive(Number.MAX_VALUE)
    expect(db.remaining(requestOf(1), 0)).toEqual(config.refuseMs)
  })

  it('bounds the table of each workspace and keeps workspaces independent', () => {
    const db = new QuarantineDb(config)
    crash(db, requestOf(0, 'small'), 'c0', false)
    for (let n = 0; n < 100; n += 1) {
      crash(db, requestOf(n, 'flood'), `a${n}`, true)
      crash(db, requestOf(n, 'flood'), `b${n}`, true)
      crash(db, requestOf(1_000 + n, 'flood'), `d${n}`, false)
    }
    expect(db.size).toEqual(2 * config.maxPerWorkspace + 1)
    expect([arrive(db, requestOf(0, 'small')), arrive(db, requestOf(99, 'small'))]).toEqual(['isolate', 'admit'])
    decideQuarantine(db, { kind: 'tick', now: 600_000 })
    expect(db.size).toEqual(0)
  })

  it('never refuses a harmless request, and allows no more than the configured crashes by a crash-causing one', () => {
    const arrival = fc.record({ kind: fc.constant('arrive' as const), requestNumber: fc.nat(7), router: fc.nat(1), upstreamIndex: fc.nat(2) })
    const step = fc.oneof({ weight: 3, arbitrary: arrival }, { weight: 1, arbitrary: fc.record({ kind: fc.constant('advance' as const), upstreamIndex: fc.nat(2) }) })
    let crashingRuns = 0
    fc.assert(fc.property(fc.array(step, { minLength: 30, maxLength: 120 }), steps => {
      const fleet = new Fleet()
      for (const each of steps) {
        fleet.now += 10
        if (each.kind === 'advance') fleet.advance(each.upstreamIndex)
        else fleet.arrive(requestOf(each.requestNumber, each.requestNumber % 2 === 0 ? 'small' : 'large'), each.requestNumber < 2, each.router, each.upstreamIndex)
      }
      crashingRuns += [...fleet.crashesByFingerprint.values()].reduce((sum, count) => sum + count, 0)
      return fleet.harmlessRefused === 0 && [...fleet.crashesByFingerprint.values()].every(count => count <= config.crashes)
    }), { seed: SEED, numRuns: 3_000 })
    expect(crashingRuns > 3_000).toEqual(true)
  })
})
