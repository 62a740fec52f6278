import { describe, it } from 'node:test'
import { asId, type Millis, type UpstreamId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import type { GatewayView } from '../coldPace/coldPaceTypes.js'
import type { PeerId } from '../placement/placementTypes.js'
import { decideCrashSuspect, remainingRefusalMs } from './crashSuspect.js'
import { CrashSuspectDb } from './crashSuspectDb.js'
import type { CrashReports, RequestTraits, UpstreamProcess } from './crashSuspectTypes.js'

const upstream = (nth: number, startedAt = 1): UpstreamProcess => ({ id: asId<UpstreamId>(`u${nth}`), startedAt })

const request = (fingerprint: number, ...parts: number[]): RequestTraits => ({ fingerprint, parts })

/** Simulates the crash of an upstream that had not begun to respond to the given requests. */
const crashUnder = (db: CrashSuspectDb, nth: number, requests: readonly RequestTraits[], now: Millis): void => {
  for (const traits of requests) db.recordBrokenConnection(upstream(nth), traits, now)
  db.recordUnreachable(upstream(nth), now + 300)
}

const crash = (db: CrashSuspectDb, nth: number, fingerprints: readonly number[], now: Millis): void => { crashUnder(db, nth, fingerprints.map(fingerprint => request(fingerprint)), now) }

/** Simulates a response that lasts for long enough. */
const serve = (db: CrashSuspectDb, traits: RequestTraits, now: Millis): void => {
  db.recordBegin(upstream(99), traits, now)
  db.settle(now + 1100)
}

const exchange = (from: CrashSuspectDb, to: readonly CrashSuspectDb[], now: Millis): void => {
  const { crashes, sound } = from.takeUnsentReports(now)
  for (const db of to) {
    for (const report of crashes) db.applyReport(report, now)
    for (const report of sound) db.applySound(report, now)
  }
}

const apply = (db: CrashSuspectDb, { crashes, sound }: CrashReports, now: Millis): void => {
  for (const report of crashes) db.applyReport(report, now)
  for (const report of sound) db.applySound(report, now)
}

/** @returns draws integers from 0 up to a bound, the same for the same seed */
const createDraw = (seed: number): (bound: number) => number => {
  let state = seed | 0
  return bound => {
    state = Math.imul(state ^ (state >>> 15), 0x2c1b3c6d) + 0x9e3779b9 | 0
    return (Math.imul(state ^ (state >>> 12), 0x297a2d39) >>> 0) % bound
  }
}

const isRefused = (db: CrashSuspectDb, traits: RequestTraits, now: Millis): boolean => remainingRefusalMs(db, traits, now) > 0

describe('a request that crashes its upstreams', () => {
  it('is refused after the third crash until the refusal expires', () => {
    const db = new CrashSuspectDb()
    crash(db, 1, [7], 0)
    crash(db, 2, [7], 3000)
    expect(remainingRefusalMs(db, request(7), 4000)).toEqual(0)
    crash(db, 3, [7], 6000)
    expect(remainingRefusalMs(db, request(7), 7000)).toBeGreaterThan(50_000)
    expect(remainingRefusalMs(db, request(7), 70_000)).toEqual(0)
  })

  it('is detected when the upstreams are removed from the list without draining', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) {
      db.recordBrokenConnection(upstream(nth), request(7), nth * 1000)
      db.recordUnlisted(upstream(nth), nth * 1000 + 3900)
    }
    expect(remainingRefusalMs(db, request(7), 7000)).toBeGreaterThan(0)
  })

  it('is not refused for longer because of repeated reports', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) crash(db, nth, [7], 0)
    const reports = db.reports(0)
    for (let now = 0; now < 59_000; now += 1000) apply(db, reports, now)
    expect(remainingRefusalMs(db, request(7), 61_000)).toEqual(0)
  })

  it('is distinguished from requests that ran concurrently', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3, 4]) crash(db, nth, [7, 100 + nth, 200 + nth], nth * 2000)
    expect([101, 203].map(fingerprint => remainingRefusalMs(db, request(fingerprint), 9000))).toEqual([0, 0])
    expect(remainingRefusalMs(db, request(7), 9000)).toBeGreaterThan(0)
  })

  it('is detected from the combined reports of several gateways', () => {
    const [first, second] = [new CrashSuspectDb(), new CrashSuspectDb()]
    crash(first, 1, [7], 0)
    crash(first, 2, [7], 2000)
    crash(second, 3, [7], 4000)
    exchange(first, [second], 4500)
    expect(remainingRefusalMs(second, request(7), 5000)).toBeGreaterThan(0)
    expect(first.takeUnsentReports(4600)).toEqual({ crashes: [], sound: [] })
  })

  it('counts at a gateway that connects too late because its peers avoid the upstream', () => {
    const [first, second] = [new CrashSuspectDb(), new CrashSuspectDb()]
    for (const nth of [1, 2, 3]) {
      const at = nth * 5000
      first.recordBrokenConnection(upstream(nth), request(9), at)
      second.recordBrokenConnection(upstream(nth), request(7), at)
      first.recordUnreachable(upstream(nth), at + 400)
      exchange(first, [second], at + 450)
      second.recordUnreachable(upstream(nth), at + 2100)
    }
    expect(remainingRefusalMs(second, request(7), 17_200)).toBeGreaterThan(0)
  })

  it('counts when the upstream leaves the list after a connection was refused too late to tell', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) {
      db.recordBrokenConnection(upstream(nth), request(7), nth * 5000)
      db.recordUnreachable(upstream(nth), nth * 5000 + 2100)
      db.recordUnlisted(upstream(nth), nth * 5000 + 3900)
    }
    expect(remainingRefusalMs(db, request(7), 19_000)).toBeGreaterThan(0)
  })

  it('counts once for a crash that two gateways with different clocks report', () => {
    const [first, second, third] = [new CrashSuspectDb(), new CrashSuspectDb(), new CrashSuspectDb()]
    for (const nth of [1, 2]) {
      crash(first, nth, [7], nth * 3000)
      crash(second, nth, [7], nth * 3000 + 123_456)
    }
    exchange(first, [third], 9000)
    exchange(second, [third], 9000)
    expect(remainingRefusalMs(third, request(7), 9000)).toEqual(0)
  })

  it('counts again for the next process under the same id', () => {
    const db = new CrashSuspectDb()
    for (const startedAt of [1, 2, 3]) {
      db.recordBrokenConnection(upstream(1, startedAt), request(7), startedAt * 100)
      db.recordUnreachable(upstream(1, startedAt), startedAt * 100 + 50)
    }
    expect(remainingRefusalMs(db, request(7), 1000)).toBeGreaterThan(0)
  })

  it('is refused by a new gateway that has received the reports of another one', () => {
    const [known, fresh] = [new CrashSuspectDb(), new CrashSuspectDb()]
    for (const nth of [1, 2, 3]) crash(known, nth, [7], nth * 1000)
    apply(fresh, known.reports(5000), 5000)
    expect(remainingRefusalMs(fresh, request(7), 5000)).toBeGreaterThan(0)
  })
})

