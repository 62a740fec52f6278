/** Specification of configuration revisions. */
import { describe, it } from 'node:test'
import type { Finding } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { decideRevision } from './revision.js'
import { RevisionDb } from './revisionDb.js'
import type { ParseResult, RevisionCommand, RevisionConfig, RevisionEvent } from './revisionTypes.js'

const SEED = 8_005
const router: RevisionConfig = { alwaysWatch: true, watchAfter: 10_000, watchJitter: 5_000, maxRefused: 4, requestTimeout: 1_000 }
const agent: RevisionConfig = { ...router, alwaysWatch: false }
const findings: Finding[] = [{ severity: 'error', place: { file: 'base.jsonc', line: 1, column: 1 }, path: 'zones', message: 'is missing' }]

const documents = (revision: number, link?: string, result: ParseResult = { kind: 'accepted' }): RevisionEvent =>
  ({ kind: 'documents-received', now: 0, source: link === undefined ? 'service' : 'peer', revision, result, ...(link === undefined ? {} : { link }) })

const acceptedDb = (cfg: RevisionConfig, revision: number): RevisionDb => {
  const db = new RevisionDb(cfg)
  decideRevision(db, documents(revision))
  return db
}

/** Processes that exchange revisions over links; messages are queued until they are delivered. */
class Fleet {
  readonly dbs: RevisionDb[]
  readonly accepted: number[][]
  readonly messages: Array<{ from: number, to: number, revision: number, kind: 'number' | 'documents' | 'request' }> = []

  constructor (count: number, readonly isValid: (revision: number) => boolean) {
    this.dbs = Array.from({ length: count }, () => new RevisionDb(router))
    this.accepted = this.dbs.map(() => [])
  }

  link (a: number, b: number): void {
    this.applyEvent(a, { kind: 'link-up', now: 0, link: String(b) })
    this.applyEvent(b, { kind: 'link-up', now: 0, link: String(a) })
  }

  unlink (a: number, b: number): void {
    const kept = this.messages.filter(({ from, to }) => !(from === a && to === b) && !(from === b && to === a))
    this.messages.splice(0, this.messages.length, ...kept)
    this.applyEvent(a, { kind: 'link-down', now: 0, link: String(b), random: 0 })
    this.applyEvent(b, { kind: 'link-down', now: 0, link: String(a), random: 0 })
  }

  publish (to: number, revision: number): void {
    this.applyEvent(to, documents(revision, undefined, this.parse(revision)))
  }

  parse (revision: number): ParseResult {
    return this.isValid(revision) ? { kind: 'accepted' } : { kind: 'findings', findings }
  }

  deliver (): void {
    const message = this.messages.shift()
    if (message === undefined || !this.dbs[message.to]!.peers.has(String(message.from))) return
    const link = String(message.from)
    const { revision } = message
    if (message.kind === 'documents') this.applyEvent(message.to, documents(revision, link, this.parse(revision)))
    else this.applyEvent(message.to, { kind: message.kind === 'request' ? 'documents-requested' : 'peer-revision', now: 0, link, revision })
  }

  applyEvent (to: number, event: RevisionEvent): void {
    for (const command of decideRevision(this.dbs[to]!, event)) this.execute(to, command)
  }

  execute (from: number, command: RevisionCommand): void {
    if (command.kind === 'accept') this.accepted[from]!.push(command.revision)
    if (command.kind !== 'send-revision' && command.kind !== 'request-documents') return
    const kind = command.kind === 'request-documents' ? 'request' : command.withDocuments ? 'documents' : 'number'
    this.messages.push({ from, to: Number(command.link), revision: command.revision, kind })
  }
}

