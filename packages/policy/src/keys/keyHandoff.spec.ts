/** Specification of questions to previous homes about keys that moved. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { answerKeyQuery } from './keyHandoff.js'
import { decideKeys } from './keys.js'
import { KeysDb } from './keysDb.js'
import { config, EPOCH, fingerprint, Fleet, hash, name, present, request, service, stored, upstreams, uuidAt } from './keysFixtures.spec.js'
import { keyHome } from './keyHome.js'
import type { KeyQueryResult, KeysCommand } from './keysTypes.js'
import { hashMembers } from './rendezvous.js'

const SEED = 3_118

/** Time of the move; both homes have run long before. */
const MOVED = 20_000

const [old, ...others] = upstreams
/** The first of some keys whose home is the first upstream while all are listed, and the second without it. */
const firstMoving = (keys: readonly string[]): string =>
  keys.find(key => keyHome(hash, name(key), hashMembers(hash, upstreams)) === old && keyHome(hash, name(key), hashMembers(hash, others)) === others[0])!

const numbers = Array.from({ length: 500 }, (_, n) => n)
const moving = (made: number): string => firstMoving(numbers.map(n => uuidAt(EPOCH + made, n)))

const home = (self = others[0]!): KeysDb => new KeysDb(self, config, hash)

const list = (db: KeysDb, now: number, revision: number, listed: typeof upstreams): KeysCommand[] =>
  decideKeys(db, { kind: 'upstreams-listed', now, wall: EPOCH + now, service, upstreams: listed, revision })

/** Both homes of a key that has moved. */
const pair = (): { from: KeysDb, to: KeysDb } => {
  const homes = { from: home(old), to: home() }
  for (const db of [homes.from, homes.to]) {
    list(db, 0, 4, upstreams)
    list(db, MOVED, 5, others)
  }
  return homes
}

const ask = (db: KeysDb, now: number, key: string): KeyQueryResult =>
  answerKeyQuery(db, { ...name(key), fingerprint, revision: 5, now, wall: EPOCH + now })

const tell = (db: KeysDb, now: number, key: string, number: number, fate: KeyQueryResult): KeysCommand[] =>
  decideKeys(db, { kind: 'key-told', ...name(key), now, wall: EPOCH + now, ask: number, queryResult: fate })

const run = (db: KeysDb, now: number, key: string): void => {
  present(db, now, key, 9)
  decideKeys(db, { kind: 'response-recorded', ...name(key), now, answer: stored })
}

