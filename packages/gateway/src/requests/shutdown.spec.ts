import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { type Script, startWithSettings } from '../process/gatewayFixtures.js'

setLogLevel('error')

const wait = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

describe('the end of a gateway', () => {
  // Guards against a request that runs again at another upstream after its caller's connection was closed.
  for (const [path, begins] of [['/safe/x', false], ['/stream/x', false], ['/stream/x', true], ['/once/x', true]] as const) {
    it(`sends an open request to no other upstream: ${path}${begins ? ', begun' : ''}`, async () => {
      let cancelled = 0
      const script: Script = (req, res) => {
        if (req.url === '/safe/warm-up') {
          res.writeHead(200, { seal: 's', try: 't1' }).end()
          return
        }
        res.on('close', () => { cancelled += 1 })
        if (begins) res.writeHead(200, { seal: 's', try: 't1', 'content-type': 'text/event-stream' }).write('id: 1\ndata: a\n\n')
      }
      const gateway = await startWithSettings({ retryRatio: 4 }, script, script, script)
      for (let i = 0; i < 4; i++) await gateway.sendRequest('/safe/warm-up')
      const socket = connect(gateway.callersPort, '127.0.0.1')
      socket.on('error', () => {})
      socket.resume()
      socket.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\n\r\n`)
      await wait(150)
      const before = gateway.arrivals.length
      expect(before).toEqual(5)
      await gateway.running.close()
      await wait(300)
      const after = gateway.arrivals.length
      await gateway.close().catch(() => {})
      socket.destroy()
      expect([after, cancelled]).toEqual([before, 1])
    })
  }
})

/** Guards against pipelined requests that run without a response: the one in front has announced the close of their connection. */
describe('a request that is pipelined in a planned shutdown', () => {
  const request = (attempt: string): string => `POST /once/x HTTP/1.1\r\nHost: a.example\r\nTry: ${attempt}\r\nContent-Length: 2\r\n\r\nab`

  for (const [title, gapMs] of [['together with the one in front', 0], ['while the one in front is in progress', 100]] as const) {
    it(`does not run when it is sent ${title}`, async () => {
      const gateway = await startWithSettings({}, (req, res, body) => {
        setTimeout(() => { res.writeHead(200, { seal: 's', try: String(req.headers['try']) }).end(body) }, 300)
      })
      try {
        const socket = connect(gateway.callersPort, '127.0.0.1')
        let received = ''
        socket.on('data', bytes => { received += bytes.toString() })
        const closed = new Promise(resolve => { socket.on('close', resolve) })
        await wait(50)
        gateway.running.drain().catch(() => {})
        socket.write(request('t1'))
        if (gapMs > 0) await wait(gapMs)
        socket.write(request('t2'))
        await closed
        expect(received.match(/HTTP\/1.1 200/g)?.length).toEqual(1)
        expect(received).toMatchRegex(/connection: close/i)
        expect(gateway.arrivals.map(({ req }) => req.headers['try'])).toEqual(['t1'])
      } finally {
        await gateway.close()
      }
    })
  }
})
