/** Specification of idempotency keys at their homes. */
import { before, describe, it } from 'node:test'
import { asId, type Fingerprint, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { HomeHistory } from './homeHistory.js'
import { keyHome } from './keyHome.js'
import { decideKeys } from './keys.js'
import { KeysDb } from './keysDb.js'
import type { KeysCommand, KeysConfig, StoredAnswer } from './keysTypes.js'
import { hashMembers, loadStringHash, rendezvous, type StringHash } from './rendezvous.js'
import { uuidTime } from './uuidTime.js'

const SEED = 3_117
const EPOCH = 1_700_000_000_000
const service = asId<ServiceId>('ledger')
const workspace = asId<WorkspaceId>('small')
const fingerprint = asId<Fingerprint>('f')
const upstreams = ['u0', 'u1', 'u2', 'u3'].map(name => asId<UpstreamId>(name))
const lists = [upstreams.slice(0, 3), upstreams.slice(1), upstreams.slice(0, 2), upstreams]
const config: KeysConfig = {
  window: 10_000, callerSkew: 300, hostSkew: 200, spread: 2_000, maxKeys: 4, answerBytes: 100, storeBytes: 250, maxWaiters: 2
}
const stored: StoredAnswer = { status: 201, headers: [], body: new Uint8Array(90) }
const request = (n: number): RequestId => asId<RequestId>(`r${n}`)

const uuidAt = (time: number, n: number): string => {
  const hex = time.toString(16).padStart(12, '0')
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${n.toString(16).padStart(12, '0')}`
}

let hash: StringHash

/** A home that has run long enough to trust itself, and the only upstream of its service. */
const settled = (cfg: Partial<KeysConfig> = {}): KeysDb => {
  const db = new KeysDb(upstreams[0]!, { ...config, ...cfg }, hash)
  decideKeys(db, { kind: 'upstreams-listed', now: 0, wall: EPOCH, service, upstreams: [upstreams[0]!] })
  return db
}

const present = (db: KeysDb, now: number, key: string, n: number, print = fingerprint): KeysCommand[] =>
  decideKeys(db, { kind: 'key-presented', now, wall: EPOCH + now, service, workspace, key, request: request(n), fingerprint: print })

const name = (key: string): { service: ServiceId, workspace: WorkspaceId, key: string } => ({ service, workspace, key })

/** Homes, routers, clocks and a publisher; every run is counted. */
class Fleet {
  now = 0
  published = { list: 0, at: -Infinity, before: 0 }
  readonly runs = new Map<string, number>()
  readonly sent = new Map<string, number>()
  readonly running: Array<{ home: number, key: string, request: RequestId }> = []
  readonly keys: string[] = []
  readonly homes: Array<{ db: KeysDb, list: number, offset: number }>
  #requests = 0

  constructor (readonly config: KeysConfig, offsets: readonly number[]) {
    this.homes = upstreams.map((_, i) => this.boot(i, offsets[i] ?? 0))
  }

  boot (i: number, offset: number): { db: KeysDb, list: number, offset: number } {
    const db = new KeysDb(upstreams[i]!, this.config, hash)
    const home = { db, list: -1, offset }
    this.learn(home, this.view())
    return home
  }

  /** A view of the configuration: within the spread the older one may still hold. */
  view (stale = false): number {
    return stale && this.now - this.published.at < this.config.spread ? this.published.before : this.published.list
  }

  learn (home: { db: KeysDb, list: number, offset: number }, list: number): void {
    home.list = list
    decideKeys(home.db, { kind: 'upstreams-listed', now: this.now, wall: EPOCH + this.now + home.offset, service, upstreams: lists[list]! })
  }

  catchUp (): void {
    if (this.now - this.published.at < this.config.spread) return
    for (const home of this.homes) if (home.list !== this.published.list) this.learn(home, this.published.list)
  }

  present (slot: number, timed: boolean, callerOffset: number, stale: boolean): void {
    const first = this.sent.get(this.keys[slot] ?? '')
    const life = uuidTime(this.keys[slot] ?? '') === undefined ? this.config.window : 4 * this.config.window
    if (first === undefined || this.now - first > life) {
      this.keys[slot] = timed ? uuidAt(EPOCH + this.now + callerOffset, this.#requests) : `k${this.#requests}`
      this.sent.set(this.keys[slot], this.now)
    }
    const key = this.keys[slot]!
    const chosen = keyHome(hash, name(key), hashMembers(hash, lists[this.view(stale)]!))
    const i = upstreams.indexOf(chosen!)
    const home = this.homes[i]!
    const commands = decideKeys(home.db, {
      kind: 'key-presented', now: this.now, wall: EPOCH + this.now + home.offset, ...name(key), request: request(this.#requests++), fingerprint
    })
    this.carryOut(i, key, commands)
  }

  carryOut (home: number, key: string, commands: KeysCommand[]): void {
    for (const command of commands) {
      if (command.kind !== 'run') continue
      this.runs.set(key, (this.runs.get(key) ?? 0) + 1)
      this.running.push({ home, key, request: command.request })
    }
  }

  finish (outcome: 'answer' | 'not-run' | 'unknown' | 'ran'): void {
    const run = this.running.shift()
    if (run === undefined) return
    const { db } = this.homes[run.home]!
    if (outcome === 'not-run') this.runs.set(run.key, (this.runs.get(run.key) ?? 0) - 1)
    const commands = outcome === 'answer'
      ? decideKeys(db, { kind: 'answer-recorded', now: this.now, ...name(run.key), answer: stored })
      : decideKeys(db, { kind: 'run-failed', now: this.now, ...name(run.key), outcome })
    this.carryOut(run.home, run.key, commands)
  }

  restart (i: number): void {
    const offset = this.homes[i]!.offset
    for (let n = this.running.length - 1; n >= 0; n -= 1) if (this.running[n]!.home === i) this.running.splice(n, 1)
    this.homes[i] = this.boot(i, offset)
  }

  publish (list: number): void {
    if (this.now - this.published.at < this.config.spread) return
    this.published = { list, at: this.now, before: this.published.list }
  }
}

describe('keys', () => {
  before(async () => { hash = await loadStringHash() })

  it('runs a new key once, lets a second request wait, and gives both the first answer', () => {
    const db = settled()
    const key = uuidAt(EPOCH + 20_000, 1)
    expect(present(db, 20_000, key, 1)).toEqual([{ kind: 'run', request: request(1) }])
    expect(present(db, 20_001, key, 2)).toEqual([{ kind: 'wait', request: request(2), first: request(1) }])
    const answered = decideKeys(db, { kind: 'answer-recorded', now: 20_002, ...name(key), answer: stored })
    expect(answered).toEqual([{ kind: 'replay', request: request(2), answer: stored }])
    expect(present(db, 20_003, key, 3)).toEqual([{ kind: 'replay', request: request(3), answer: stored }])
  })

  it('refuses the same key with another request', () => {
    const db = settled()
    present(db, 20_000, 'k', 1)
    expect(present(db, 20_001, 'k', 2, asId<Fingerprint>('other'))).toEqual([{ kind: 'conflict', request: request(2) }])
  })

  it('hands the run to the first waiter when it is known not to have run', () => {
    const db = settled()
    present(db, 20_000, 'k', 1)
    present(db, 20_001, 'k', 2)
    expect(decideKeys(db, { kind: 'run-failed', now: 20_002, ...name('k'), outcome: 'not-run' })).toEqual([{ kind: 'run', request: request(2) }])
  })

  it('answers unknown after an empty start: opaque keys for the window, timed keys by their time', () => {
    const db = settled()
    const allowance = config.callerSkew + config.hostSkew + config.spread
    expect(present(db, 11_900, 'k', 1)[0]?.kind).toEqual('answer-unknown')
    expect(present(db, 12_000, 'k', 2)[0]?.kind).toEqual('run')
    expect(present(db, 3_000, uuidAt(EPOCH + allowance, 3), 3)[0]?.kind).toEqual('answer-unknown')
    expect(present(db, 3_000, uuidAt(EPOCH + allowance + 1, 4), 4)[0]?.kind).toEqual('run')
  })

  it('refuses a key from the future, whose time would prove nothing after a restart', () => {
    expect(present(settled(), 2_000, uuidAt(EPOCH + 2_301, 1), 1)).toEqual([{ kind: 'refuse', request: request(1), reason: 'key-from-future' }])
  })

  it('keeps only the outcome of a large answer, and of the oldest ones when bytes run out', () => {
    const db = settled()
    for (let n = 0; n < 3; n += 1) {
      present(db, 20_000, `k${n}`, n)
      decideKeys(db, { kind: 'answer-recorded', now: 20_000, ...name(`k${n}`), answer: stored })
    }
    expect(present(db, 20_001, 'k0', 8)).toEqual([{ kind: 'answer-ran', request: request(8) }])
    expect(present(db, 20_001, 'k2', 9)[0]?.kind).toEqual('replay')
    expect(db.bytes).toEqual(180)
  })

  it('does not run a key again after it had to be forgotten for others', () => {
    const db = settled()
    for (let n = 0; n < 6; n += 1) {
      present(db, 20_000, uuidAt(EPOCH + 20_000 + n, n), n)
      decideKeys(db, { kind: 'run-failed', now: 20_000, ...name(uuidAt(EPOCH + 20_000 + n, n)), outcome: 'ran' })
    }
    expect(present(db, 20_001, uuidAt(EPOCH + 20_000, 0), 7)).toEqual([{ kind: 'answer-unknown', request: request(7) }])
  })

  it('runs no key twice, over restarts, moved homes, stale views, skewed clocks and evictions, and stays bounded', () => {
    const op = fc.oneof(
      { weight: 8, arbitrary: fc.record({ op: fc.constant('present' as const), slot: fc.nat(7), timed: fc.boolean(), caller: fc.double({ min: -3, max: 3, noNaN: true }), stale: fc.boolean() }) },
      { weight: 4, arbitrary: fc.record({ op: fc.constant('finish' as const), outcome: fc.constantFrom('answer' as const, 'not-run' as const, 'unknown' as const, 'ran' as const) }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('restart' as const), home: fc.nat(3) }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('publish' as const), list: fc.nat(3) }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('learn' as const), home: fc.nat(3) }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('tick' as const) }) })
    const wait = fc.oneof(fc.nat(300), fc.nat(300), fc.nat(4_000))
    const configs: KeysConfig[] = [config, { ...config, window: 4_000, spread: 3_000, callerSkew: 50, hostSkew: 20 }, { ...config, spread: 100, callerSkew: 900, hostSkew: 600 }]
    const skews = fc.array(fc.double({ min: -0.5, max: 0.5, noNaN: true }), { minLength: 4, maxLength: 4 })
    let runs = 0
    const run = (chosen: KeysConfig): void => fc.assert(fc.property(skews, fc.array(fc.tuple(wait, op), { minLength: 40, maxLength: 160 }), (shares, steps) => {
      const fleet = new Fleet(chosen, shares.map(share => Math.round(share * chosen.hostSkew)))
      for (const [span, step] of steps) {
        fleet.now += span
        fleet.catchUp()
        if (step.op === 'present') fleet.present(step.slot, step.timed, Math.round(step.caller * chosen.callerSkew), step.stale)
        if (step.op === 'finish') fleet.finish(step.outcome)
        if (step.op === 'restart') fleet.restart(step.home)
        if (step.op === 'publish') fleet.publish(step.list)
        if (step.op === 'learn') fleet.learn(fleet.homes[step.home]!, fleet.published.list)
        if (step.op === 'tick') for (const home of fleet.homes) decideKeys(home.db, { kind: 'tick', now: fleet.now })
        for (const home of fleet.homes) if (home.db.size > config.maxKeys || home.db.bytes > config.storeBytes) return false
      }
      runs += [...fleet.runs.values()].filter(count => count === 1).length
      return [...fleet.runs.values()].every(count => count <= 1)
    }), { seed: SEED, numRuns: 3_000 })
    configs.forEach(run)
    expect(runs > 9_000).toEqual(true)
  })

  it('treats every key as moved when more lists came in force than it keeps', () => {
    const history = new HomeHistory()
    const [self, other] = hashMembers(hash, upstreams)
    for (let n = 0; n < 20; n += 1) history.add(n % 2 === 0 ? [self!] : [self!, other!], { now: n, wall: n })
    const subject = Array.from({ length: 50 }, (_, n) => hash(`key ${n}`)).find(each => rendezvous([self!, other!], each) === self!.id)!
    expect(history.movedAt(subject, self!.id)).toEqual({ now: 12, wall: 12 })
    history.prune(13)
    expect(history.movedAt(subject, self!.id)).toEqual(undefined)
  })

  it('spreads homes evenly and moves only the keys of an upstream that left', () => {
    const members = hashMembers(hash, upstreams)
    const subjects = Array.from({ length: 8_000 }, (_, n) => hash(`key ${n}`))
    const homes = subjects.map(subject => rendezvous(members, subject))
    const share = upstreams.map(upstream => homes.filter(home => home === upstream).length / homes.length)
    expect(share.every(part => Math.abs(part - 0.25) < 0.02)).toEqual(true)
    const moved = subjects.filter((subject, n) => homes[n] !== upstreams[3] && rendezvous(members.slice(0, 3), subject) !== homes[n])
    expect(moved).toEqual([])
  })

  it('reads the time of version 7 keys only', () => {
    expect([uuidTime(uuidAt(EPOCH, 1)), uuidTime('0188a0b0-0000-4000-8000-000000000000'), uuidTime('k')]).toEqual([EPOCH, undefined, undefined])
  })
})
