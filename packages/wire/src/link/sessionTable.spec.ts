/** Decisions on session offers at the listening end. */
import { describe, it } from 'node:test'
import { asId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import type { Offer } from '../handshake/handshakeTypes.js'
import type { SessionEnd } from '../session/sessionTypes.js'
import { SessionTable, type TableSession } from './sessionTable.js'

const offer = (incarnation: string, started: number, session: number, attempt: number): Offer =>
  ({ identity: { host: asId('host-1'), incarnation: asId(incarnation), role: 'agent', zone: asId('zone-a') }, started, dialer: 'd', session, attempt })

class TestSession implements TableSession {
  readonly ends: SessionEnd[] = []
  constructor (readonly table: SessionTable<TestSession>, readonly offer: Offer) {}
  checkExpiry = (): void => {}
  end = (reason: SessionEnd): void => {
    this.ends.push(reason)
    this.table.remove(this.offer)
  }
}

const open = (table: SessionTable<TestSession>, from: Offer): TestSession | undefined =>
  table.accept(from, () => new TestSession(table, from))

describe('session table', () => {
  it('resumes a session only for a later attempt', () => {
    const table = new SessionTable<TestSession>()
    const session = open(table, offer('i1', 1, 1, 1))
    expect(open(table, offer('i1', 1, 1, 3)) === session).toEqual(true)
    expect(table.evaluate(offer('i1', 1, 1, 2)).outcome).toEqual('gone')
    expect(table.evaluate(offer('i1', 1, 1, 4)).outcome).toEqual('resumed')
  })

  it('answers gone for a session that is unknown or has ended', () => {
    const table = new SessionTable<TestSession>()
    expect(table.evaluate(offer('i1', 1, 1, 2)).outcome).toEqual('gone')
    open(table, offer('i1', 1, 1, 1))?.end('expired')
    expect(table.evaluate(offer('i1', 1, 1, 2)).outcome).toEqual('gone')
  })

  it('ends a session whose dialer has opened a new one', () => {
    const table = new SessionTable<TestSession>()
    const first = open(table, offer('i1', 1, 1, 1))
    open(table, offer('i1', 1, 2, 2))
    expect(first?.ends).toEqual(['expired'])
    expect(table.sessions.length).toEqual(1)
  })

  it('lets a later process of the same host supersede an earlier one, and rejects the earlier one while the later has a session', () => {
    const table = new SessionTable<TestSession>()
    const earlierSession = open(table, offer('i1', 1, 1, 1))
    const laterSession = open(table, offer('i2', 2, 1, 1))
    expect(earlierSession?.ends).toEqual(['peer-restarted'])
    expect(table.evaluate(offer('i1', 1, 2, 2)).outcome).toEqual('superseded')
    expect(open(table, offer('i1', 1, 2, 2))).toEqual(undefined)
    laterSession?.end('expired')
    expect(table.evaluate(offer('i1', 1, 2, 2)).outcome).toEqual('new')
  })
})
