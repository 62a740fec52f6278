/** Specification of idempotency keys at their home. */
import { describe, it } from 'node:test'
import { asId, type Fingerprint } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { HomeHistory } from './homeHistory.js'
import { decideKeys } from './keys.js'
import { config, EPOCH, Fleet, hash, name, present, request, settledHome, stored, upstreams, uuidAt } from './keysFixtures.spec.js'
import type { KeysConfig } from './keysTypes.js'
import { hashMembers, rendezvous } from './rendezvous.js'
import { uuidTime } from './uuidTime.js'

const SEED = 3_117

describe('keys', () => {
  it('runs a new key once, lets a second request wait, and replays the response of the first run', () => {
    const db = settledHome()
    const key = uuidAt(EPOCH + 20_000, 1)
    expect(present(db, 20_000, key, 1)).toEqual([{ kind: 'run', request: request(1) }])
    expect(present(db, 20_001, key, 2)).toEqual([{ kind: 'wait', request: request(2), first: request(1) }])
    const answered = decideKeys(db, { kind: 'response-recorded', now: 20_002, ...name(key), answer: stored })
    expect(answered).toEqual([{ kind: 'replay', request: request(2), answer: stored }])
    expect(present(db, 20_003, key, 3)).toEqual([{ kind: 'replay', request: request(3), answer: stored }])
  })

  it('reports a conflict when a key is reused for a different request', () => {
    const db = settledHome()
    present(db, 20_000, 'k', 1)
    expect(present(db, 20_001, 'k', 2, asId<Fingerprint>('other'))).toEqual([{ kind: 'conflict', request: request(2) }])
  })

  it('starts the first waiter when the run is known not to have happened', () => {
    const db = settledHome()
    present(db, 20_000, 'k', 1)
    present(db, 20_001, 'k', 2)
    expect(decideKeys(db, { kind: 'run-failed', now: 20_002, ...name('k'), outcome: 'not-run' })).toEqual([{ kind: 'run', request: request(2) }])
  })

  it('answers unknown after a restart without entries: opaque keys for the window, version 7 UUIDs by their timestamp', () => {
    const db = settledHome()
    const allowance = config.callerSkew + config.hostSkew + config.configPropagation
    expect(present(db, 11_900, 'k', 1)[0]?.kind).toEqual('answer-unknown')
    expect(present(db, 12_000, 'k', 2)[0]?.kind).toEqual('run')
    expect(present(db, 3_000, uuidAt(EPOCH + allowance, 3), 3)[0]?.kind).toEqual('answer-unknown')
    expect(present(db, 3_000, uuidAt(EPOCH + allowance + 1, 4), 4)[0]?.kind).toEqual('run')
  })

  it('refuses a key with a timestamp in the future, which after a restart would falsely prove that the key is new', () => {
    expect(present(settledHome(), 2_000, uuidAt(EPOCH + 2_301, 1), 1)).toEqual([{ kind: 'refuse', request: request(1), reason: 'key-from-future' }])
  })

  it('stores only the outcome of a large response, and of the oldest ones when the byte limit is reached', () => {
    const db = settledHome()
    for (let n = 0; n < 3; n += 1) {
      present(db, 20_000, `k${n}`, n)
      decideKeys(db, { kind: 'response-recorded', now: 20_000, ...name(`k${n}`), answer: stored })
    }
    expect(present(db, 20_001, 'k0', 8)).toEqual([{ kind: 'response-not-stored', request: request(8) }])
    expect(present(db, 20_001, 'k2', 9)[0]?.kind).toEqual('replay')
    expect(db.bytes).toEqual(180)
  })

  it('does not run a key again after its entry was evicted', () => {
    const db = settledHome()
    for (let n = 0; n < 6; n += 1) {
      present(db, 20_000, uuidAt(EPOCH + 20_000 + n, n), n)
      decideKeys(db, { kind: 'run-failed', now: 20_000, ...name(uuidAt(EPOCH + 20_000 + n, n)), outcome: 'ran' })
    }
    expect(present(db, 20_001, uuidAt(EPOCH + 20_000, 0), 7)).toEqual([{ kind: 'answer-unknown', request: request(7) }])
  })

  it('runs no key twice and stays within its limits, over restarts, moved homes, stale configurations, lost, late and repeated messages, clock skew and evictions', () => {
    const ops = [
      { weight: 8, arbitrary: fc.record({ op: fc.constant('present' as const), slot: fc.nat(7), timed: fc.boolean(), caller: fc.double({ min: -3, max: 3, noNaN: true }), stale: fc.boolean() }) },
      { weight: 4, arbitrary: fc.record({ op: fc.constant('finish' as const), outcome: fc.constantFrom('answer' as const, 'not-run' as const, 'unknown' as const, 'ran' as const) }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('restart' as const), home: fc.nat(3), stale: fc.boolean() }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('publish' as const), list: fc.nat(3) }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('apply' as const), home: fc.nat(3) }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('tick' as const) }) }]
    const messageOps = [
      { weight: 4, arbitrary: fc.record({ op: fc.constant('deliver' as const), pick: fc.nat(9), redeliver: fc.boolean() }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('lose' as const), pick: fc.nat(9) }) }]
    const wait = fc.oneof(fc.nat(300), fc.nat(300), fc.nat(4_000))
    const configs: KeysConfig[] = [config, { ...config, window: 4_000, configPropagation: 3_000, callerSkew: 50, hostSkew: 20 }, { ...config, configPropagation: 100, callerSkew: 900, hostSkew: 600 }]
    const skews = fc.array(fc.double({ min: -0.5, max: 0.5, noNaN: true }), { minLength: 4, maxLength: 4 })
    let runs = 0
    const run = (chosen: KeysConfig, linked: boolean): void => fc.assert(fc.property(skews, fc.array(fc.tuple(wait, fc.oneof(...ops, ...(linked ? messageOps : []))), { minLength: 40, maxLength: 160 }), (shares, steps) => {
      const fleet = new Fleet(chosen, shares.map(share => Math.round(share * chosen.hostSkew)), linked)
      for (const [span, step] of steps) {
        fleet.now += span
        fleet.catchUp()
        if (step.op === 'present') fleet.present(step.slot, step.timed, Math.round(step.caller * chosen.callerSkew), step.stale)
        if (step.op === 'finish') fleet.finish(step.outcome)
        if (step.op === 'restart') fleet.restart(step.home, step.stale)
        if (step.op === 'publish') fleet.publish(step.list)
        if (step.op === 'apply') fleet.applyConfiguration(fleet.homes[step.home]!)
        if (step.op === 'deliver') fleet.deliver(step.pick, step.redeliver)
        if (step.op === 'lose') fleet.lose(step.pick)
        if (step.op === 'tick') for (const home of fleet.homes) decideKeys(home.db, { kind: 'tick', now: fleet.now })
        for (const home of fleet.homes) if (home.db.size > config.maxKeys || home.db.bytes > config.maxStoreBytes) return false
      }
      runs += [...fleet.runs.values()].filter(count => count === 1).length
      return [...fleet.runs.values()].every(count => count <= 1)
    }), { seed: SEED, numRuns: 3_000 })
    for (const chosen of configs) [false, true].forEach(linked => { run(chosen, linked) })
    expect(runs > 18_000).toEqual(true)
  })

  it('treats every key as moved after more lists were applied than it retains', () => {
    const history = new HomeHistory()
    const [self, other] = hashMembers(hash, upstreams)
    for (let n = 0; n < 20; n += 1) history.add(n % 2 === 0 ? [self!] : [self!, other!], { now: n, wall: n }, n)
    const subject = Array.from({ length: 50 }, (_, n) => hash(`key ${n}`)).find(each => rendezvous([self!, other!], each) === self!.id)!
    expect(history.periodAt(subject, self!.id, 19)?.since).toEqual({ now: 12, wall: 12 })
    history.prune(13)
    expect(history.periodAt(subject, self!.id, 19)).toEqual({ since: undefined, move: undefined })
  })

  it('distributes homes evenly and moves only the keys of a removed upstream', () => {
    const members = hashMembers(hash, upstreams)
    const subjects = Array.from({ length: 8_000 }, (_, n) => hash(`key ${n}`))
    const homes = subjects.map(subject => rendezvous(members, subject))
    const share = upstreams.map(upstream => homes.filter(home => home === upstream).length / homes.length)
    expect(share.every(part => Math.abs(part - 0.25) < 0.02)).toEqual(true)
    const moved = subjects.filter((subject, n) => homes[n] !== upstreams[3] && rendezvous(members.slice(0, 3), subject) !== homes[n])
    expect(moved).toEqual([])
  })

  it('parses the timestamp of version 7 UUIDs only', () => {
    expect([uuidTime(uuidAt(EPOCH, 1)), uuidTime('0188a0b0-0000-4000-8000-000000000000'), uuidTime('k')]).toEqual([EPOCH, undefined, undefined])
  })
})
