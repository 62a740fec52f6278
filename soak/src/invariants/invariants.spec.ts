import { describe, it } from 'node:test'
import { expect } from 'earl'
import { plainBody, CRASH_REQUEST_BODY, sealOf, streamBody } from '../world/upstreamResponses.js'
import { COLD_PER_SECOND, findViolation } from './allChecks.js'
import { BOUNDS } from './bounds.js'
import { type Arrival, type NamedSpan, type Disturbance, emptyObservations, type Observations, type RequestEnd, type SentRequest } from './observationTypes.js'

const request = (fields: Partial<SentRequest> = {}): SentRequest => ({
  gateway: 0, incarnation: 1, attempt: 'a1', kind: 'safe', path: '/safe/x', body: 'b', key: 'k', workspace: 'w', sentAt: 10_000, timeoutMs: 1500, revision: undefined, end: undefined, ...fields
})

const arrival = (fields: Partial<Arrival> = {}): Arrival => ({
  attempt: 'a1', upstream: 'u1', service: 'plain', zone: 'north', at: 10_001, path: '/safe/x', body: 'b', workspace: 'w', hasApiKey: false, lastEventId: 0, ran: true, workMs: 25, endedAt: 10_026, end: 'complete', ...fields
})

const response = (fields: Partial<Extract<RequestEnd, { kind: 'response' }>> = {}): RequestEnd =>
  ({ kind: 'response', at: 10_030, status: 200, seal: sealOf('a1', 200), body: plainBody('a1', 'b'), retryAfter: undefined, ...fields })

const abortedResponse = (fields: Partial<Extract<RequestEnd, { kind: 'broken' }>> = {}): RequestEnd =>
  ({ kind: 'broken', at: 10_020, status: undefined, body: '', reason: 'reset', ...fields })

const disturbance = (component: string, from: number, to: number, isPlanned = false): Disturbance => ({ component, from, to, isPlanned })

const observations = (fields: Partial<Observations>): Observations => ({ ...emptyObservations(), ...fields })

/** Time at which the checks look. */
const CHECK_TIME = 30_000

const violatedInvariant = (fields: Partial<Observations>): string | undefined => findViolation(observations(fields), CHECK_TIME)?.invariant

const repeat = <T>(count: number, make: (nth: number) => T): T[] => Array.from({ length: count }, (_, nth) => make(nth))

