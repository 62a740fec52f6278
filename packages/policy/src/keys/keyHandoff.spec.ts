/** Specification of queries to previous homes about keys that moved. */
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

/** Monotonic time of the move; both homes started long before. */
const MOVED = 20_000

const [previousHome, ...others] = upstreams
/** The first key whose home is upstream 0 while all are listed, and upstream 1 once upstream 0 is removed. */
const firstMoving = (keys: readonly string[]): string =>
  keys.find(key => keyHome(hash, name(key), hashMembers(hash, upstreams)) === previousHome && keyHome(hash, name(key), hashMembers(hash, others)) === others[0])!

const numbers = Array.from({ length: 500 }, (_, n) => n)
const movingKey = (createdAfter: number): string => firstMoving(numbers.map(n => uuidAt(EPOCH + createdAfter, n)))

const home = (self = others[0]!): KeysDb => new KeysDb(self, config, hash)

const list = (db: KeysDb, now: number, revision: number, listed: typeof upstreams): KeysCommand[] =>
  decideKeys(db, { kind: 'upstreams-listed', now, wall: EPOCH + now, service, upstreams: listed, revision })

/** Previous and current home of a key that has moved. */
const pair = (): { from: KeysDb, to: KeysDb } => {
  const homes = { from: home(previousHome), to: home() }
  for (const db of [homes.from, homes.to]) {
    list(db, 0, 4, upstreams)
    list(db, MOVED, 5, others)
  }
  return homes
}

const query = (db: KeysDb, now: number, key: string): KeyQueryResult =>
  answerKeyQuery(db, { ...name(key), fingerprint, revision: 5, now, wall: EPOCH + now })

const receiveResult = (db: KeysDb, now: number, key: string, queryNumber: number, queryResult: KeyQueryResult): KeysCommand[] =>
  decideKeys(db, { kind: 'key-told', ...name(key), now, wall: EPOCH + now, ask: queryNumber, queryResult })

const run = (db: KeysDb, now: number, key: string): void => {
  present(db, now, key, 9)
  decideKeys(db, { kind: 'response-recorded', ...name(key), now, answer: stored })
}

