import { describe, it } from 'node:test'
import { asId, type UpstreamId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { CrashSuspectDb } from './crashSuspectDb.js'
import type { UpstreamProcess } from './crashSuspectTypes.js'

const upstream = (nth: number, startedAt = 1): UpstreamProcess => ({ id: asId<UpstreamId>(`u${nth}`), startedAt })

/** Simulates the crash of an upstream that runs the given requests. */
const crash = (db: CrashSuspectDb, nth: number, fingerprints: readonly number[], now: number): void => {
  for (const fingerprint of fingerprints) db.recordBrokenConnection(fingerprint, upstream(nth), now)
  db.recordUnreachable(upstream(nth), now + 300)
}

describe('a request that crashes its upstreams', () => {
  it('is refused after the third crash until the refusal expires', () => {
    const db = new CrashSuspectDb()
    crash(db, 1, [7], 0)
    crash(db, 2, [7], 3000)
    expect(db.remainingRefusalMs(7, 4000)).toEqual(0)
    crash(db, 3, [7], 6000)
    expect(db.remainingRefusalMs(7, 7000)).toBeGreaterThan(50_000)
    expect(db.remainingRefusalMs(7, 70_000)).toEqual(0)
  })

  it('is detected when the upstreams are removed from the list without draining', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) {
      db.recordBrokenConnection(7, upstream(nth), nth * 1000)
      db.recordUnlisted(upstream(nth), nth * 1000 + 3900)
    }
    expect(db.remainingRefusalMs(7, 7000)).toBeGreaterThan(0)
  })

  it('is not refused for longer because of repeated reports', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) crash(db, nth, [7], 0)
    const reports = db.reports()
    for (let now = 0; now < 59_000; now += 1000) for (const report of reports) db.applyReport(report, now)
    expect(db.remainingRefusalMs(7, 61_000)).toEqual(0)
  })

  it('is distinguished from requests that ran concurrently', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3, 4]) crash(db, nth, [7, 100 + nth, 200 + nth], nth * 2000)
    expect([101, 203].map(fingerprint => db.remainingRefusalMs(fingerprint, 9000))).toEqual([0, 0])
    expect(db.remainingRefusalMs(7, 9000)).toBeGreaterThan(0)
  })

  it('is detected from the combined reports of several gateways', () => {
    const [first, second] = [new CrashSuspectDb(), new CrashSuspectDb()]
    crash(first, 1, [7], 0)
    crash(first, 2, [7], 2000)
    crash(second, 3, [7], 4000)
    for (const report of first.takeUnsentReports()) second.applyReport(report, 4500)
    expect(second.remainingRefusalMs(7, 5000)).toBeGreaterThan(0)
    expect(first.takeUnsentReports()).toEqual([])
  })

  it('counts at a gateway that connects too late because its peers avoid the upstream', () => {
    const [first, second] = [new CrashSuspectDb(), new CrashSuspectDb()]
    for (const nth of [1, 2, 3]) {
      const at = nth * 5000
      first.recordBrokenConnection(9, upstream(nth), at)
      second.recordBrokenConnection(7, upstream(nth), at)
      first.recordUnreachable(upstream(nth), at + 400)
      for (const report of first.takeUnsentReports()) second.applyReport(report, at + 450)
      second.recordUnreachable(upstream(nth), at + 2100)
    }
    expect(second.remainingRefusalMs(7, 17_200)).toBeGreaterThan(0)
  })

  it('counts when the upstream leaves the list after a connection was refused too late to tell', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) {
      db.recordBrokenConnection(7, upstream(nth), nth * 5000)
      db.recordUnreachable(upstream(nth), nth * 5000 + 2100)
      db.recordUnlisted(upstream(nth), nth * 5000 + 3900)
    }
    expect(db.remainingRefusalMs(7, 19_000)).toBeGreaterThan(0)
  })

  it('counts once for a crash that two gateways with different clocks report', () => {
    const [first, second, third] = [new CrashSuspectDb(), new CrashSuspectDb(), new CrashSuspectDb()]
    for (const nth of [1, 2]) {
      crash(first, nth, [7], nth * 3000)
      crash(second, nth, [7], nth * 3000 + 123_456)
    }
    for (const report of [...first.takeUnsentReports(), ...second.takeUnsentReports()]) third.applyReport(report, 9000)
    expect(third.remainingRefusalMs(7, 9000)).toEqual(0)
  })

  it('counts again for the next process under the same id', () => {
    const db = new CrashSuspectDb()
    for (const startedAt of [1, 2, 3]) {
      db.recordBrokenConnection(7, upstream(1, startedAt), startedAt * 100)
      db.recordUnreachable(upstream(1, startedAt), startedAt * 100 + 50)
    }
    expect(db.remainingRefusalMs(7, 1000)).toBeGreaterThan(0)
  })

  it('is refused by a new gateway that has received the reports of another one', () => {
    const [known, fresh] = [new CrashSuspectDb(), new CrashSuspectDb()]
    for (const nth of [1, 2, 3]) crash(known, nth, [7], nth * 1000)
    for (const report of known.reports()) fresh.applyReport(report, 5000)
    expect(fresh.remainingRefusalMs(7, 5000)).toBeGreaterThan(0)
  })
})

describe('a broken connection', () => {
  it('does not count while its upstream is reachable', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3, 4]) db.recordBrokenConnection(7, upstream(nth), nth * 1000)
    expect(db.remainingRefusalMs(7, 5000)).toEqual(0)
    expect(db.isEmpty).toEqual(true)
  })

  it('does not count when its upstream becomes unreachable much later', () => {
    const db = new CrashSuspectDb()
    for (const nth of [1, 2, 3]) {
      db.recordBrokenConnection(7, upstream(nth), 0)
      db.recordUnreachable(upstream(nth), 10_000)
    }
    expect(db.remainingRefusalMs(7, 10_001)).toEqual(0)
  })

  it('counts once for an upstream with several broken connections', () => {
    const db = new CrashSuspectDb()
    for (let times = 0; times < 5; times++) crash(db, 1, [7, 7], 100)
    expect(db.remainingRefusalMs(7, 1000)).toEqual(0)
  })

  it('expires', () => {
    const db = new CrashSuspectDb()
    crash(db, 1, [7], 0)
    expect(db.isEmpty).toEqual(false)
    db.expire(61_000)
    expect(db.isEmpty).toEqual(true)
  })
})
