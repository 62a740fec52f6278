import { describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { type Script, startUnderTest } from '../process/gatewayFixtures.js'

setLogLevel('error')

/** Time within which the gateway has to close the connection, well below the deadline of the request. */
const CLOSE_WITHIN_MS = 1000

/** Growth of the process, which also plays the upstream, that still counts as flat. */
const MAX_GROWTH_BYTES = 64 * 1024 * 1024

const FILLER = 'a'.repeat(16 * 1024)
const HEAD = 'HTTP/1.1 200 OK\r\nseal: s\r\ntry: t1\r\n'

/** An upstream that sends without end. */
interface EndlessUpstream {
  readonly script: Script
  /** Time from its first byte until its connection was closed, in milliseconds; undefined while it is open. */
  closedAfterMs: number | undefined
}

const createEndless = (start: string, filler: string): EndlessUpstream => {
  const upstream: EndlessUpstream = {
    closedAfterMs: undefined,
    script: ({ socket }) => {
      const startedAt = Date.now()
      let isClosed = false
      socket.on('error', () => {})
      socket.on('close', () => {
        isClosed = true
        upstream.closedAfterMs = Date.now() - startedAt
      })
      const fill = (): void => {
        if (isClosed) return
        if (socket.write(filler)) setImmediate(fill)
        else socket.once('drain', fill)
      }
      socket.write(start)
      fill()
    }
  }
  return upstream
}

const CASES: ReadonlyArray<{ readonly name: string, readonly path: string, readonly start: string, readonly filler: string, readonly status: number }> = [
  { name: 'a status line', path: '/once/x', start: 'HTTP/1.1 200 ', filler: FILLER, status: 502 },
  { name: 'a header', path: '/once/x', start: `${HEAD}x: `, filler: FILLER, status: 502 },
  { name: 'interim responses', path: '/once/x', start: '', filler: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(600), status: 502 },
  { name: 'a chunk header', path: '/once/x', start: `${HEAD}transfer-encoding: chunked\r\n\r\n5;`, filler: FILLER, status: 502 },
  { name: 'a trailer', path: '/once/x', start: `${HEAD}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: `, filler: FILLER, status: 502 },
  { name: 'an event', path: '/stream/x', start: `${HEAD}content-type: text/event-stream\r\nconnection: close\r\n\r\ndata: `, filler: FILLER, status: 502 },
  { name: 'bytes after a complete response', path: '/once/x', start: `${HEAD}content-length: 2\r\n\r\nok`, filler: FILLER, status: 200 }
]

describe('an upstream that sends without end', () => {
  for (const { name, path, start, filler, status } of CASES) {
    it(`${name} has its connection closed, and its caller gets a true response`, async () => {
      const upstream = createEndless(start, filler)
      const gateway = await startUnderTest(upstream.script)
      try {
        const before = process.memoryUsage().rss
        const received = await gateway.sendRequest(path)
        expect(Number(/^HTTP\/1\.1 (\d+)/.exec(received)?.[1])).toEqual(status)
        await new Promise(resolve => { setTimeout(resolve, 100) })
        expect(upstream.closedAfterMs ?? Infinity).toBeLessThan(CLOSE_WITHIN_MS)
        expect(process.memoryUsage().rss - before).toBeLessThan(MAX_GROWTH_BYTES)
      } finally {
        await gateway.close()
      }
    })
  }
})