describe('key handoff', () => {
  it('queries the previous home, and runs the key after the answer that it never ran', () => {
    const { from, to } = pair()
    const key = movingKey(MOVED - 10)
    const expectedQuery = { ...name(key), fingerprint, revision: 5 }
    expect(present(to, MOVED + 1, key, 1)).toEqual([{ kind: 'ask', request: request(1), ask: 1, upstream: previousHome!, query: expectedQuery }])
    expect(present(to, MOVED + 1, key, 2)).toEqual([{ kind: 'wait', request: request(2), first: request(1) }])
    expect(query(from, MOVED + 2, key)).toEqual({ kind: 'never' })
    expect(present(from, MOVED + 2, key, 3)).toEqual([{ kind: 'refuse', request: request(3), reason: 'not-home' }])
    expect(receiveResult(to, MOVED + 3, key, 1, { kind: 'never' })).toEqual([{ kind: 'run', request: request(1) }])
    expect(receiveResult(to, MOVED + 3, key, 1, { kind: 'never' })).toEqual([])
  })

  it('replays the response stored at the previous home to every request, and stores it', () => {
    const { from, to } = pair()
    const key = movingKey(MOVED - 10)
    const earlierHome = home(previousHome)
    list(earlierHome, 0, 4, upstreams)
    run(earlierHome, MOVED - 5, key)
    expect(query(earlierHome, MOVED, key)).toEqual({ kind: 'behind' })
    list(earlierHome, MOVED, 5, others)
    present(to, MOVED + 1, key, 1)
    present(to, MOVED + 1, key, 2)
    const queryResult = query(earlierHome, MOVED + 2, key)
    expect(queryResult).toEqual({ kind: 'ended', answer: stored })
    expect(receiveResult(to, MOVED + 3, key, 1, queryResult)).toEqual([1, 2].map(n => ({ kind: 'replay', request: request(n), answer: stored })))
    expect(present(to, MOVED + 4, key, 3)).toEqual([{ kind: 'replay', request: request(3), answer: stored }])
    expect(query(from, MOVED + 4, key)).toEqual({ kind: 'never' })
  })

  it('queries no previous home when a revision is missing, or when this home started shortly before the move', () => {
    const key = movingKey(MOVED - 10)
    const gap = home()
    list(gap, 0, 3, upstreams)
    list(gap, MOVED, 5, others)
    const startedLate = home()
    list(startedLate, MOVED - config.configPropagation + 1, 4, upstreams)
    list(startedLate, MOVED, 5, others)
    for (const db of [gap, startedLate]) expect(present(db, MOVED + 1, key, 1)).toEqual([{ kind: 'answer-unknown', request: request(1) }])
  })

  it('as previous home, answers unknown or behind when it started after the key was created, was not the home, is the home again, or lacks the newest revision', () => {
    const key = movingKey(MOVED - 10)
    const startedAfterKey = home(previousHome)
    list(startedAfterKey, MOVED - 5, 4, upstreams)
    list(startedAfterKey, MOVED, 5, others)
    const missedRevision = home(previousHome)
    list(missedRevision, 0, 3, upstreams)
    list(missedRevision, MOVED, 5, others)
    const { from: homeAgain } = pair()
    list(homeAgain, MOVED + 1, 6, upstreams)
    const neverHomeOfKey = home(others[1])
    list(neverHomeOfKey, 0, 4, upstreams)
    list(neverHomeOfKey, MOVED, 5, others)
    for (const db of [startedAfterKey, missedRevision, neverHomeOfKey]) expect(query(db, MOVED + 2, key)).toEqual({ kind: 'unknown' })
    const withoutNewest = home(previousHome)
    list(withoutNewest, 0, 3, others)
    for (const db of [homeAgain, withoutNewest]) expect(query(db, MOVED + 2, key)).toEqual({ kind: 'behind' })
  })

  it('refuses requests that wait for a query as not run when the home moves again, and lets the next waiter replace a first request whose caller left', () => {
    const { to } = pair()
    const key = movingKey(MOVED - 10)
    for (const n of [1, 2, 3]) present(to, MOVED + 1, key, n)
    decideKeys(to, { kind: 'waiter-gone', ...name(key), request: request(1) })
    expect(list(to, MOVED + 2, 6, upstreams)).toEqual([2, 3].map(n => ({ kind: 'refuse', request: request(n), reason: 'not-home' })))
    expect(receiveResult(to, MOVED + 3, key, 1, { kind: 'never' })).toEqual([])
  })

  it('assesses an opaque key at the earliest possible presentation time at the previous home, and applies its answer only in time at the current one', () => {
    const key = firstMoving(numbers.map(n => `k${n}`))
    const from = home(previousHome)
    list(from, 0, 2, others)
    list(from, 1_000, 4, upstreams)
    list(from, 5_000, 5, others)
    const resolvedFrom = 1_000 + config.window + config.configPropagation + config.queryResultTtl
    decideKeys(from, { kind: 'tick', now: resolvedFrom - 1 })
    expect(query(from, resolvedFrom - 1, key)).toEqual({ kind: 'unknown' })
    expect(query(from, resolvedFrom, key)).toEqual({ kind: 'never' })
    for (const [late, command] of [[0, 'run'], [1, 'answer-unknown']] as const) {
      const { to } = pair()
      present(to, MOVED + 1, key, 1)
      expect(receiveResult(to, MOVED + 1 + config.queryResultTtl + late, key, 1, { kind: 'never' })).toEqual([{ kind: command, request: request(1) }])
    }
  })

  it('ignores an answer to a query from before the home moved away and back', () => {
    const { to } = pair()
    const key = movingKey(MOVED - 10)
    present(to, MOVED + 1, key, 1)
    list(to, MOVED + 2, 6, upstreams)
    list(to, MOVED + 3, 7, others)
    expect(present(to, MOVED + 4, key, 2)[0]?.kind).toEqual('ask')
    expect(receiveResult(to, MOVED + 5, key, 1, { kind: 'never' })).toEqual([])
    expect(receiveResult(to, MOVED + 6, key, 2, { kind: 'never' })[0]?.kind).toEqual('run')
  })

  it('answers no key as unknown while upstreams leave and return without faults, whether the key was created before or after', () => {
    const op = fc.oneof(
      { weight: 8, arbitrary: fc.record({ op: fc.constant('present' as const), slot: fc.nat(39), timed: fc.boolean(), caller: fc.double({ min: -1, max: 1, noNaN: true }), stale: fc.boolean() }) },
      { weight: 4, arbitrary: fc.record({ op: fc.constant('finish' as const), outcome: fc.constantFrom('answer' as const, 'not-run' as const, 'ran' as const) }) },
      { weight: 1, arbitrary: fc.record({ op: fc.constant('publish' as const), list: fc.nat(3) }) },
      { weight: 3, arbitrary: fc.record({ op: fc.constant('apply' as const), home: fc.nat(3) }) },
      { weight: 8, arbitrary: fc.record({ op: fc.constant('deliver' as const), pick: fc.nat(9), redeliver: fc.boolean() }) })
    const cfg = { ...config, window: 60_000, queryResultTtl: 100_000, maxKeys: 100, maxWaiters: 200 }
    let queriesSent = 0
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(300), op), { minLength: 40, maxLength: 160 }), steps => {
      const fleet = new Fleet(cfg, [0, 0, 0, 0])
      fleet.now = 300_000
      for (const [span, step] of steps) {
        fleet.now += span
        fleet.catchUp()
        if (step.op === 'present') fleet.present(step.slot, step.timed, Math.round(step.caller * cfg.callerSkew), step.stale)
        if (step.op === 'finish') fleet.finish(step.outcome)
        if (step.op === 'publish' && fleet.published.revision < 6) fleet.publish(step.list)
        if (step.op === 'apply') fleet.applyConfiguration(fleet.homes[step.home]!)
        if (step.op === 'deliver') fleet.deliver(step.pick, step.redeliver)
      }
      while (fleet.messages.length > 0 && fleet.now < 400_000) {
        fleet.now += 10
        fleet.catchUp()
        fleet.finish('answer')
        fleet.deliver(0, false)
      }
      queriesSent += fleet.queriesSent
      return fleet.unknown === 0 && fleet.messages.length === 0 && [...fleet.runs.values()].every(count => count <= 1)
    }), { seed: SEED, numRuns: 2_000 })
    expect(queriesSent > 3_000).toEqual(true)
  })
})
