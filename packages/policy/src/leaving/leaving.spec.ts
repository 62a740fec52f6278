import { describe, it } from 'node:test'
import { asId, type UpstreamId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { LeavingDb } from './leavingDb.js'

const U1 = asId<UpstreamId>('u1')

describe('an upstream that announced its shutdown', () => {
  it('is leaving until a new process starts under its id', () => {
    const db = new LeavingDb()
    expect(db.record({ upstream: U1, startedAt: 100 }, 0)).toEqual(true)
    expect(db.isLeaving(U1, 100)).toEqual(true)
    expect(db.isLeaving(U1, 900)).toEqual(false)
  })

  it('does not make the next process under its id leave when its last response is late', () => {
    const db = new LeavingDb()
    db.record({ upstream: U1, startedAt: 900 }, 0)
    expect(db.record({ upstream: U1, startedAt: 100 }, 10)).toEqual(false)
    expect([db.isLeaving(U1, 900), db.isLeaving(U1, 100)]).toEqual([true, false])
  })

  it('is reported to peer gateways once, and to those that connect later', () => {
    const db = new LeavingDb()
    db.record({ upstream: U1, startedAt: 100 }, 0)
    expect(db.record({ upstream: U1, startedAt: 100 }, 10)).toEqual(false)
    db.applyReport({ upstream: asId<UpstreamId>('u2'), startedAt: 200 }, 10)
    expect([db.takeUnsent().length, db.takeUnsent().length]).toEqual([1, 0])
    expect(db.own()).toEqual([{ upstream: U1, startedAt: 100 }])
    expect(db.isLeaving(asId('u2'), 200)).toEqual(true)
  })

  it('is forgotten after ten minutes', () => {
    const db = new LeavingDb()
    db.record({ upstream: U1, startedAt: undefined }, 0)
    db.expire(599_000)
    expect(db.isLeaving(U1, undefined)).toEqual(true)
    db.expire(601_000)
    expect(db.isLeaving(U1, undefined)).toEqual(false)
  })
})