describe('a broken connection', () => {
  it('does not count while its upstream is reachable', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3, 4]) db.recordBrokenConnection(upstream(nth), request(7), nth * 1000)
    expect(remainingRefusalMs(db, request(7), 5000)).toEqual(0)
    expect(db.isEmpty).toEqual(true)
  })

  it('does not count when its upstream becomes unreachable much later', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) {
      db.recordBrokenConnection(upstream(nth), request(7), 0)
      db.recordUnreachable(upstream(nth), 10_000)
    }
    expect(remainingRefusalMs(db, request(7), 10_001)).toEqual(0)
  })

  it('counts once for an upstream with several broken connections', () => {
    const db = new CrashSuspectDb()
    for (let times = 0; times < 5; times++) crash(db, 1, [7, 7], 100)
    expect(remainingRefusalMs(db, request(7), 1000)).toEqual(0)
  })

  it('expires', () => {
    const db = new CrashSuspectDb()
    crash(db, 1, [7], 0)
    expect(db.isEmpty).toEqual(false)
    db.settle(301_000)
    expect(db.isEmpty).toEqual(true)
  })
})

/** Prompt parts: one that crashes upstreams, one of nearly all requests, and ones of a few. */
const BAD = 13
const COMMON = 1
const RARE = 100

describe('a prompt part that crashes upstreams', () => {
  it('is refused at all gateways when each of them sees one crash, under requests that differ in all else', () => {
    const fleet = Array.from({ length: 5 }, () => new CrashSuspectDb())
    fleet.forEach((db, nth) => {
      crashUnder(db, nth, [request(50 + nth, COMMON, BAD, RARE + nth), request(90 + nth, COMMON, RARE + 10 + nth)], nth * 2000)
      serve(db, request(20 + nth, COMMON, 500), nth * 2000 + 500)
      exchange(db, fleet, nth * 2000 + 1700)
    })
    for (const db of fleet) {
      expect(isRefused(db, request(70, COMMON, BAD, RARE + 30), 9800)).toEqual(true)
      expect([request(71, COMMON, RARE + 30), request(72, COMMON, RARE + 10), request(73, RARE + 3)].map(traits => isRefused(db, traits, 9800))).toEqual([false, false, false])
    }
  })

  it('is told from a part that every request has, also while nothing else is served between the crashes', () => {
    const db = new CrashSuspectDb()
    serve(db, request(1, COMMON, RARE), 0)
    for (const nth of [1, 2, 3, 4]) crashUnder(db, nth, [request(10 + nth, COMMON, BAD), request(20 + nth, COMMON, RARE + nth)], 5000 + nth * 600)
    expect(isRefused(db, request(30, COMMON, BAD), 8000)).toEqual(true)
    expect(isRefused(db, request(31, COMMON, RARE), 8000)).toEqual(false)
  })

  it('is suspected although its response had begun, or even ended, just before each crash', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) {
      const at = nth * 2000
      db.recordBegin(upstream(nth), request(nth, BAD), at)
      db.recordBrokenConnection(upstream(nth), undefined, at + 60)
      db.settle(at + 1500)
      db.recordUnlisted(upstream(nth), at + 3900)
    }
    expect(isRefused(db, request(9, BAD), 9950)).toEqual(true)
  })

  it('is refused at once by a gateway that starts late, with a clock of its own', () => {
    const [known, fresh] = [new CrashSuspectDb(), new CrashSuspectDb()]
    for (const nth of [1, 2, 3]) crashUnder(known, nth, [request(nth, BAD, COMMON)], nth * 1000)
    serve(known, request(8, COMMON), 3500)
    apply(fresh, known.reports(6000), 100)
    expect([isRefused(fresh, request(9, BAD), 100), isRefused(fresh, request(9, COMMON), 100)]).toEqual([true, false])
    expect(remainingRefusalMs(fresh, request(9, BAD), 100)).toEqual(remainingRefusalMs(known, request(9, BAD), 6000))
  })
})

