import { describe, it } from 'node:test'
import { expect } from 'earl'
import { plainAnswer, POISON, sealOf, streamAnswer } from '../world/servedWork.js'
import { COLD_PER_SECOND, findBroken } from './allChecks.js'
import { BOUNDS } from './bounds.js'
import { type Arrival, type ClosedSpan, type Disturbance, emptyLedger, type Ledger, type RequestEnd, type SentRequest } from './ledgerTypes.js'

const request = (fields: Partial<SentRequest> = {}): SentRequest => ({
  gateway: 0, life: 1, attempt: 'a1', kind: 'safe', path: '/safe/x', body: 'b', key: 'k', workspace: 'w', sentAt: 10_000, timeoutMs: 1500, revision: undefined, end: undefined, ...fields
})

const arrival = (fields: Partial<Arrival> = {}): Arrival => ({
  attempt: 'a1', upstream: 'u1', service: 'plain', zone: 'north', at: 10_001, path: '/safe/x', body: 'b', workspace: 'w', hasKey: false, resumeAfter: 0, ran: true, workMs: 25, endedAt: 10_026, end: 'whole', ...fields
})

const answered = (fields: Partial<Extract<RequestEnd, { kind: 'answer' }>> = {}): RequestEnd =>
  ({ kind: 'answer', at: 10_030, status: 200, seal: sealOf('a1', 200), body: plainAnswer('a1', 'b'), returnAfter: undefined, ...fields })

const broken = (fields: Partial<Extract<RequestEnd, { kind: 'broken' }>> = {}): RequestEnd =>
  ({ kind: 'broken', at: 10_020, status: undefined, body: '', reason: 'reset', ...fields })

const disturbance = (subject: string, from: number, to: number, isPlanned = false): Disturbance => ({ subject, from, to, isPlanned })

const ledger = (fields: Partial<Ledger>): Ledger => ({ ...emptyLedger(), ...fields })

/** Time at which the checks look. */
const NOW = 30_000

const promiseOf = (fields: Partial<Ledger>): string | undefined => findBroken(ledger(fields), NOW)?.promise

const many = <T>(count: number, make: (nth: number) => T): T[] => Array.from({ length: count }, (_, nth) => make(nth))

