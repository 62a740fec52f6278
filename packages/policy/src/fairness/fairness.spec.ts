import { describe, it } from 'node:test'
import { asId, type Incarnation, type RequestId, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { decideFairness } from './fairness.js'
import { FLEET } from './accountTable.js'
import type { FairnessDb } from './fairnessDb.js'
import { DEFAULT_FAIRNESS, fairnessDefinition } from './fairnessDefinition.js'
import type { CounterEntry } from './fairnessTypes.js'

const service = asId<ServiceId>('scribe')
const a = asId<WorkspaceId>('a')
const b = asId<WorkspaceId>('b')
const r1 = asId<RequestId>('r1')
const peer = asId<Incarnation>('peer')

const makeDb = (): FairnessDb => fairnessDefinition.createDb(asId<Incarnation>('me'), 0)
const start = (db: FairnessDb, workspace: WorkspaceId, estimate: number, now = 0): void => {
  decideFairness(db, { kind: 'work-started', request: r1, service, workspace, estimate, now })
}
const receive = (db: FairnessDb, entries: CounterEntry[], now = 0, rejoined = false): void => {
  decideFairness(db, { kind: 'counters-received', entries, lifts: [], link: 'l', rejoined, areParentSums: false, now })
}
const published = (db: FairnessDb, workspace: WorkspaceId): number[] => [db.account(service, workspace).sum.total, db.account(service, workspace).sum.refund]

describe('fairness accounting', () => {
  it('publishes a total and a refund that only grow, and corrects charges in both directions', () => {
    const db = makeDb()
    start(db, a, 100)
    decideFairness(db, { kind: 'work-ended', request: r1, cost: 30, now: 1 })
    expect([...published(db, a), db.virtualTime(service, a)]).toEqual([100, 70, 30])
    start(db, a, 90, 2)
    expect([...published(db, a), db.virtualTime(service, a), db.virtualTime(FLEET, a)]).toEqual([190, 70, 120, 120])
  })

  it('counts a duplicate, late or reordered total once', () => {
    const db = makeDb()
    const entry = (total: number): CounterEntry => ({ origin: peer, service, workspace: a, total, refund: 0 })
    receive(db, [entry(5)])
    receive(db, [entry(9), entry(5)])
    receive(db, [entry(7)])
    expect(db.virtualTime(service, a)).toEqual(9)
  })

  it('keeps virtual time when a weight changes', () => {
    const db = makeDb()
    start(db, a, 100)
    decideFairness(db, { kind: 'weights-changed', weights: new Map([[a, 4]]) })
    expect(db.virtualTime(service, a)).toEqual(100)
    decideFairness(db, { kind: 'work-ended', request: r1, cost: 110, now: 1 })
    expect(db.virtualTime(service, a)).toEqual(110)
  })

  it('raises the virtual time of an idle workspace to the least of the backlogged workspaces, and never above it', () => {
    const db = makeDb()
    receive(db, [{ origin: peer, service, workspace: a, total: 500, refund: 0 }])
    decideFairness(db, { kind: 'backlog-seen', authoritative: true, service, workspaces: [a], now: 9_000 })
    const commands = decideFairness(db, { kind: 'backlog-seen', authoritative: true, service, workspaces: [a, b], now: 9_100 })
    expect(commands.map(command => command.reason)).toEqual(['idle', 'idle'])
    expect(db.virtualTime(service, b)).toEqual(500)
    expect(db.virtualTime(service, a)).toEqual(500)
  })

  it('raises the virtual time of a workspace that returns shortly after another one when both were idle for long', () => {
    const db = makeDb()
    receive(db, [{ origin: peer, service, workspace: a, total: 500, refund: 0 }])
    decideFairness(db, { kind: 'backlog-seen', authoritative: true, service, workspaces: [a], now: 60_000 })
    decideFairness(db, { kind: 'backlog-seen', authoritative: true, service, workspaces: [a, b], now: 60_500 })
    expect(db.virtualTime(service, b)).toEqual(500)
  })

  it('does not treat a workspace as idle while its backlog may be unknown after a rejoin', () => {
    const db = makeDb()
    receive(db, [{ origin: peer, service, workspace: a, total: 500, refund: 0 }], 10_000, true)
    decideFairness(db, { kind: 'backlog-seen', authoritative: true, service, workspaces: [a, b], now: 10_100 })
    expect(db.virtualTime(service, b)).toEqual(0)
  })

  it('forfeits credit only on authoritative backlog, since other processes may have been partitioned from the queue', () => {
    const db = makeDb()
    receive(db, [{ origin: peer, service, workspace: a, total: 500, refund: 0 }])
    decideFairness(db, { kind: 'backlog-seen', authoritative: false, service, workspaces: [a, b], now: 9_000 })
    expect(db.virtualTime(service, b)).toEqual(0)
  })

  it('limits the credit accumulated over short breaks, but forfeits none of a continuously backlogged workspace', () => {
    const db = makeDb()
    const observeBacklog = (workspaces: WorkspaceId[], now: number): number =>
      decideFairness(db, { kind: 'backlog-seen', authoritative: true, service, workspaces, now }).length
    let lifts = 0
    for (let now = 1_000; now <= 60_000; now += 1_000) {
      receive(db, [{ origin: peer, service, workspace: a, total: now, refund: 0 }], now)
      lifts += observeBacklog([a, b], now) + observeBacklog([a, b], now + 300) + observeBacklog([a, b], now + 600)
    }
    expect([lifts, db.virtualTime(service, b)]).toEqual([0, 0])
    expect(observeBacklog([b], 61_500)).toEqual(2)
    const gap = db.virtualTime(service, a) - db.virtualTime(service, b)
    expect(gap > 0 && gap <= 1.6 * DEFAULT_FAIRNESS.creditMs).toEqual(true)
  })

  it('folds old origins without changing virtual time, and agrees with processes that fold at another time', () => {
    const entry = { origin: peer, service, workspace: a, total: 70, refund: 0 }
    const [early, late, fresh] = [makeDb(), makeDb(), makeDb()]
    receive(early, [entry])
    receive(late, [entry])
    const now = DEFAULT_FAIRNESS.foldAfter + 1
    decideFairness(early, { kind: 'tick', now })
    expect(early.account(service, a).origins.size).toEqual(0)
    const base = early.baseSnapshot()
    for (const db of [late, fresh]) {
      decideFairness(db, { kind: 'counters-received', entries: [entry], lifts: [], ...base === undefined ? {} : { base }, link: 'l', rejoined: false, areParentSums: false, now })
    }
    expect([early, late, fresh].map(db => db.virtualTime(service, a))).toEqual([70, 70, 70])
    expect(early.virtualTime(FLEET, a)).toEqual(70)
  })

  it('charges under a new origin after an idle period, since peers may have folded the old one', () => {
    const db = makeDb()
    start(db, a, 10, 0)
    decideFairness(db, { kind: 'work-ended', request: r1, cost: 12, now: DEFAULT_FAIRNESS.foldAfter })
    expect([...db.account(service, a).origins].map(([origin, { tally }]) => [String(origin), tally.total])).toEqual([['me', 10], ['me.scribe.1', 2]])
  })
})