describe('a prompt part of sound requests', () => {
  it('is not refused because the one request with it was sent again and again into crashes', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3, 4]) crashUnder(db, nth, [request(7, RARE)], nth * 1000)
    expect(isRefused(db, request(8, RARE), 6000)).toEqual(false)
  })

  it('is not refused because several upstreams crash at the same moment', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3, 4, 5, 6]) crashUnder(db, nth, [request(nth, RARE)], nth * 30)
    expect(isRefused(db, request(8, RARE), 6000)).toEqual(false)
  })

  it('is not refused because it was in the first crashes by chance, like the part that caused them', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) crashUnder(db, nth, [request(nth, BAD), request(10 + nth, RARE)], nth * 1000)
    expect(isRefused(db, request(8, RARE), 6000)).toEqual(false)
    crashUnder(db, 4, [request(4, BAD), request(14, RARE + 1)], 6000)
    expect([isRefused(db, request(8, BAD), 6500), isRefused(db, request(8, RARE), 6500)]).toEqual([true, false])
  })

  it('is not refused because it was in one of the two crashes, shortly one after the other, of each request that caused them', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) {
      const [cause, other] = [request(nth, BAD), request(nth + 10, RARE)]
      crashUnder(db, 2 * nth, [cause], nth * 1700)
      crashUnder(db, 2 * nth + 1, [cause, other], nth * 1700 + 70)
    }
    expect([isRefused(db, request(20, BAD), 6000), isRefused(db, request(21, RARE), 6000)]).toEqual([true, false])
  })

  it('is not refused before the fifth crash when it cannot be told from the part that causes them', () => {
    const db = new CrashSuspectDb()
    const refused = [1, 2, 3, 4, 5].map(nth => {
      crashUnder(db, nth, [request(nth, BAD, RARE)], nth * 1000)
      return isRefused(db, request(8, BAD, RARE), nth * 1000 + 500)
    })
    expect(refused).toEqual([false, false, false, false, true])
  })

  it('is cleared at all gateways by one sound response', () => {
    const [first, second] = [new CrashSuspectDb(), new CrashSuspectDb()]
    for (const nth of [1, 2, 3]) crashUnder(first, nth, [request(nth, RARE)], nth * 1000)
    exchange(first, [second], 5500)
    expect(isRefused(second, request(8, RARE), 6000)).toEqual(true)
    serve(first, request(9, RARE), 6000)
    exchange(first, [second], 7200)
    expect([isRefused(first, request(8, RARE), 7300), isRefused(second, request(8, RARE), 7300)]).toEqual([false, false])
  })

  it('is cleared at all gateways by one report also when the sound responses are known before the crash', () => {
    const [first, second, third] = [new CrashSuspectDb(), new CrashSuspectDb(), new CrashSuspectDb()]
    for (const [nth, at] of [[1, 0], [2, 3000], [3, 6000]] as const) crashUnder(first, nth, [request(nth, 70), request(nth + 10, 70)], at)
    for (const db of [second, third]) serve(db, request(20, 70), 6100)
    exchange(first, [second, third], 7400)
    second.settle(7500)
    exchange(second, [first, third], 7600)
    third.settle(7700)
    expect([first, second, third].map(db => isRefused(db, request(21, 70), 8000))).toEqual([false, false, false])
    expect(third.takeUnsentReports(7800).sound).toEqual([])
  })

  it('is not cleared by a response that begins just before its upstream crashes', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) crashUnder(db, nth, [request(nth, BAD)], nth * 1000)
    db.recordBegin(upstream(4), request(9, BAD), 6000)
    db.recordBrokenConnection(upstream(4), undefined, 6050)
    db.settle(7500)
    expect(isRefused(db, request(8, BAD), 7500)).toEqual(true)
  })
})