describe('revision', () => {
  it('accepts a higher revision and announces it once to each linked peer that is behind', () => {
    const db = acceptedDb(router, 3)
    decideRevision(db, { kind: 'link-up', now: 0, link: 'a' })
    decideRevision(db, { kind: 'link-up', now: 0, link: 'b' })
    decideRevision(db, { kind: 'peer-revision', now: 0, link: 'b', revision: 4 })
    expect(decideRevision(db, documents(4))).toEqual([
      { kind: 'accept', revision: 4 }, { kind: 'send-revision', link: 'a', revision: 4, withDocuments: false }
    ])
    expect(decideRevision(db, documents(4, 'b'))).toEqual([])
  })

  it('never reverts to an older revision from a stale configuration service', () => {
    const db = acceptedDb(router, 9)
    expect(decideRevision(db, documents(8))).toEqual([])
    expect(db.accepted).toEqual(9)
  })

  it('refuses a revision with findings, keeps the accepted one, and does not request the refused one again', () => {
    const db = acceptedDb(router, 3)
    decideRevision(db, { kind: 'link-up', now: 0, link: 'a' })
    expect(decideRevision(db, documents(4, undefined, { kind: 'findings', findings }))).toEqual([{ kind: 'refuse-with-findings', revision: 4, findings }])
    expect(decideRevision(db, { kind: 'peer-revision', now: 9_999, link: 'a', revision: 4 })).toEqual([])
    expect(decideRevision(db, documents(4, undefined, { kind: 'findings', findings }))).toEqual([])
    expect([db.accepted, db.floor]).toEqual([3, 4])
  })

  it('requests documents from one peer at a time, and from the next after a timeout or when the link ends', () => {
    const db = acceptedDb(router, 3)
    for (const link of ['a', 'b', 'c']) decideRevision(db, { kind: 'link-up', now: 0, link })
    const receiveRevision = (link: string, now: number): RevisionCommand[] => decideRevision(db, { kind: 'peer-revision', now, link, revision: 5 })
    expect(receiveRevision('a', 0)).toEqual([{ kind: 'request-documents', link: 'a', revision: 3 }])
    expect([...receiveRevision('b', 1), ...receiveRevision('c', 2)]).toEqual([])
    const isRequest = (command: RevisionCommand): boolean => command.kind === 'request-documents'
    expect(decideRevision(db, { kind: 'tick', now: 1_000, random: 0 }).filter(isRequest)).toEqual([{ kind: 'request-documents', link: 'b', revision: 3 }])
    expect(decideRevision(db, { kind: 'link-down', now: 1_001, link: 'b', random: 0 })).toEqual([{ kind: 'request-documents', link: 'a', revision: 3 }])
  })

  it('sends documents only to a peer that requests them and is behind', () => {
    const db = acceptedDb(router, 3)
    const receiveRequest = (revision: number): RevisionCommand[] => decideRevision(db, { kind: 'documents-requested', now: 0, link: 'a', revision })
    expect(receiveRequest(2)).toEqual([{ kind: 'send-revision', link: 'a', revision: 3, withDocuments: true }])
    expect(receiveRequest(3)).toEqual([])
  })

  it('accepts a newer revision from a peer when the configuration service is stale', () => {
    const fleet = new Fleet(2, () => true)
    fleet.publish(0, 7)
    fleet.publish(1, 5)
    fleet.link(0, 1)
    while (fleet.messages.length > 0) fleet.deliver()
    expect(fleet.accepted).toEqual([[7], [5, 7]])
  })

  it('watches at once as a router, and as an agent only after some time without any link', () => {
    const kinds = (db: RevisionDb, event: RevisionEvent): string[] => decideRevision(db, event).map(command => command.kind)
    expect(kinds(new RevisionDb(router), { kind: 'tick', now: 0, random: 0.5 })).toEqual(['watch'])
    const db = new RevisionDb(agent)
    expect(kinds(db, { kind: 'tick', now: 0, random: 0.5 })).toEqual([])
    expect(kinds(db, { kind: 'tick', now: 12_499, random: 0 })).toEqual([])
    expect(kinds(db, { kind: 'tick', now: 12_500, random: 0 })).toEqual(['watch'])
    expect(kinds(db, { kind: 'link-up', now: 12_600, link: 'a' })).toEqual(['send-revision', 'stop-watching'])
    expect(kinds(db, { kind: 'tick', now: 99_000, random: 0 })).toEqual([])
    expect(kinds(db, { kind: 'link-down', now: 99_000, link: 'a', random: 0 })).toEqual([])
    expect(kinds(db, { kind: 'tick', now: 109_000, random: 0 })).toEqual(['watch'])
  })

  it('does not watch as an agent while at least one link is up', () => {
    const db = new RevisionDb(agent)
    for (const link of ['a', 'b']) decideRevision(db, { kind: 'link-up', now: 0, link })
    decideRevision(db, { kind: 'link-down', now: 1, link: 'a', random: 0 })
    expect(decideRevision(db, { kind: 'tick', now: 99_000, random: 0 })).toEqual([])
  })

  it('retries after a random delay when the configuration service fails', () => {
    const db = new RevisionDb(router)
    decideRevision(db, { kind: 'tick', now: 0, random: 0 })
    decideRevision(db, { kind: 'service-down', now: 100, random: 0.5 })
    expect(decideRevision(db, { kind: 'tick', now: 2_599, random: 0 })).toEqual([])
    expect(decideRevision(db, { kind: 'tick', now: 2_600, random: 0 })).toEqual([{ kind: 'watch', above: 0 }])
  })

  it('never reverts in any process, accepts no invalid revision, and converges on the newest once all are linked', () => {
    const pair = fc.tuple(fc.nat(4), fc.nat(4)).filter(([a, b]) => a !== b)
    const step = fc.oneof(
      fc.record({ op: fc.constant('publish' as const), to: fc.nat(4), revision: fc.integer({ min: 1, max: 20 }) }),
      fc.record({ op: fc.constant('link' as const), pair }),
      fc.record({ op: fc.constant('unlink' as const), pair }),
      fc.record({ op: fc.constant('deliver' as const) }),
      fc.record({ op: fc.constant('restart' as const), process: fc.nat(4) }))
    fc.assert(fc.property(fc.array(step, { maxLength: 80 }), steps => {
      const fleet = new Fleet(5, revision => revision % 5 !== 0)
      let newest = 0
      for (const action of steps) {
        if (action.op === 'publish') fleet.publish(action.to, action.revision)
        if (action.op === 'link') fleet.link(...action.pair)
        if (action.op === 'unlink') fleet.unlink(...action.pair)
        if (action.op === 'deliver') fleet.deliver()
        if (action.op === 'restart') {
          for (let other = 0; other < 5; other += 1) if (other !== action.process) fleet.unlink(action.process, other)
          fleet.dbs[action.process] = new RevisionDb(router)
          fleet.accepted[action.process] = []
        }
      }
      for (let a = 0; a < 5; a += 1) for (let b = 0; b < a; b += 1) fleet.link(a, b)
      newest = Math.max(...fleet.dbs.map(db => db.accepted))
      while (fleet.messages.length > 0) fleet.deliver()
      const ascending = fleet.accepted.every(list => list.every((revision, n) => revision % 5 !== 0 && revision > (list[n - 1] ?? 0)))
      return ascending && fleet.dbs.every(db => db.accepted === newest)
    }), { seed: SEED, numRuns: 2_000 })
  })
})
