/** Specification of the handling of requests that end their upstreams. */
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
const print = (n: number, workspace = 'small'): RequestFingerprint =>
  ({ workspace: asId<WorkspaceId>(workspace), fingerprint: asId<Fingerprint>(`f${n}`) })

const crash = (db: QuarantineDb, of: RequestFingerprint, name: string, alone: boolean, now = 0, from: 'agent' | 'router' = 'agent'): QuarantineCommand[] =>
  decideQuarantine(db, { kind: 'crash-reported', now, ...of, upstream, crash: name, alone, from })

const arrive = (db: QuarantineDb, of: RequestFingerprint, now = 0): string =>
  decideQuarantine(db, { kind: 'request-arrived', now, ...of }).map(command => command.kind).join()

/** Two routers that hear of crashes, and upstreams that run requests as the isolation rule allows. */
class Fleet {
  readonly routers = [new QuarantineDb(config), new QuarantineDb(config)]
  readonly upstreams: Array<Array<{ print: RequestFingerprint, suspect: boolean, guilty: boolean, router: number }>> = [[], [], []]
  readonly ended = new Map<string, number>()
  innocentRefused = 0
  now = 0
  #crashes = 0

  arrive (print: RequestFingerprint, guilty: boolean, router: number, at: number): void {
    const verdict = arrive(this.routers[router]!, print, this.now)
    if (verdict === 'refuse' && !guilty) this.innocentRefused += 1
    if (verdict === 'refuse') return
    const running = this.upstreams[at]!
    const suspect = verdict === 'isolate'
    if (!mayRunConcurrently({ running: running.length, suspectRunning: running.some(each => each.suspect) }, suspect)) return
    if (guilty && this.upstreams.some(each => each.some(other => other.print.fingerprint === print.fingerprint))) return
    running.push({ print, suspect, guilty, router })
  }

  advance (at: number): void {
    const running = this.upstreams[at]!
    const first = running.find(each => each.guilty)
    this.upstreams[at] = []
    if (first === undefined) {
      for (const each of running) decideQuarantine(this.routers[each.router]!, { kind: 'request-completed', now: this.now, ...each.print })
      return
    }
    this.ended.set(first.print.fingerprint, (this.ended.get(first.print.fingerprint) ?? 0) + 1)
    const name = `c${this.#crashes++}`
    for (const each of running) this.#report(each.router, each.print, name, running.length === 1)
  }

  #report (router: number, of: RequestFingerprint, name: string, alone: boolean): void {
    for (const command of crash(this.routers[router]!, of, name, alone, this.now)) {
      const other = this.routers[1 - router]!
      if (command.kind === 'broadcast-crash') crash(other, of, name, alone, this.now, 'router')
      if (command.kind === 'broadcast-quarantine') decideQuarantine(other, { ...command, kind: 'quarantine-received', now: this.now })
    }
  }
}

describe('quarantine', () => {
  it('runs a suspect alone and refuses it when its upstream ends again', () => {
    const db = new QuarantineDb(config)
    expect(crash(db, print(1), 'c1', false).map(command => command.kind)).toEqual(['broadcast-crash'])
    expect(arrive(db, print(1))).toEqual('isolate')
    expect(crash(db, print(1), 'c2', true).map(command => command.kind)).toEqual(['broadcast-crash', 'broadcast-quarantine'])
    expect(decideQuarantine(db, { kind: 'request-arrived', now: 1_000, ...print(1) })).toEqual([{ kind: 'refuse', remaining: 599_000 }])
    expect(arrive(db, print(1), 600_000)).toEqual('admit')
  })

  it('counts a crash once, however often it is reported', () => {
    const db = new QuarantineDb(config)
    for (let n = 0; n < 5; n += 1) crash(db, print(1), 'c1', true)
    expect(arrive(db, print(1))).toEqual('isolate')
  })

  it('clears a suspect that completes, and lets suspicion lapse', () => {
    const db = new QuarantineDb(config)
    crash(db, print(1), 'c1', false)
    crash(db, print(2), 'c1', false)
    decideQuarantine(db, { kind: 'request-completed', now: 1, ...print(1) })
    expect([arrive(db, print(1)), arrive(db, print(2)), arrive(db, print(2), 60_000)]).toEqual(['admit', 'isolate', 'admit'])
  })

  it('keeps the largest remaining time, passes on only what is news, and trusts no peer beyond its own time', () => {
    const db = new QuarantineDb(config)
    const told = (remaining: number): QuarantineCommand[] => decideQuarantine(db, { kind: 'quarantine-received', now: 0, ...print(1), remaining })
    expect(told(5_000).map(command => command.kind)).toEqual(['broadcast-quarantine'])
    expect(told(9_000)).toEqual([])
    expect(told(1_000)).toEqual([])
    expect(db.remaining(print(1), 0)).toEqual(9_000)
    told(Number.MAX_VALUE)
    expect(db.remaining(print(1), 0)).toEqual(config.refuseMs)
  })

  it('lets no workspace fill the table or touch another', () => {
    const db = new QuarantineDb(config)
    crash(db, print(0, 'small'), 'c0', false)
    for (let n = 0; n < 100; n += 1) {
      crash(db, print(n, 'flood'), `a${n}`, true)
      crash(db, print(n, 'flood'), `b${n}`, true)
      crash(db, print(1_000 + n, 'flood'), `d${n}`, false)
    }
    expect(db.size).toEqual(2 * config.maxPerWorkspace + 1)
    expect([arrive(db, print(0, 'small')), arrive(db, print(99, 'small'))]).toEqual(['isolate', 'admit'])
    decideQuarantine(db, { kind: 'tick', now: 600_000 })
    expect(db.size).toEqual(0)
  })

  it('never refuses an innocent request, and lets a guilty one end no more upstreams than allowed', () => {
    const arrival = fc.record({ kind: fc.constant('arrive' as const), who: fc.nat(7), router: fc.nat(1), at: fc.nat(2) })
    const step = fc.oneof({ weight: 3, arbitrary: arrival }, { weight: 1, arbitrary: fc.record({ kind: fc.constant('advance' as const), at: fc.nat(2) }) })
    let guiltyRuns = 0
    fc.assert(fc.property(fc.array(step, { minLength: 30, maxLength: 120 }), steps => {
      const fleet = new Fleet()
      for (const each of steps) {
        fleet.now += 10
        if (each.kind === 'advance') fleet.advance(each.at)
        else fleet.arrive(print(each.who, each.who % 2 === 0 ? 'small' : 'large'), each.who < 2, each.router, each.at)
      }
      guiltyRuns += [...fleet.ended.values()].reduce((sum, count) => sum + count, 0)
      return fleet.innocentRefused === 0 && [...fleet.ended.values()].every(count => count <= config.crashes)
    }), { seed: SEED, numRuns: 3_000 })
    expect(guiltyRuns > 3_000).toEqual(true)
  })
})