describe('a suspected prompt part', () => {
  const hash = (text: string): number => text.length
  const view = (self: string, reachable: string[]): GatewayView => ({ self: asId<PeerId>(self), reachable: reachable.map(id => asId<PeerId>(id)), unreachableCount: 0, settled: true })
  const suspect = (): CrashSuspectDb => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) crashUnder(db, nth, [request(nth, BAD)], nth * 1000)
    return db
  }

  it('is tested by one request at one gateway once its refusal is over', () => {
    const decisions = ['a', 'bb', 'ccc'].map((self, _nth, ids) => {
      const db = suspect()
      return [32_999, 33_001, 33_002].map(now => decideCrashSuspect(db, hash, view(self, ids.filter(id => id !== self)), request(9, BAD), now).kind)
    })
    expect(decisions.filter(kinds => kinds[1] === 'trial')).toEqual([['refuse', 'trial', 'refuse']])
    expect(decisions.filter(kinds => kinds[1] !== 'trial')).toEqual([['refuse', 'refuse', 'refuse'], ['refuse', 'refuse', 'refuse']])
  })

  it('is refused for twice as long after each further crash', () => {
    const db = suspect()
    crashUnder(db, 4, [request(9, BAD)], 40_000)
    expect([isRefused(db, request(10, BAD), 99_000), isRefused(db, request(10, BAD), 101_000)]).toEqual([true, false])
  })

  it('is not tested by a gateway that has lost most of the others', () => {
    expect(decideCrashSuspect(suspect(), hash, { ...view('a', []), unreachableCount: 2 }, request(9, BAD), 40_000).kind).toEqual('refuse')
  })
})