describe('a soak', () => {
  it('takes an answered request that ran once for kept', () => {
    expect(promiseOf({ requests: [request({ end: answered() })], arrivals: [arrival()] })).toEqual(undefined)
  })

  it('sees a request run twice that may run once', () => {
    const runs = [arrival({ path: '/once/x' }), arrival({ path: '/once/x', upstream: 'u2' })]
    expect(promiseOf({ requests: [request({ kind: 'once', path: '/once/x', end: answered() })], arrivals: runs })).toEqual('nothing that must not repeat runs twice')
  })

  it('sees a refusal of a request that ran, before or after', () => {
    const refused = request({ end: answered({ status: 503, seal: undefined, body: '' }) })
    expect(promiseOf({ requests: [refused], arrivals: [arrival({ at: 10_900, endedAt: 10_925 })] })).toEqual('a refusal that says "not run" is true')
    expect(promiseOf({ requests: [refused], arrivals: [arrival({ ran: false })] })).toEqual(undefined)
  })

  it('sees foreign, cut, unsealed and joined answers', () => {
    const ends = [
      answered({ body: plainAnswer('a2', 'b') }), answered({ body: plainAnswer('a1', 'b').slice(0, 90) }), answered({ seal: undefined }),
      answered({ status: 500, seal: sealOf('a1', 200), body: '' }), broken({ status: 200, body: 'a2' })
    ]
    for (const end of ends) expect(promiseOf({ requests: [request({ end })], arrivals: [arrival()] })).toEqual('each caller gets its own whole answer')
  })

  it('sees a stream with a piece missing, and lets one break off', () => {
    const stream = (end: RequestEnd): Partial<Ledger> => ({ requests: [request({ kind: 'stream', path: '/stream/x', end })], arrivals: [arrival({ path: '/stream/x', end: 'failed' })] })
    const whole = streamAnswer('a1', 0)
    expect(promiseOf(stream(answered({ body: whole })))).toEqual(undefined)
    expect(promiseOf(stream(answered({ body: whole.replace('id: 4\ndata: a1/4\n\n', '') })))).toEqual('each caller gets its own whole answer')
    expect(promiseOf(stream(broken({ status: 200, body: whole.slice(0, 50) })))).toEqual(undefined)
  })

  it('sees what upstreams were sent that nobody asked', () => {
    const requests = [request({ end: answered() })]
    for (const fields of [{ attempt: 'a9' }, { body: 'c' }, { path: '/safe/y' }, { workspace: 'v' }, { hasKey: true }]) {
      expect(promiseOf({ requests, arrivals: [arrival(fields)] })).toEqual('upstreams get what callers sent, in the name of their workspace')
    }
  })

  it('sees a key that works too long, also at a gateway that is cut off', () => {
    const fields = (at: number): Partial<Ledger> => ({
      requests: [request({ end: answered() })], arrivals: [arrival()], takenKeys: [{ key: 'k', at }], disturbances: [disturbance('store-link 0', 0, NOW)]
    })
    expect(promiseOf(fields(10_000 - BOUNDS.revokeMs - 1))).toEqual('a key that was taken away stops working')
    expect(promiseOf(fields(10_000 - BOUNDS.revokeMs + 1))).toEqual(undefined)
  })

  it('sees a process go back to an older configuration, and lets its successor know less', () => {
    const probe = (attempt: string, revision: number, life: number, sentAt: number): SentRequest =>
      request({ attempt, kind: 'probe', path: '/safe/x', revision, life, sentAt, end: answered({ at: sentAt + 30, seal: sealOf(attempt, 200), body: plainAnswer(attempt, 'b') }) })
    const arrivals = [arrival({ attempt: 'p1' }), arrival({ attempt: 'p2' })]
    expect(promiseOf({ requests: [probe('p1', 2, 1, 10_000), probe('p2', 1, 1, 10_500)], arrivals })).toEqual('a process never goes back to an older configuration')
    expect(promiseOf({ requests: [probe('p1', 2, 1, 10_000), probe('p2', 1, 2, 10_500)], arrivals })).toEqual(undefined)
  })

  it('sees a configuration come late, unless the store was disturbed', () => {
    const late = request({ kind: 'probe', revision: 3, end: answered({ status: 404, seal: undefined, body: '' }) })
    const publications = [{ revision: 3, at: 10_000 - BOUNDS.configMs - 1 }]
    expect(promiseOf({ requests: [late], publications })).toEqual('a configuration is in force in time')
    expect(promiseOf({ requests: [late], publications, disturbances: [disturbance('store', 6500, 6600)] })).toEqual(undefined)
  })

  it('sees requests to closed zones and to upstreams that leave', () => {
    const seen = { requests: [request({ end: answered() })], arrivals: [arrival()] }
    const span = (name: string, ms: number): ClosedSpan[] => [{ name, from: 10_001 - ms - 1, to: undefined }]
    expect(promiseOf({ ...seen, closedZones: span('north', BOUNDS.evacuateMs) })).toEqual('a closed zone gets nothing new')
    expect(promiseOf({ ...seen, closedZones: span('south', BOUNDS.evacuateMs) })).toEqual(undefined)
    expect(promiseOf({ ...seen, leaving: span('u1', BOUNDS.drainMs) })).toEqual('an upstream that leaves gets nothing new')
    expect(promiseOf({ ...seen, leaving: span('u1', BOUNDS.drainMs - 100) })).toEqual(undefined)
  })

  it('sees a cold upstream get more than it bears', () => {
    const bound = COLD_PER_SECOND * BOUNDS.coldExcess + BOUNDS.coldSlack
    const rush = (count: number): Partial<Ledger> => ({
      requests: many(count, nth => request({ attempt: `r${nth}`, end: broken() })),
      arrivals: many(count, nth => arrival({ attempt: `r${nth}`, at: 10_001 + nth, end: 'failed' })),
      cold: [{ name: 'u1', from: 9000, to: 20_000 }]
    })
    expect(promiseOf(rush(bound + 1))).toEqual('cold upstreams are spared by all gateways together')
    expect(promiseOf(rush(bound))).toEqual(undefined)
  })

  it('sees a stream worked on at two upstreams', () => {
    const requests = [request({ kind: 'stream', path: '/stream/x', end: answered({ at: 12_000, body: streamAnswer('a1', 0) }) })]
    const second = arrival({ path: '/stream/x', upstream: 'u2', at: 10_500, endedAt: 11_900 })
    const run = (endedAt: number): Arrival[] => [arrival({ path: '/stream/x', end: 'cancelled', endedAt }), second]
    expect(promiseOf({ requests, arrivals: run(10_950) })).toEqual('a stream that goes on elsewhere is not worked on where it was')
    expect(promiseOf({ requests, arrivals: run(10_600) })).toEqual(undefined)
  })

  it('sees a request that ends upstreams sent on and on', () => {
    const tries = (count: number): Partial<Ledger> => ({
      requests: many(count, nth => request({ attempt: `p${nth}`, body: POISON, sentAt: 10_000 + nth * 2000, end: broken() })),
      arrivals: many(count, nth => arrival({ attempt: `p${nth}`, body: POISON, at: 10_001 + nth * 2000, end: 'failed' }))
    })
    // Three end upstreams; what follows within four seconds and three more are borne.
    expect(promiseOf(tries(8))).toEqual(undefined)
    expect(promiseOf(tries(9))).toEqual('a request that ends upstreams is contained')
  })

  it('sees work for callers that have left', () => {
    const left: RequestEnd = { kind: 'left', at: 10_010 }
    const late = { requests: many(4, nth => request({ attempt: `g${nth}`, end: left })), arrivals: many(4, nth => arrival({ attempt: `g${nth}`, at: 10_600, endedAt: 10_625 })) }
    expect(promiseOf(late)).toEqual('nothing is done for callers that have left')
    expect(promiseOf({ ...late, disturbances: [disturbance('gateway 0', 9900, 9950)] })).toEqual(undefined)
    const working = arrival({ path: '/safe/x', workMs: 2000, endedAt: 12_000 })
    expect(promiseOf({ requests: [request({ end: left })], arrivals: [working] })).toEqual('nothing is done for callers that have left')
  })

  it('sees requests that a planned end cuts, and bears those of a crash', () => {
    const cut = { requests: [request({ end: broken() })], arrivals: [arrival({ end: 'cancelled' })] }
    expect(promiseOf({ ...cut, disturbances: [disturbance('gateway 0', 9900, 11_000, true)] })).toEqual('requests that are worked on are answered, also while a gateway ends or reloads')
    expect(promiseOf({ ...cut, disturbances: [disturbance('gateway 0', 9900, 11_000, true), disturbance('upstream u7', 9900, 9950)] })).toEqual(undefined)
    expect(promiseOf({ ...cut, disturbances: [disturbance('gateway 0', 9900, 11_000)] })).toEqual(undefined)
    const four = { requests: many(4, nth => request({ attempt: `l${nth}`, end: broken() })), arrivals: many(4, nth => arrival({ attempt: `l${nth}`, end: 'cancelled' })) }
    expect(promiseOf(four)).toEqual('requests that are worked on are answered, also while a gateway ends or reloads')
  })

  it('sees a proper request blamed on its caller', () => {
    const denied = (status: number): Partial<Ledger> => ({ requests: [request({ end: answered({ status, seal: undefined, body: '' }) })] })
    expect(promiseOf(denied(401))).toEqual('no caller is blamed for a proper request')
    expect(promiseOf(denied(404))).toEqual('no caller is blamed for a proper request')
    expect(promiseOf({ ...denied(401), takenKeys: [{ key: 'k', at: 10_010 }] })).toEqual(undefined)
  })

  it('sees a request without an end, unless its gateway was held up', () => {
    expect(promiseOf({ requests: [request()] })).toEqual('every request has its final answer by the timeout of its route')
    expect(promiseOf({ requests: [request()], disturbances: [disturbance('gateway 0', 10_100, 11_000)] })).toEqual(undefined)
  })

  it('sees too many retries', () => {
    const count = Math.ceil(BOUNDS.retrySlack / (1 - BOUNDS.retryRatio)) + 1
    const retried = many(count, nth => request({ attempt: `t${nth}`, end: answered({ seal: sealOf(`t${nth}`, 200), body: plainAnswer(`t${nth}`, 'b') }) }))
    const arrivals = retried.flatMap(({ attempt }) => [arrival({ attempt, ran: false }), arrival({ attempt, upstream: 'u2' })])
    expect(promiseOf({ requests: retried, arrivals })).toEqual('retries of all gateways stay within their budget')
  })

  it('sees a fleet that does not serve again', () => {
    const requests = many(60, nth => request({ attempt: `c${nth}`, sentAt: 20_000, end: answered({ status: nth < 2 ? 503 : 200, seal: nth < 2 ? undefined : sealOf(`c${nth}`, 200), body: plainAnswer(`c${nth}`, 'b') }) }))
    expect(promiseOf({ requests, calmFrom: 10_000 })).toEqual('the fleet serves again once nothing disturbs it')
    expect(promiseOf({ requests: requests.slice(1), calmFrom: 10_000 })).toEqual(undefined)
    expect(promiseOf({ requests, calmFrom: 15_000 })).toEqual(undefined)
  })
})