describe('a soak', () => {
  it('takes an answered request that ran once for kept', () => {
    expect(violatedInvariant({ requests: [request({ end: response() })], arrivals: [arrival()] })).toEqual(undefined)
  })

  it('sees a request run twice that may run once', () => {
    const runs = [arrival({ path: '/once/x' }), arrival({ path: '/once/x', upstream: 'u2' })]
    expect(violatedInvariant({ requests: [request({ kind: 'once', path: '/once/x', end: response() })], arrivals: runs })).toEqual('nothing that must not repeat runs twice')
  })

  it('sees a refusal of a request that ran, before or after', () => {
    const refused = request({ end: response({ status: 503, seal: undefined, body: '' }) })
    expect(violatedInvariant({ requests: [refused], arrivals: [arrival({ at: 10_900, endedAt: 10_925 })] })).toEqual('a refusal that says "not run" is true')
    expect(violatedInvariant({ requests: [refused], arrivals: [arrival({ ran: false })] })).toEqual(undefined)
  })

  it('sees foreign, cut, unsealed and joined answers', () => {
    const ends = [
      response({ body: plainBody('a2', 'b') }), response({ body: plainBody('a1', 'b').slice(0, 90) }), response({ seal: undefined }),
      response({ status: 500, seal: sealOf('a1', 200), body: '' }), abortedResponse({ status: 200, body: 'a2' })
    ]
    for (const end of ends) expect(violatedInvariant({ requests: [request({ end })], arrivals: [arrival()] })).toEqual('each caller gets its own whole answer')
  })

  it('sees a stream with a piece missing, and lets one break off', () => {
    const stream = (end: RequestEnd): Partial<Observations> => ({ requests: [request({ kind: 'stream', path: '/stream/x', end })], arrivals: [arrival({ path: '/stream/x', end: 'failed' })] })
    const whole = streamBody('a1', 0)
    expect(violatedInvariant(stream(response({ body: whole })))).toEqual(undefined)
    expect(violatedInvariant(stream(response({ body: whole.replace('id: 4\ndata: a1/4\n\n', '') })))).toEqual('each caller gets its own whole answer')
    expect(violatedInvariant(stream(abortedResponse({ status: 200, body: whole.slice(0, 50) })))).toEqual(undefined)
  })

  it('sees what upstreams were sent that nobody asked', () => {
    const requests = [request({ end: response() })]
    for (const fields of [{ attempt: 'a9' }, { body: 'c' }, { path: '/safe/y' }, { workspace: 'v' }, { hasApiKey: true }]) {
      expect(violatedInvariant({ requests, arrivals: [arrival(fields)] })).toEqual('upstreams get what callers sent, in the name of their workspace')
    }
  })

  it('sees a key that works too long, also at a gateway that is cut off', () => {
    const fields = (at: number): Partial<Observations> => ({
      requests: [request({ end: response() })], arrivals: [arrival()], revokedKeys: [{ key: 'k', at }], disturbances: [disturbance('store-link 0', 0, CHECK_TIME)]
    })
    expect(violatedInvariant(fields(10_000 - BOUNDS.revokeMs - 1))).toEqual('a key that was taken away stops working')
    expect(violatedInvariant(fields(10_000 - BOUNDS.revokeMs + 1))).toEqual(undefined)
  })

  it('sees a process go back to an older configuration, and lets its successor know less', () => {
    const probe = (attempt: string, revision: number, incarnation: number, sentAt: number): SentRequest =>
      request({ attempt, kind: 'probe', path: '/safe/x', revision, incarnation, sentAt, end: response({ at: sentAt + 30, seal: sealOf(attempt, 200), body: plainBody(attempt, 'b') }) })
    const arrivals = [arrival({ attempt: 'p1' }), arrival({ attempt: 'p2' })]
    expect(violatedInvariant({ requests: [probe('p1', 2, 1, 10_000), probe('p2', 1, 1, 10_500)], arrivals })).toEqual('a process never goes back to an older configuration')
    expect(violatedInvariant({ requests: [probe('p1', 2, 1, 10_000), probe('p2', 1, 2, 10_500)], arrivals })).toEqual(undefined)
  })

  it('sees a configuration come late, unless the store was disturbed', () => {
    const late = request({ kind: 'probe', revision: 3, end: response({ status: 404, seal: undefined, body: '' }) })
    const publications = [{ revision: 3, at: 10_000 - BOUNDS.configurationMs - 1 }]
    expect(violatedInvariant({ requests: [late], publications })).toEqual('a configuration is in force in time')
    expect(violatedInvariant({ requests: [late], publications, disturbances: [disturbance('store', 6500, 6600)] })).toEqual(undefined)
  })

  it('sees requests to closed zones and to upstreams that leave', () => {
    const seen = { requests: [request({ end: response() })], arrivals: [arrival()] }
    const span = (name: string, ms: number): NamedSpan[] => [{ name, from: 10_001 - ms - 1, to: undefined }]
    expect(violatedInvariant({ ...seen, excludedZones: span('north', BOUNDS.zoneExclusionMs) })).toEqual('a closed zone gets nothing new')
    expect(violatedInvariant({ ...seen, excludedZones: span('south', BOUNDS.zoneExclusionMs) })).toEqual(undefined)
    expect(violatedInvariant({ ...seen, leaving: span('u1', BOUNDS.leavingMs) })).toEqual('an upstream that leaves gets nothing new')
    expect(violatedInvariant({ ...seen, leaving: span('u1', BOUNDS.leavingMs - 100) })).toEqual(undefined)
  })

  it('sees a cold upstream get more than it bears', () => {
    const bound = COLD_PER_SECOND * BOUNDS.coldRateFactor + BOUNDS.coldRateSlack
    const arrivalsWhileCold = (count: number): Partial<Observations> => ({
      requests: repeat(count, nth => request({ attempt: `r${nth}`, end: abortedResponse() })),
      arrivals: repeat(count, nth => arrival({ attempt: `r${nth}`, at: 10_001 + nth, end: 'failed' })),
      cold: [{ name: 'u1', from: 9000, to: 20_000 }]
    })
    expect(violatedInvariant(arrivalsWhileCold(bound + 1))).toEqual('cold upstreams are spared by all gateways together')
    expect(violatedInvariant(arrivalsWhileCold(bound))).toEqual(undefined)
  })

  it('sees a stream worked on at two upstreams', () => {
    const requests = [request({ kind: 'stream', path: '/stream/x', end: response({ at: 12_000, body: streamBody('a1', 0) }) })]
    const second = arrival({ path: '/stream/x', upstream: 'u2', at: 10_500, endedAt: 11_900 })
    const run = (endedAt: number): Arrival[] => [arrival({ path: '/stream/x', end: 'cancelled', endedAt }), second]
    expect(violatedInvariant({ requests, arrivals: run(10_950) })).toEqual('a stream that goes on elsewhere is not worked on where it was')
    expect(violatedInvariant({ requests, arrivals: run(10_600) })).toEqual(undefined)
  })

  it('sees a request that ends upstreams sent on and on', () => {
    const crashRequests = (count: number): Partial<Observations> => ({
      requests: repeat(count, nth => request({ attempt: `p${nth}`, body: CRASH_REQUEST_BODY, sentAt: 10_000 + nth * 2000, end: abortedResponse() })),
      arrivals: repeat(count, nth => arrival({ attempt: `p${nth}`, body: CRASH_REQUEST_BODY, at: 10_001 + nth * 2000, end: 'failed' }))
    })
    // Three end upstreams; what follows within four seconds and three more are borne.
    expect(violatedInvariant(crashRequests(8))).toEqual(undefined)
    expect(violatedInvariant(crashRequests(9))).toEqual('a request that ends upstreams is contained')
  })

  it('sees work for callers that have left', () => {
    const left: RequestEnd = { kind: 'left', at: 10_010 }
    const late = { requests: repeat(4, nth => request({ attempt: `g${nth}`, end: left })), arrivals: repeat(4, nth => arrival({ attempt: `g${nth}`, at: 10_600, endedAt: 10_625 })) }
    expect(violatedInvariant(late)).toEqual('nothing is done for callers that have left')
    expect(violatedInvariant({ ...late, disturbances: [disturbance('gateway 0', 9900, 9950)] })).toEqual(undefined)
    const working = arrival({ path: '/safe/x', workMs: 2000, endedAt: 12_000 })
    expect(violatedInvariant({ requests: [request({ end: left })], arrivals: [working] })).toEqual('nothing is done for callers that have left')
  })

  it('sees requests that a planned end cuts, and bears those of a crash', () => {
    const cut = { requests: [request({ end: abortedResponse() })], arrivals: [arrival({ end: 'cancelled' })] }
    expect(violatedInvariant({ ...cut, disturbances: [disturbance('gateway 0', 9900, 11_000, true)] })).toEqual('requests that are worked on are answered, also while a gateway ends or reloads')
    expect(violatedInvariant({ ...cut, disturbances: [disturbance('gateway 0', 9900, 11_000, true), disturbance('upstream u7', 9900, 9950)] })).toEqual(undefined)
    expect(violatedInvariant({ ...cut, disturbances: [disturbance('gateway 0', 9900, 11_000)] })).toEqual(undefined)
    const four = { requests: repeat(4, nth => request({ attempt: `l${nth}`, end: abortedResponse() })), arrivals: repeat(4, nth => arrival({ attempt: `l${nth}`, end: 'cancelled' })) }
    expect(violatedInvariant(four)).toEqual('requests that are worked on are answered, also while a gateway ends or reloads')
  })

  it('sees a proper request blamed on its caller', () => {
    const denied = (status: number): Partial<Observations> => ({ requests: [request({ end: response({ status, seal: undefined, body: '' }) })] })
    expect(violatedInvariant(denied(401))).toEqual('no caller is blamed for a proper request')
    expect(violatedInvariant(denied(404))).toEqual('no caller is blamed for a proper request')
    expect(violatedInvariant({ ...denied(401), revokedKeys: [{ key: 'k', at: 10_010 }] })).toEqual(undefined)
  })

  it('sees a request without an end, unless its gateway was held up', () => {
    expect(violatedInvariant({ requests: [request()] })).toEqual('every request has its final answer by the timeout of its route')
    expect(violatedInvariant({ requests: [request()], disturbances: [disturbance('gateway 0', 10_100, 11_000)] })).toEqual(undefined)
  })

  it('sees too many retries', () => {
    const count = Math.ceil(BOUNDS.retrySlack / (1 - BOUNDS.retryRatio)) + 1
    const retried = repeat(count, nth => request({ attempt: `t${nth}`, end: response({ seal: sealOf(`t${nth}`, 200), body: plainBody(`t${nth}`, 'b') }) }))
    const arrivals = retried.flatMap(({ attempt }) => [arrival({ attempt, ran: false }), arrival({ attempt, upstream: 'u2' })])
    expect(violatedInvariant({ requests: retried, arrivals })).toEqual('retries of all gateways stay within their budget')
  })

  it('sees a fleet that does not serve again', () => {
    const requests = repeat(60, nth => request({ attempt: `c${nth}`, sentAt: 20_000, end: response({ status: nth < 2 ? 503 : 200, seal: nth < 2 ? undefined : sealOf(`c${nth}`, 200), body: plainBody(`c${nth}`, 'b') }) }))
    expect(violatedInvariant({ requests, faultFreeFrom: 10_000 })).toEqual('the fleet serves again once nothing disturbs it')
    expect(violatedInvariant({ requests: requests.slice(1), faultFreeFrom: 10_000 })).toEqual(undefined)
    expect(violatedInvariant({ requests, faultFreeFrom: 15_000 })).toEqual(undefined)
  })
})
