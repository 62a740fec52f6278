import { describe, it } from 'node:test'
import { asId, type ServiceId, type UpstreamId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { loadStringHash } from '../keys/rendezvous.js'
import { decideByAnswers, decideStreamVersion, knownForMs, type ListKnowledge } from './streamVersion.js'
import { StreamVersionDb } from './streamVersionDb.js'
import type { SoftwareVersion, StreamRoute, StreamVersionAnswer, VersionedUpstream } from './streamVersionTypes.js'

const hash = await loadStringHash()

const SERVICE = asId<ServiceId>('engine')

const OTHER = asId<ServiceId>('other')

/** A route that has always led to one service. */
const ROUTE: StreamRoute = { targets: [SERVICE], origins: [SERVICE] }
const SPLIT: StreamRoute = { targets: [SERVICE, OTHER], origins: [SERVICE, OTHER] }
/** A route that another configuration led to the other service. */
const MOVED: StreamRoute = { targets: [SERVICE], origins: [SERVICE, OTHER] }

const LONGEST_STREAM_MS = 5000

/** Time after which versions and streams have been forgotten, whenever they were recorded. */
const FORGOTTEN_MS = 2 * (LONGEST_STREAM_MS + 10_000) + 1000

const upstream = (id: string, version: string | undefined, fields: Partial<VersionedUpstream> = {}): VersionedUpstream =>
  ({ id: asId<UpstreamId>(id), service: SERVICE, version: version === undefined ? undefined : asId<SoftwareVersion>(version), startedAt: 1, ...fields })

const V1 = upstream('u1', 'v1')
const V2 = upstream('u2', 'v2')

const createDb = (upstreams: readonly VersionedUpstream[], startedAt = 0): StreamVersionDb => {
  const db = new StreamVersionDb(hash, startedAt)
  db.longestStreamMs = LONGEST_STREAM_MS
  db.setUpstreams(upstreams, startedAt)
  return db
}

/** The list has just been confirmed, and has been known since before all streams, or since the start. */
const KNOWN: ListKnowledge = { ageMs: 0, completeForMs: FORGOTTEN_MS, isConfirmed: true }
const STARTED: ListKnowledge = { ageMs: 0, completeForMs: 500, isConfirmed: true }

const answerOf = (db: StreamVersionDb, stream: number, list = KNOWN): StreamVersionAnswer => ({ version: db.versionOfStream(stream), candidates: db.candidates(SERVICE), knownForMs: knownForMs(list) })

describe('the software version of an upstream', () => {
  const db = createDb([])

  it('is the same at all upstreams of a service that declare it', () => {
    expect(db.versionOf(V1)).toEqual(db.versionOf(upstream('u2', 'v1', { startedAt: 2 })))
    expect(db.versionOf(V1)).not.toEqual(db.versionOf(upstream('u1', 'v2')))
    expect(db.versionOf(V1)).not.toEqual(db.versionOf(upstream('u1', 'v1', { service: asId('other') })))
  })

  it('is one of its own for a process that declares none', () => {
    const undeclared = upstream('u1', undefined)
    expect(db.versionOf(undeclared)).toEqual(db.versionOf(upstream('u1', undefined)))
    expect(db.versionOf(undeclared)).not.toEqual(db.versionOf(upstream('u1', undefined, { startedAt: 2 })))
    expect(db.versionOf(undeclared)).not.toEqual(db.versionOf(upstream('u2', undefined)))
  })
})

describe('a process that declares its version later than it registers', () => {
  it('is the same before and after', () => {
    const undeclared = upstream('u1', undefined)
    const db = createDb([undeclared, V2])
    const began = db.versionOf(undeclared)
    db.setUpstreams([V1, V2], 0)
    expect([db.isOfVersion(V1, began), db.isOfVersion(V2, began), db.isOfVersion(upstream('u1', 'v1', { startedAt: 2 }), began)]).toEqual([true, false, false])
    expect(db.candidates(SERVICE).undeclared.size).toEqual(0)
  })
})

describe('a process that accepted no connections', () => {
  it('is not known until the list is confirmed, or names the next process', () => {
    const db = createDb([V1, V2])
    db.recordUnreachable(V1, 100)
    expect([db.isProcessKnown(V1, 90), db.isProcessKnown(V2, 90)]).toEqual([false, true])
    expect(db.isProcessKnown(V1, 100)).toEqual(true)
    expect(db.isProcessKnown({ ...V1, startedAt: 2 }, 90)).toEqual(true)
  })
})

describe('a service', () => {
  it('has versions while an upstream that declares one is listed, and for as long as its streams may last', () => {
    const db = createDb([upstream('u1', undefined)], 0)
    expect(db.isVersioned(SERVICE)).toEqual(false)
    db.setUpstreams([upstream('u1', undefined), V2], 0)
    expect(db.isVersioned(SERVICE)).toEqual(true)
    db.setUpstreams([upstream('u1', undefined)], 1000)
    db.expire(15_000)
    expect(db.isVersioned(SERVICE)).toEqual(true)
    db.expire(17_000)
    expect(db.isVersioned(SERVICE)).toEqual(false)
  })
})

describe('a stream that its caller takes up', () => {
  it('goes on at the version to which it was sent last, also at gateways that have been told', () => {
    const [a, b] = [createDb([V1, V2]), createDb([V1, V2])]
    a.recordSend(7, a.versionOf(V1), 0)
    a.recordSend(7, a.versionOf(V2), 10)
    for (const report of a.takeUnsent()) b.applyReport(report, 20)
    expect(decideStreamVersion(b, ROUTE, 7, KNOWN)).toEqual({ kind: 'only', service: SERVICE, version: b.versionOf(V2) })
    expect(a.takeUnsent()).toEqual([])
  })

  it('goes on at the only version that there was, and is unknown where there were two', () => {
    const db = createDb([V1])
    expect(decideStreamVersion(db, ROUTE, 7, KNOWN)).toEqual({ kind: 'only', service: SERVICE, version: db.versionOf(V1) })
    db.setUpstreams([V2], 0)
    expect(decideStreamVersion(db, ROUTE, 7, KNOWN)).toEqual({ kind: 'unknown' })
    expect(decideStreamVersion(db, ROUTE, undefined, KNOWN)).toEqual({ kind: 'unknown' })
    db.expire(FORGOTTEN_MS)
    expect(decideStreamVersion(db, ROUTE, 7, KNOWN)).toEqual({ kind: 'only', service: SERVICE, version: db.versionOf(V2) })
  })

  it('goes on anywhere when no upstream declares a version', () => {
    const db = createDb([upstream('u1', undefined), upstream('u2', undefined), upstream('u9', 'v1', { service: OTHER })])
    expect(decideStreamVersion(db, ROUTE, 7, KNOWN)).toEqual({ kind: 'any' })
    expect(decideStreamVersion(db, ROUTE, 7, { ...KNOWN, isConfirmed: false })).toEqual({ kind: 'any' })
  })

  it('is unknown at a gateway that has just started, or whose list is old, whatever it lists', () => {
    expect(decideStreamVersion(createDb([V2]), ROUTE, 7, STARTED)).toEqual({ kind: 'unknown' })
    expect(decideStreamVersion(createDb([V2]), ROUTE, 7, { ...KNOWN, ageMs: 5000 })).toEqual({ kind: 'unknown' })
    expect(decideStreamVersion(createDb([V2]), ROUTE, 7, { ...KNOWN, isConfirmed: false })).toEqual({ kind: 'unknown' })
  })

  it('goes on as peer gateways answer: at its version, or at the only one that any of them knows', () => {
    const [started, old, other] = [createDb([V2]), createDb([V1, V2]), createDb([V2])]
    old.recordSend(7, old.versionOf(V1), 0)
    old.setUpstreams([V2], 100)
    const decide = (...answers: StreamVersionAnswer[]) => decideByAnswers(started, ROUTE, STARTED, answers)
    expect(decideByAnswers(createDb([V1, V2]), ROUTE, STARTED, [answerOf(other, 7), answerOf(old, 7)])).toEqual({ kind: 'only', service: SERVICE, version: old.versionOf(V1) })
    expect(decide(answerOf(other, 7), answerOf(old, 7))).toEqual({ kind: 'gone' })
    expect(decide(answerOf(other, 8), answerOf(old, 8))).toEqual({ kind: 'unknown' })
    expect(decide(answerOf(other, 8))).toEqual({ kind: 'only', service: SERVICE, version: old.versionOf(V2) })
    expect(decide(answerOf(other, 8), answerOf(createDb([V2]), 8, STARTED))).toEqual({ kind: 'only', service: SERVICE, version: old.versionOf(V2) })
  })

  it('is unknown where none that answers has known the list for as long as streams last, or its list is old', () => {
    const started = createDb([V2])
    const decide = (own: ListKnowledge, ...answers: StreamVersionAnswer[]) => decideByAnswers(started, ROUTE, own, answers).kind
    const justKnown = LONGEST_STREAM_MS + 4000
    expect(decide(STARTED)).toEqual('unknown')
    expect(decide(STARTED, answerOf(createDb([V2]), 8, STARTED))).toEqual('unknown')
    expect(decide(STARTED, answerOf(createDb([V2]), 8, { ageMs: 4001, completeForMs: FORGOTTEN_MS, isConfirmed: true }))).toEqual('unknown')
    expect(decide(STARTED, answerOf(createDb([V2]), 8, { ...KNOWN, isConfirmed: false }))).toEqual('unknown')
    expect(decide(STARTED, answerOf(createDb([V2]), 8, { ageMs: 4000, completeForMs: justKnown - 1, isConfirmed: true }))).toEqual('unknown')
    expect(decide(STARTED, answerOf(createDb([V2]), 8, { ageMs: 4000, completeForMs: justKnown, isConfirmed: true }))).toEqual('only')
    expect(decide({ ageMs: 0, completeForMs: justKnown, isConfirmed: true })).toEqual('only')
  })

  it('goes on anywhere at a gateway that has just started when no gateway knows of a declared version', () => {
    const undeclared = createDb([upstream('u1', undefined)])
    expect(decideByAnswers(undeclared, ROUTE, STARTED, [answerOf(undeclared, 7, STARTED)])).toEqual({ kind: 'any' })
  })

  it('is never sent to another version than began it, whatever gateways miss of each other', () => {
    const step = fc.record({ gateway: fc.nat(3), stream: fc.nat(20), version: fc.nat(2), isTold: fc.boolean(), restarts: fc.integer({ min: 0, max: 9 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const listed = ['v1', 'v2', 'v3'].map((version, nth) => upstream(`u${nth}`, version))
      const fleet = Array.from({ length: 4 }, () => createDb(listed))
      const lists = fleet.map(() => KNOWN)
      const beganAt = new Map<number, number>()
      steps.forEach(({ gateway, stream, version, isTold, restarts }, now) => {
        if (restarts === 0) {
          fleet[gateway] = createDb(listed, now)
          lists[gateway] = STARTED
        }
        const db = fleet[gateway] ?? createDb(listed)
        const list = lists[gateway] ?? STARTED
        const first = beganAt.get(stream)
        if (first === undefined) {
          const sentTo = db.versionOf(listed[version] ?? V1)
          beganAt.set(stream, sentTo)
          db.recordSend(stream, sentTo, now)
        } else {
          const decision = decideStreamVersion(db, ROUTE, stream, list)
          const answered = decision.kind === 'unknown' ? decideByAnswers(db, ROUTE, list, fleet.map((peer, nth) => answerOf(peer, stream, lists[nth]))) : decision
          expect(answered.kind === 'unknown' || (answered.kind === 'only' && answered.version === first)).toEqual(true)
        }
        if (isTold) for (const report of db.takeUnsent()) for (const peer of fleet) peer.applyReport(report, now)
      })
    }))
  })
})

/** Guards against a stream that goes on at another service than began it, whose text does not fit, and is then recorded as begun there. */
describe('a stream of a route that leads, or has led, to several services', () => {
  const OTHER_V1 = upstream('u9', 'v1', { service: OTHER })
  const decideByPeer = (version: number | undefined, db: StreamVersionDb, route: StreamRoute) => decideByAnswers(db, route, STARTED, [{ ...answerOf(db, 7), version }])

  it('goes on at the service that began it, whether this gateway or another one knows', () => {
    const db = createDb([V1, V2, OTHER_V1])
    db.recordSend(7, db.versionOf(OTHER_V1), 0)
    const other = { kind: 'only', service: OTHER, version: db.versionOf(OTHER_V1) } as const
    expect(decideStreamVersion(db, SPLIT, 7, KNOWN)).toEqual(other)
    expect(decideByPeer(db.versionOf(OTHER_V1), createDb([V1, V2, OTHER_V1]), SPLIT)).toEqual(other)
  })

  it('is refused when the route does not lead to that service any more, or no upstream of its version is known', () => {
    const db = createDb([V1, V2, OTHER_V1])
    db.recordSend(7, db.versionOf(OTHER_V1), 0)
    expect(decideStreamVersion(db, MOVED, 7, KNOWN)).toEqual({ kind: 'moved', service: OTHER })
    expect(decideByPeer(db.versionOf(OTHER_V1), createDb([V1, V2, OTHER_V1]), MOVED)).toEqual({ kind: 'moved', service: OTHER })
    expect(decideByPeer(db.versionOf(OTHER_V1), createDb([V1, V2]), SPLIT)).toEqual({ kind: 'gone' })
  })

  it('is unknown where each service has one version and nobody knows which began it', () => {
    const db = createDb([V1, OTHER_V1])
    for (const route of [SPLIT, MOVED]) {
      expect(decideStreamVersion(db, route, 7, KNOWN)).toEqual({ kind: 'unknown' })
      expect(decideByAnswers(db, route, KNOWN, [answerOf(db, 7)])).toEqual({ kind: 'unknown' })
    }
  })

  it('goes on at any upstream of the service that began it when that declares no versions, and nowhere else', () => {
    const undeclared = [upstream('u1', undefined), upstream('u2', undefined, { service: OTHER })]
    const db = createDb(undeclared)
    expect(decideStreamVersion(db, SPLIT, 7, KNOWN)).toEqual({ kind: 'unknown' })
    db.recordSend(7, db.serviceVersion(OTHER), 0)
    expect(decideStreamVersion(db, SPLIT, 7, KNOWN)).toEqual({ kind: 'service', service: OTHER })
    expect(decideStreamVersion(db, MOVED, 7, KNOWN)).toEqual({ kind: 'moved', service: OTHER })
    db.setUpstreams([...undeclared, OTHER_V1], 0)
    expect(decideStreamVersion(db, SPLIT, 7, KNOWN)).toEqual({ kind: 'gone' })
  })

  it('goes on at a process that has declared its version since', () => {
    const db = createDb([upstream('u9', undefined, { service: OTHER }), V1])
    const began = db.versionOf(upstream('u9', undefined, { service: OTHER }))
    db.recordSend(7, began, 0)
    db.setUpstreams([OTHER_V1, V1], 0)
    expect(decideStreamVersion(db, SPLIT, 7, KNOWN)).toEqual({ kind: 'only', service: OTHER, version: began })
  })
})

describe('what a gateway remembers of streams', () => {
  it('is kept for as long as a stream may last, and then forgotten', () => {
    const db = createDb([V1, V2])
    db.recordSend(7, db.versionOf(V1), 0)
    for (let now = 0; now <= LONGEST_STREAM_MS; now += 500) db.expire(now)
    expect(db.versionOfStream(7)).toEqual(db.versionOf(V1))
    expect(db.recent()).toEqual([{ version: db.versionOf(V1), streams: [7] }])
    for (let now = LONGEST_STREAM_MS; now <= FORGOTTEN_MS; now += 500) db.expire(now)
    expect(db.versionOfStream(7)).toEqual(undefined)
    expect(db.recent()).toEqual([])
  })

  it('is bounded, the newest streams last, when 300 gateways send more than it can hold', () => {
    const db = createDb([V1])
    const version = db.versionOf(V1)
    for (let round = 0; round < 1000; round++) db.applyReport({ version, streams: Array.from({ length: 400 }, (_, nth) => round * 400 + nth) }, round)
    expect([db.versionOfStream(0), db.versionOfStream(399_999), db.versionOfStream(300_000)]).toEqual([undefined, version, version])
    for (let stream = 0; stream < 10_000; stream++) db.recordSend(stream, version, 0)
    expect(db.recent().flatMap(({ streams }) => streams).length <= 4096).toEqual(true)
    expect(db.takeUnsent().flatMap(({ streams }) => streams).length <= 2048).toEqual(true)
  })
})
