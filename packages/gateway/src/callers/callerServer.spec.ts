import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { type Script, startUnderTest } from '../process/gatewayFixtures.js'

setLogLevel('error')

/** Longer than the headers timeout of the fixture and the interval at which it is checked, and shorter than the timeout of its routes. */
const RUN_MS = 2200

const REQUEST = 'POST /once/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\nContent-Length: 2\r\n\r\nt1'

const statusOf = (response: string): string | undefined => /^HTTP\/1\.1 (\d+)/.exec(response)?.[1]

const run: Script = (req, res) => { setTimeout(() => { res.writeHead(200, { seal: 's', try: String(req.headers['try']) }).end('ok') }, RUN_MS) }

describe('bytes that are no request', () => {
  for (const [name, bytes, status] of [
    ['a head that does not end in time', 'POST /once/y HTTP/1.1\r\nHost: a.ex', '408'],
    ['no HTTP', 'none of it\r\n\r\n', '400'],
    ['a head that is too long', `GET / HTTP/1.1\r\nLong: ${'x'.repeat(70_000)}`, '431']
  ] as const) {
    it(`are not answered in place of a request that is running: ${name}`, async () => {
      const gateway = await startUnderTest(run)
      try {
        const received = await new Promise<string>(resolve => {
          let text = ''
          const socket = connect(gateway.callersPort, '127.0.0.1', () => { socket.write(REQUEST) })
          socket.on('data', chunk => { text += chunk.toString() })
          socket.on('error', () => {})
          socket.on('close', () => { resolve(text) })
          setTimeout(() => { socket.write(bytes) }, 100)
          setTimeout(() => { socket.destroy() }, RUN_MS + 300)
        })
        expect(gateway.arrivals.length).toEqual(1)
        expect([undefined, '200']).toInclude(statusOf(received))
      } finally {
        await gateway.close()
      }
    })

    it(`are refused on a connection without a request: ${name}`, async () => {
      const gateway = await startUnderTest(run)
      try {
        expect(statusOf(await gateway.sendRaw(bytes))).toEqual(status)
      } finally {
        await gateway.close()
      }
    })
  }
})