describe('key handoff', () => {
  it('asks the previous home, and runs the key once that home says that it never ran', () => {
    const { from, to } = pair()
    const key = moving(MOVED - 10)
    const question = { ...name(key), fingerprint, revision: 5 }
    expect(present(to, MOVED + 1, key, 1)).toEqual([{ kind: 'ask', request: request(1), ask: 1, upstream: old!, query: question }])
    expect(present(to, MOVED + 1, key, 2)).toEqual([{ kind: 'wait', request: request(2), first: request(1) }])
    expect(ask(from, MOVED + 2, key)).toEqual({ kind: 'never' })
    expect(present(from, MOVED + 2, key, 3)).toEqual([{ kind: 'refuse', request: request(3), reason: 'not-home' }])
    expect(tell(to, MOVED + 3, key, 1, { kind: 'never' })).toEqual([{ kind: 'run', request: request(1) }])
    expect(tell(to, MOVED + 3, key, 1, { kind: 'never' })).toEqual([])
  })

  it('gives every request the answer that the previous home kept, and remembers it', () => {
    const { from, to } = pair()
    const key = moving(MOVED - 10)
    const before = home(old)
    list(before, 0, 4, upstreams)
    run(before, MOVED - 5, key)
    expect(ask(before, MOVED, key)).toEqual({ kind: 'behind' })
    list(before, MOVED, 5, others)
    present(to, MOVED + 1, key, 1)
    present(to, MOVED + 1, key, 2)
    const fate = ask(before, MOVED + 2, key)
    expect(fate).toEqual({ kind: 'ended', answer: stored })
    expect(tell(to, MOVED + 3, key, 1, fate)).toEqual([1, 2].map(n => ({ kind: 'replay', request: request(n), answer: stored })))
    expect(present(to, MOVED + 4, key, 3)).toEqual([{ kind: 'replay', request: request(3), answer: stored }])
    expect(ask(from, MOVED + 4, key)).toEqual({ kind: 'never' })
  })

  it('asks nobody when a revision is missing, or when it started shortly before the move', () => {
    const key = moving(MOVED - 10)
    const gap = home()
    list(gap, 0, 3, upstreams)
    list(gap, MOVED, 5, others)
    const young = home()
    list(young, MOVED - config.configPropagation + 1, 4, upstreams)
    list(young, MOVED, 5, others)
    for (const db of [gap, young]) expect(present(db, MOVED + 1, key, 1)).toEqual([{ kind: 'answer-unknown', request: request(1) }])
  })

  it('promises nothing as previous home when it started after the key was made, was not the home, is the home again, or is behind', () => {
    const key = moving(MOVED - 10)
    const young = home(old)
    list(young, MOVED - 5, 4, upstreams)
    list(young, MOVED, 5, others)
    const missed = home(old)
    list(missed, 0, 3, upstreams)
    list(missed, MOVED, 5, others)
    const { from: back } = pair()
    list(back, MOVED + 1, 6, upstreams)
    const stranger = home(others[1])
    list(stranger, 0, 4, upstreams)
    list(stranger, MOVED, 5, others)
    for (const db of [young, missed, stranger]) expect(ask(db, MOVED + 2, key)).toEqual({ kind: 'unknown' })
    const late = home(old)
    list(late, 0, 3, others)
    for (const db of [back, late]) expect(ask(db, MOVED + 2, key)).toEqual({ kind: 'behind' })
  })

  it('refuses what waits for an answer as not run when the home moves on, and hands the place of a caller that left to the next', () => {
    const { to } = pair()
    const key = moving(MOVED - 10)
    for (const n of [1, 2, 3]) present(to, MOVED + 1, key, n)
    decideKeys(to, { kind: 'waiter-gone', ...name(key), request: request(1) })
    expect(list(to, MOVED + 2, 6, upstreams)).toEqual([2, 3].map(n => ({ kind: 'refuse', request: request(n), reason: 'not-home' })))
    expect(tell(to, MOVED + 3, key, 1, { kind: 'never' })).toEqual([])
  })

  it('judges an opaque key by its presentation: early for the previous home, in time for the present one', () => {
    const key = firstMoving(numbers.map(n => `k${n}`))
    const from = home(old)
    list(from, 0, 2, others)
    list(from, 1_000, 4, upstreams)
    list(from, 5_000, 5, others)
    const lapsed = 1_000 + config.window + config.configPropagation + config.queryResultTtl
    decideKeys(from, { kind: 'tick', now: lapsed - 1 })
    expect(ask(from, lapsed - 1, key)).toEqual({ kind: 'unknown' })
    expect(ask(from, lapsed, key)).toEqual({ kind: 'never' })
    for (const [late, command] of [[0, 'run'], [1, 'answer-unknown']] as const) {
      const { to } = pair()
      present(to, MOVED + 1, key, 1)
      expect(tell(to, MOVED + 1 + config.queryResultTtl + late, key, 1, { kind: 'never' })).toEqual([{ kind: command, request: request(1) }])
    }
  })

  it('ignores what was told before the home moved away and back', () => {
    const { to } = pair()
    const key = moving(MOVED - 10)
    present(to, MOVED + 1, key, 1)
    list(to, MOVED + 2, 6, upstreams)
    list(to, MOVED + 3, 7, others)
    expect(present(to, MOVED + 4, key, 2)[0]?.kind).toEqual('ask')
    expect(tell(to, MOVED + 5, key, 1, { kind: 'never' })).toEqual([])
    expect(tell(to, MOVED + 6, key, 2, { kind: 'never' })[0]?.kind).toEqual('run')
  })

  it('answers no key as unknown, made before or after, while upstreams leave and return without a fault', () => {
    const op = fc.oneof(
      { weight: 8, arbitrary: fc.record({ op: fc.constant('present' as const), slot: fc.nat(39), timed: fc.boolean(), caller: fc.double({ min: -1, max: 1, noNaN: true }), stale: fc.boolean() }) },
      { weight: 4, arbitrary: fc.record({ op: fc.constant('finish' as const), outcome: fc.constantFrom('answer' as const, 'not-run' as const, 'ran' as const) }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('publish' as const), list: fc.nat(3) }) },
      { weight: 3, arbitrary: fc.record({ op: fc.constant('learn' as const), home: fc.nat(3) }) },
      { weight: 8, arbitrary: fc.record({ op: fc.constant('deliver' as const), pick: fc.nat(9), keep: fc.boolean() }) })
    const cfg = { ...config, window: 60_000, toldWithin: 100_000, maxKeys: 100, maxWaiters: 200 }
    let asked = 0
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(300), op), { minLength: 40, maxLength: 160 }), steps => {
      const fleet = new Fleet(cfg, [0, 0, 0, 0])
      fleet.now = 300_000
      for (const [span, step] of steps) {
        fleet.now += span
        fleet.catchUp()
        if (step.op === 'present') fleet.present(step.slot, step.timed, Math.round(step.caller * cfg.callerSkew), step.stale)
        if (step.op === 'finish') fleet.finish(step.outcome)
        if (step.op === 'publish' && fleet.published.revision < 6) fleet.publish(step.list)
        if (step.op === 'learn') fleet.learn(fleet.homes[step.home]!)
        if (step.op === 'deliver') fleet.deliver(step.pick, step.keep)
      }
      while (fleet.letters.length > 0 && fleet.now < 400_000) {
        fleet.now += 10
        fleet.catchUp()
        fleet.finish('answer')
        fleet.deliver(0, false)
      }
      asked += fleet.asked
      return fleet.unknown === 0 && fleet.letters.length === 0 && [...fleet.runs.values()].every(count => count <= 1)
    }), { seed: SEED, numRuns: 2_000 })
    expect(asked > 3_000).toEqual(true)
  })
})
