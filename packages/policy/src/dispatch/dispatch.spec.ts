import { describe, it } from 'node:test'
import { asId, type Incarnation, type RequestId, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import type { FairnessDb } from '../fairness/fairnessDb.js'
import { fairnessDefinition } from '../fairness/fairnessDefinition.js'
import { decideDispatch } from './dispatch.js'
import type { DispatchDb } from './dispatchDb.js'
import { dispatchDefinition, PULL_TTL_MS, SLOW_ROUTER_AFTER_MS } from './dispatchDefinition.js'
import type { BacklogEntry, DispatchEvent } from './dispatchTypes.js'

const service = asId<ServiceId>('scribe')
const workspaceId = (name: string): WorkspaceId => asId<WorkspaceId>(name)
const entry = (name: string, waiting: number, oldestWait = 0, headCost = 10): BacklogEntry => ({ workspace: workspaceId(name), waiting, oldestWait, headCost })
const backlog = (router: string, entries: BacklogEntry[], now = 0): DispatchEvent => ({ kind: 'router-backlog', router, service, entries, now })

const setUp = (limit: number): { db: DispatchDb, fairness: FairnessDb, apply: (event: DispatchEvent) => string[] } => {
  const db = dispatchDefinition.createDb({ pullTtl: PULL_TTL_MS, slowRouterAfter: SLOW_ROUTER_AFTER_MS, seed: 1 })
  const fairness = fairnessDefinition.createDb(asId<Incarnation>('me'), 0)
  db.limit = limit
  const apply = (event: DispatchEvent): string[] => decideDispatch(db, fairness, event).map(({ router, workspace }) => `${router}:${workspace}`)
  return { db, fairness, apply }
}

describe('dispatch to the slots of an agent', () => {
  it('distributes a burst of free slots over workspaces by the estimated cost of each pull', () => {
    const { apply } = setUp(4)
    expect(apply(backlog('r', [entry('a', 9, 0, 10), entry('b', 9, 0, 30)]))).toEqual(['r:a', 'r:b', 'r:a', 'r:a'])
  })

  it('pulls from the router with the oldest request, counting the time since its update', () => {
    const { db, apply } = setUp(0)
    apply(backlog('old', [entry('a', 1, 50)], 0))
    apply(backlog('new', [entry('a', 1, 90)], 100))
    db.limit = 1
    expect(apply({ kind: 'tick', now: 100 })).toEqual(['old:a'])
  })

  it('uses the slot for another workspace after an empty pull, and does not repeat the pull before the next update', () => {
    const { apply } = setUp(1)
    apply(backlog('r', [entry('a', 5), entry('b', 1)]))
    expect(apply({ kind: 'pull-empty', pull: 1, now: 1 })).toEqual(['r:b'])
    expect(apply({ kind: 'pull-empty', pull: 2, now: 2 })).toEqual([])
    expect(apply(backlog('r', [entry('a', 1)], 3))).toEqual(['r:a'])
  })

  it('never uses more slots than the limit, including after the limit is lowered', () => {
    const { db, apply } = setUp(2)
    apply(backlog('r', [entry('a', 9)]))
    apply({ kind: 'pull-answered', pull: 1, request: asId<RequestId>('x'), now: 1 })
    expect(apply({ kind: 'slots-changed', limit: 1, now: 2 })).toEqual([])
    expect(apply({ kind: 'request-ended', request: asId<RequestId>('x'), now: 3 })).toEqual([])
    expect([db.running, db.reserved, db.free]).toEqual([0, 1, 0])
  })

  it('pulls from another router while one does not reply, and frees the slot when the pull expires', () => {
    const { db, apply } = setUp(2)
    expect(apply(backlog('paused', [entry('a', 1, 90)]))).toEqual(['paused:a'])
    expect(apply(backlog('paused', [entry('a', 9, 90)], SLOW_ROUTER_AFTER_MS))).toEqual([])
    expect(apply(backlog('live', [entry('a', 1)], SLOW_ROUTER_AFTER_MS))).toEqual(['live:a'])
    expect(apply({ kind: 'tick', now: PULL_TTL_MS })).toEqual([])
    expect([db.isPending(1), db.isPending(2), db.free]).toEqual([false, true, 1])
  })

  it('frees the slots reserved by pulls from a router that is gone', () => {
    const { db, apply } = setUp(1)
    apply(backlog('r', [entry('a', 3)]))
    expect(apply({ kind: 'router-gone', router: 'r', now: 1 })).toEqual([])
    expect(db.free).toEqual(1)
  })

  it('never exceeds the limit and leaves no slot free while a request is offered, for any sequence of events', () => {
    const event = fc.oneof(
      fc.record({ kind: fc.constant('router-backlog' as const), router: fc.constantFrom('r', 'q'), waiting: fc.nat(4) }),
      fc.record({ kind: fc.constant('pull-answered' as const), pull: fc.nat(30) }),
      fc.record({ kind: fc.constant('pull-empty' as const), pull: fc.nat(30) }),
      fc.record({ kind: fc.constant('request-ended' as const), request: fc.nat(30) }),
      fc.record({ kind: fc.constant('slots-changed' as const), limit: fc.nat(5) }),
      fc.record({ kind: fc.constant('router-gone' as const), router: fc.constantFrom('r', 'q') }),
      fc.record({ kind: fc.constant('tick' as const) })
    )
    const toEvent = (step: typeof event extends fc.Arbitrary<infer T> ? T : never, now: number): DispatchEvent => {
      switch (step.kind) {
        case 'router-backlog': return backlog(step.router, [entry('a', step.waiting), entry('b', 1)], now)
        case 'pull-answered': return { ...step, request: asId<RequestId>(`${step.pull}`), now }
        case 'request-ended': return { ...step, request: asId<RequestId>(`${step.request}`), now }
        default: return { ...step, now }
      }
    }
    fc.assert(fc.property(fc.array(event, { maxLength: 60 }), events => {
      const { db, apply } = setUp(3)
      events.forEach((step, i) => {
        const usedBefore = db.running + db.reserved
        const pulls = apply(toEvent(step, i * 30))
        const withinLimit = db.running + db.reserved <= Math.max(db.limit, usedBefore)
        const slow = db.slowRouters(i * 30)
        const hasUnusedSlot = db.free > 0 && db.offersOf(service).some(offer => !slow.has(offer.router))
        expect([withinLimit, hasUnusedSlot, pulls.length > 0 && db.free < 0]).toEqual([true, false, false])
      })
    }), { seed: 20261203, numRuns: 300 })
  })
})
