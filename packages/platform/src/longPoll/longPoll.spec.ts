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

type ResponseHandler = (res: ServerResponse, req: IncomingMessage) => void

const respondWithJson = (value: unknown): ResponseHandler => res => { res.end(JSON.stringify(value)) }
const respondWithRevision = (revision: number): ResponseHandler => respondWithJson({ revision, base: '{}', overlays: {} })
const noResponse: ResponseHandler = () => {}

const WAIT_MS = 1000
const servers: Server[] = []
const watches: Array<{ close: () => Promise<void> }> = []

/** Starts a service that handles each request with the next handler; `onRead` receives the URL of each request. */
const startService = async (handlers: ResponseHandler[], onRead: (url: string) => void = () => {}): Promise<string> => {
  const server = createServer((req, res) => {
    onRead(req.url ?? '')
    const handler = handlers.shift() ?? noResponse
    handler(res, req)
  })
  servers.push(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}/watch`
}

/** Collects `count` outcomes, advancing the clock past every delay. There is no delay after `unchanged`. */
const runUntil = async (watch: ConfigurationWatch | HostListWatch, clock: ManualClock, count: number): Promise<ReadOutcome[]> => {
  watches.push(watch)
  const outcomes: ReadOutcome[] = []
  await new Promise<void>(resolve => {
    watch.outcomes.observe(outcome => {
      outcomes.push(outcome)
      if (outcomes.length === count) resolve()
      else if (outcome.kind !== 'unchanged') setImmediate(() => { clock.advance(WAIT_MS * 4) })
    }).catch(() => {})
    watch.start()
  })
  return outcomes
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
  it('requests revisions after the newest one and emits only higher ones', async () => {
    const urls: string[] = []
    const clock = new ManualClock()
    const url = await startService([respondWithRevision(5), respondWithRevision(3), respondWithRevision(5), respondWithRevision(6)], readUrl => { urls.push(readUrl) })
    const watch = new ConfigurationWatch({ url, clock, random: () => 0, wait: WAIT_MS })
    const revisions: number[] = []
    watch.updates.observe(update => { revisions.push(update.revision) }).catch(() => {})
    expect(kinds(await runUntil(watch, clock, 4))).toEqual(['update', 'failed', 'failed', 'update'])
    expect(revisions).toEqual([5, 6])
    expect(urls.slice(0, 2)).toEqual(['/watch?after=-1&wait=1000', '/watch?after=5&wait=1000'])
    expect(watch.status.reads).toEqual(4)
  })

  it('does not emit a revision that was received from another source', async () => {
    const clock = new ManualClock()
    const watch = new ConfigurationWatch({ url: await startService([respondWithRevision(7), respondWithRevision(9)]), clock, random: () => 0, wait: WAIT_MS })
    watch.advanceVersion(8)
    await runUntil(watch, clock, 2)
    expect(watch.latest?.revision).toEqual(9)
  })

  it('keeps polling when the service is down or sends error statuses, invalid or truncated responses', async () => {
    const clock = new ManualClock()
    const truncated: ResponseHandler = res => { res.writeHead(200, { 'content-length': 100 }).write('{', () => { res.destroy() }) }
    const handlers: ResponseHandler[] = [
      res => { res.writeHead(503).end('no') },
      res => { res.end('{"revision": "x"') },
      res => { res.end(Buffer.alloc(5_000_000, 'x')) },
      truncated,
      res => { res.socket?.end('not http at all\r\n\r\n') },
      respondWithRevision(1)
    ]
    const url = await startService(handlers)
    const outcomes = await runUntil(new ConfigurationWatch({ url, clock, random: () => 0, wait: WAIT_MS }), clock, 6)
    expect(kinds(outcomes)).toEqual(['failed', 'failed', 'failed', 'failed', 'failed', 'update'])
    const unreachable = new ConfigurationWatch({ url: 'http://127.0.0.1:1/', clock, random: () => 0, wait: WAIT_MS })
    expect(kinds(await runUntil(unreachable, clock, 2))).toEqual(['failed', 'failed'])
    expect(unreachable.status.failures).toEqual(2)
  })

  it('aborts a read whose response is delayed or sent byte by byte past the timeout', async () => {
    const clock = new ManualClock()
    const exceedTimeout = (): void => { setImmediate(() => { clock.advance(WAIT_MS + 5000) }) }
    const trickle: ResponseHandler = res => { res.writeHead(200).write('{', exceedTimeout) }
    const url = await startService([exceedTimeout, trickle, respondWithRevision(2)])
    const outcomes = await runUntil(new ConfigurationWatch({ url, clock, random: () => 0, wait: WAIT_MS }), clock, 3)
    expect(kinds(outcomes)).toEqual(['failed', 'failed', 'update'])
  })

  it('counts a response without an update as unchanged after the wait, and as failed before', async () => {
    const clock = new ManualClock()
    const waited: ResponseHandler = res => {
      clock.advance(WAIT_MS)
      res.writeHead(204).end()
    }
    const early: ResponseHandler = res => { res.writeHead(204).end() }
    const outcomes = await runUntil(new ConfigurationWatch({ url: await startService([waited, early]), clock, random: () => 0, wait: WAIT_MS }), clock, 2)
    expect(kinds(outcomes)).toEqual(['unchanged', 'failed'])
  })
})

describe('the host list watch', () => {
  it('emits valid lists and rejects malformed ones', async () => {
    const clock = new ManualClock()
    const host = { host: 'h1', zone: 'east', role: 'router', address: '127.0.0.1', linkPort: 9, state: 'leaving' }
    const url = await startService([respondWithJson({ version: 1, hosts: [{ ...host, state: 'gone' }] }), respondWithJson({ version: 2, hosts: [host] })])
    const watch = new HostListWatch({ url, clock, random: () => 0, wait: WAIT_MS })
    expect(kinds(await runUntil(watch, clock, 2))).toEqual(['failed', 'update'])
    expect(watch.latest?.hosts.map(entry => entry.state)).toEqual(['leaving'])
  })
})

describe('the delay after failures', () => {
  it('grows up to a maximum and is at least half of its upper bound', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 100 }), fc.double({ min: 0, max: 0.999, noNaN: true }), (failures, random) => {
      const delay = backoffDelay(failures, random)
      expect(delay >= 125 && delay < 10_000).toEqual(true)
      expect(backoffDelay(failures + 1, random) >= delay).toEqual(true)
    }), { seed: 8 })
  })
})