describe('what is known of crashes', () => {
  it('is bounded', () => {
    const db = new CrashSuspectDb()
    for (let nth = 0; nth < 200; nth++) crashUnder(db, nth, Array.from({ length: 200 }, (_, index) => request(nth * 1000 + index, nth * 1000 + index)), nth * 300)
    const { crashes } = db.reports(60_000)
    expect(crashes.length <= 64 && crashes.every(({ candidates }) => candidates.length <= 64)).toEqual(true)
  })

  it('is reported once by each gateway, also when a crash has more candidates than are kept', () => {
    const fleet = Array.from({ length: 4 }, () => new CrashSuspectDb())
    fleet.forEach((db, gateway) => {
      for (let nth = 0; nth < 70; nth++) {
        db.recordBegin(upstream(1), request(gateway * 1000 + nth, nth), 900)
        db.recordBrokenConnection(upstream(1), undefined, 1000)
      }
    })
    fleet[0]!.recordUnreachable(upstream(1), 1300)
    for (let round = 1; round <= 3; round++) for (const db of fleet) exchange(db, fleet, 1300 + round * 50)
    expect(fleet.flatMap(db => db.takeUnsentReports(1600).crashes)).toEqual([])
  })

  it('accuses the part that crashes upstreams by the fifth crash, and no part that others are served with, in fleets of any size', () => {
    const load = fc.record({ seed: fc.integer(), gateways: fc.integer({ min: 1, max: 8 }), requestsPerCrash: fc.integer({ min: 1, max: 12 }), spacingMs: fc.integer({ min: 300, max: 4000 }) })
    fc.assert(fc.property(load, ({ seed, gateways, requestsPerCrash, spacingMs }) => {
      const draw = createDraw(seed)
      const fleet = Array.from({ length: gateways }, () => new CrashSuspectDb())
      const soundRequest = (): RequestTraits => request(draw(1 << 30), COMMON, 200 + draw(4), 1000 + draw(300))
      for (let nth = 1; nth <= 5; nth++) {
        const at = nth * spacingMs
        const atGateway = Array.from({ length: requestsPerCrash + 1 }, (_, index) => ({ gateway: draw(gateways), traits: index === 0 ? request(draw(1 << 30), COMMON, 200 + draw(4), BAD) : soundRequest() }))
        fleet.forEach((db, gateway) => { crashUnder(db, nth, atGateway.filter(sent => sent.gateway === gateway).map(({ traits }) => traits), at) })
        for (const db of fleet) {
          for (let served = 0; served < 6; served++) db.recordBegin(upstream(99), soundRequest(), at + draw(spacingMs))
          exchange(db, fleet, at + 400)
        }
        for (const db of fleet) db.settle(at + spacingMs + 1100)
      }
      const now = Math.max(5 * spacingMs + 3000, spacingMs + 3000)
      for (const db of fleet) {
        exchange(db, fleet, now)
        expect(isRefused(db, request(1, COMMON, 201, BAD), now)).toEqual(true)
        expect([COMMON, 200, 201, 202, 203].some(part => isRefused(db, request(1, part), now))).toEqual(false)
      }
    }), { seed: 24, numRuns: 100 })
  })
})
