import { describe, it } from 'node:test'
import { asId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import * as fc from 'fast-check'
import type { PeerId } from '../placement/placementTypes.js'
import { maxMinShares } from './maxMin.js'
import { decideShare, pressureLimit } from './tokenShare.js'
import { TokenShareDb } from './tokenShareDb.js'

const WINDOW_MS = 4000
const workspace = (name: string): WorkspaceId => asId<WorkspaceId>(name)
const [LARGE, SMALL] = [workspace('large'), workspace('small')]
const PEER = asId<PeerId>('peer')

const createDb = (capacityPerSecond: number): TokenShareDb => {
  const db = new TokenShareDb({ windowMs: WINDOW_MS })
  db.capacityPerSecond = capacityPerSecond
  return db
}

describe('max-min division', () => {
  it('gives who asks for little all of it and divides the rest evenly', () => {
    const shares = maxMinShares([{ key: 'a', demand: 10 }, { key: 'b', demand: 100 }, { key: 'c', demand: 500 }], 130)
    expect(shares.get('b')).toEqual(60)
    expect(shares.get('c')).toEqual(60)
  })

  it('never hands out more than there is, and leaves nothing while somebody asks', () => {
    fc.assert(fc.property(fc.array(fc.double({ min: 0, max: 1e6, noNaN: true }), { minLength: 1, maxLength: 40 }), fc.double({ min: 1, max: 1e6, noNaN: true }), (demands, capacity) => {
      const shares = maxMinShares(demands.map((demand, key) => ({ key, demand })), capacity)
      const got = demands.reduce((sum, demand, key) => sum + Math.min(demand, shares.get(key)!), 0)
      const asked = demands.reduce((sum, demand) => sum + demand, 0)
      expect(Math.abs(got - Math.min(asked, capacity))).toBeLessThan(1e-6 * (asked + capacity))
    }))
  })
})

describe('shares of tokens', () => {
  it('let a small workspace in while a large one has had its share', () => {
    const db = createDb(1000)
    db.recordRequested(LARGE, 20_000, 0)
    db.recordServed(LARGE, 4000, 0)
    db.recordRequested(SMALL, 100, 0)
    expect(decideShare(db, { workspace: LARGE, tokens: 100, pressure: 0.8 }, 600).kind).toEqual('refuse')
    expect(decideShare(db, { workspace: SMALL, tokens: 100, pressure: 0.8 }, 600).kind).toEqual('admit')
  })

  it('let a workspace beyond its share use what nobody else wants', () => {
    const db = createDb(1000)
    db.recordRequested(LARGE, 20_000, 0)
    db.recordServed(LARGE, 20_000, 0)
    expect(decideShare(db, { workspace: LARGE, tokens: 100, pressure: 0.2 }, 100).kind).toEqual('admit')
  })

  it('count what other routers served', () => {
    const db = createDb(1000)
    db.setPeerTotals(PEER, new Map([[LARGE, { requested: 50, served: 50 }]]), 0)
    db.setPeerTotals(PEER, new Map([[LARGE, { requested: 8050, served: 6050 }]]), 100)
    expect(db.totals(LARGE, 200)).toEqual({ requested: 8000, served: 6000 })
    expect(decideShare(db, { workspace: LARGE, tokens: 100, pressure: 0.8 }, 200).kind).toEqual('refuse')
  })

  it('forget what is older than the window', () => {
    const db = createDb(1000)
    db.recordServed(LARGE, 9000, 0)
    expect(db.totals(LARGE, WINDOW_MS + 300).served).toEqual(0)
  })

  it('count a long request for half a share, so that it can be served at all', () => {
    const db = createDb(1000)
    db.recordRequested(SMALL, 50_000, 0)
    expect(decideShare(db, { workspace: SMALL, tokens: 50_000, pressure: 0.8 }, 10).kind).toEqual('admit')
  })

  it('refuse everybody at an upstream that is full, and say when to return', () => {
    const verdict = decideShare(createDb(1000), { workspace: SMALL, tokens: 10, pressure: 1.2 }, 0)
    expect(verdict.kind === 'refuse' && verdict.reason).toEqual('full')
  })

  it('never let more use raise the limit', () => {
    fc.assert(fc.property(fc.double({ min: 0, max: 10, noNaN: true }), fc.double({ min: 0, max: 10, noNaN: true }), (a, b) => {
      expect(pressureLimit(Math.max(a, b))).toBeLessThanOrEqual(pressureLimit(Math.min(a, b)))
    }))
  })

  it('keep two hungry workspaces within a factor of two under a load that one of them floods', () => {
    const db = createDb(10_000)
    const served = new Map([[LARGE, 0], [SMALL, 0]])
    // The flood asks ten times as often; an upstream drains 10,000 tokens a second and is full at 6,000 waiting.
    let waiting = 0
    for (let now = 0; now < 20_000; now += 10) {
      waiting = Math.max(0, waiting - 100)
      for (const [who, every] of [[LARGE, 10], [SMALL, 100]] as const) {
        if (now % every !== 0) continue
        db.recordRequested(who, 1000, now)
        if (decideShare(db, { workspace: who, tokens: 1000, pressure: waiting / 6000 }, now).kind !== 'admit') continue
        db.recordServed(who, 1000, now)
        served.set(who, served.get(who)! + 1000)
        waiting += 1000
      }
    }
    expect(served.get(LARGE)! / served.get(SMALL)!).toBeLessThan(2)
    expect(served.get(LARGE)! + served.get(SMALL)!).toBeGreaterThan(0.9 * 200_000)
  })
})
