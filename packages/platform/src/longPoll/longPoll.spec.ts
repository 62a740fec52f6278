import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { ManualClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { ConfigurationWatch } from '../configurationWatch/configurationWatch.js'
import { HostListWatch } from '../hostListWatch/hostListWatch.js'
import { backoffDelay } from './backoff.js'
import type { ReadOutcome } from './longPollTypes.js'

type Answer = (res: ServerResponse, req: IncomingMessage) => void

const json = (value: unknown): Answer => res => { res.end(JSON.stringify(value)) }
const documents = (revision: number): Answer => json({ revision, base: '{}', overlays: {} })
const silence: Answer = () => {}

const WAIT = 1000
const servers: Server[] = []
const watches: Array<{ close: () => Promise<void> }> = []

/** Starts a service that gives the answers in turn; each read is announced to `onRead`. */
const startService = async (answers: Answer[], onRead: (url: string) => void = () => {}): Promise<string> => {
  const server = createServer((req, res) => {
    onRead(req.url ?? '')
    const answer = answers.shift() ?? silence
    answer(res, req)
  })
  servers.push(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}/watch`
}

/** Collects outcomes until there are enough, moving the clock past every delay. After `nothing` there is no delay. */
const runUntil = async (watch: ConfigurationWatch | HostListWatch, clock: ManualClock, count: number): Promise<ReadOutcome[]> => {
  watches.push(watch)
  const seen: ReadOutcome[] = []
  await new Promise<void>(resolve => {
    watch.outcomes.observe(outcome => {
      seen.push(outcome)
      if (seen.length === count) resolve()
      else if (outcome.kind !== 'nothing') setImmediate(() => { clock.advance(WAIT * 4) })
    }).catch(() => {})
    watch.start()
  })
  return seen
}

const kinds = (outcomes: readonly ReadOutcome[]): string[] => outcomes.map(outcome => outcome.kind)

afterEach(async () => {
  await Promise.all(watches.splice(0).map(async watch => { await watch.close() }))
  for (const server of servers.splice(0)) {
    server.closeAllConnections()
    server.close()
  }
})

describe('the configuration watch', () => {
  it('asks after the newest revision and reports only higher ones', async () => {
    const urls: string[] = []
    const clock = new ManualClock()
    const url = await startService([documents(5), documents(3), documents(5), documents(6)], read => { urls.push(read) })
    const watch = new ConfigurationWatch({ url, clock, random: () => 0, wait: WAIT })
    const reported: number[] = []
    watch.updates.observe(news => { reported.push(news.revision) }).catch(() => {})
    expect(kinds(await runUntil(watch, clock, 4))).toEqual(['news', 'failed', 'failed', 'news'])
    expect(reported).toEqual([5, 6])
    expect(urls.slice(0, 2)).toEqual(['/watch?after=-1&wait=1000', '/watch?after=5&wait=1000'])
    expect(watch.status.reads).toEqual(4)
  })

  it('does not report what came another way', async () => {
    const clock = new ManualClock()
    const watch = new ConfigurationWatch({ url: await startService([documents(7), documents(9)]), clock, random: () => 0, wait: WAIT })
    watch.advanceVersion(8)
    await runUntil(watch, clock, 2)
    expect(watch.latest?.revision).toEqual(9)
  })

  it('survives an absent service, error statuses, garbage and cut answers', async () => {
    const clock = new ManualClock()
    const cut: Answer = res => { res.writeHead(200, { 'content-length': 100 }).write('{', () => { res.destroy() }) }
    const answers: Answer[] = [
      res => { res.writeHead(503).end('no') },
      res => { res.end('{"revision": "x"') },
      res => { res.end(Buffer.alloc(5_000_000, 'x')) },
      cut,
      res => { res.socket?.end('not http at all\r\n\r\n') },
      documents(1)
    ]
    const url = await startService(answers)
    const outcomes = await runUntil(new ConfigurationWatch({ url, clock, random: () => 0, wait: WAIT }), clock, 6)
    expect(kinds(outcomes)).toEqual(['failed', 'failed', 'failed', 'failed', 'failed', 'news'])
    const absent = new ConfigurationWatch({ url: 'http://127.0.0.1:1/', clock, random: () => 0, wait: WAIT })
    expect(kinds(await runUntil(absent, clock, 2))).toEqual(['failed', 'failed'])
    expect(absent.status.failures).toEqual(2)
  })

  it('gives up a read that is held too long or sent byte by byte', async () => {
    const clock = new ManualClock()
    const late = (): void => { setImmediate(() => { clock.advance(WAIT + 5000) }) }
    const trickle: Answer = res => { res.writeHead(200).write('{', late) }
    const url = await startService([late, trickle, documents(2)])
    const outcomes = await runUntil(new ConfigurationWatch({ url, clock, random: () => 0, wait: WAIT }), clock, 3)
    expect(kinds(outcomes)).toEqual(['failed', 'failed', 'news'])
  })

  it('takes an answer without news after the wait as a success, and an early one as a failure', async () => {
    const clock = new ManualClock()
    const waited: Answer = res => {
      clock.advance(WAIT)
      res.writeHead(204).end()
    }
    const early: Answer = res => { res.writeHead(204).end() }
    const outcomes = await runUntil(new ConfigurationWatch({ url: await startService([waited, early]), clock, random: () => 0, wait: WAIT }), clock, 2)
    expect(kinds(outcomes)).toEqual(['nothing', 'failed'])
  })
})

describe('the host list watch', () => {
  it('reports lists and refuses malformed ones', async () => {
    const clock = new ManualClock()
    const host = { host: 'h1', zone: 'east', role: 'router', address: '127.0.0.1', linkPort: 9, state: 'leaving' }
    const url = await startService([json({ version: 1, hosts: [{ ...host, state: 'gone' }] }), json({ version: 2, hosts: [host] })])
    const watch = new HostListWatch({ url, clock, random: () => 0, wait: WAIT })
    expect(kinds(await runUntil(watch, clock, 2))).toEqual(['failed', 'news'])
    expect(watch.latest?.hosts.map(entry => entry.state)).toEqual(['leaving'])
  })
})

describe('the delay after failures', () => {
  it('grows to a bound and is at least half of its range', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 100 }), fc.double({ min: 0, max: 0.999, noNaN: true }), (failures, random) => {
      const delay = backoffDelay(failures, random)
      expect(delay >= 125 && delay < 10_000).toEqual(true)
      expect(backoffDelay(failures + 1, random) >= delay).toEqual(true)
    }), { seed: 8 })
  })
})
