import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { findPorts } from '@fuchsiaworks/standins'
import { expect } from 'earl'
import { type OffloadingPort, startOffloadingPort } from '../offload/offloadFixtures.js'
import { type GatewayUnderTest, type Script, startWithSettings } from '../process/gatewayFixtures.js'

setLogLevel('error')

/** Time that upstreams take for each half of a response, and the time into it at which bytes behind the request are sent. */
const HALF_MS = 160
const INTO_HALF_MS = 80

const HALVES = [1, 2].map(half => `id: ${half}\ndata: ${'half '.repeat(40)}\n\n`)

/** Closes of the connections to upstreams in the middle of a response. */
let aborted = 0

/** Responds in two halves. */
const respond: Script = (req, res) => {
  res.on('close', () => { if (!res.writableFinished) aborted += 1 })
  setTimeout(() => {
    res.writeHead(200, { seal: 's', try: String(req.headers['try']), 'content-type': req.url === '/stream/x' ? 'text/event-stream' : 'text/plain' }).write(HALVES[0])
    setTimeout(() => { res.end(HALVES[1]) }, HALF_MS)
  }, HALF_MS)
}

/** Requests that ask to close their connection. */
const LAST_REQUESTS: Readonly<Record<string, (attempt: string) => string>> = {
  'with Connection: close': attempt => `POST /once/x HTTP/1.1\r\nHost: a.example\r\nTry: ${attempt}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab`,
  'with Connection: close, in chunks': attempt => `POST /once/x HTTP/1.1\r\nHost: a.example\r\nTry: ${attempt}\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n`,
  'with Connection: close, on a route for streams': attempt => `POST /stream/x HTTP/1.1\r\nHost: a.example\r\nTry: ${attempt}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab`,
  'of HTTP/1.0': attempt => `POST /once/x HTTP/1.0\r\nHost: a.example\r\nTry: ${attempt}\r\nContent-Length: 2\r\n\r\nab`
}

const BEHIND: Readonly<Record<string, string>> = {
  'no HTTP': '\u0001none of it\r\n\r\n',
  'more of a body than its length': 'cdefg',
  'one more request': 'POST /once/y HTTP/1.1\r\nHost: a.example\r\nTry: behind\r\nContent-Length: 2\r\n\r\nab',
  'a head that does not end': 'POST /once/y HTTP/1.1\r\nHost: a.ex',
  'a head that is too long': `GET / HTTP/1.1\r\nLong: ${'x'.repeat(70_000)}`
}

/** Time from the request to the bytes behind it; undefined for one write. */
const MOMENTS: Readonly<Record<string, number | undefined>> = {
  'together with it': undefined,
  'while it runs': INTO_HALF_MS,
  'while its response is in progress': HALF_MS + INTO_HALF_MS
}

interface Received {
  readonly text: string
  readonly isOrderly: boolean
}

/** Sends a request and bytes behind it, these twice, and returns what is received until the connection closes. */
const sendWithRest = async (port: number, request: string, behind: string, afterMs: number | undefined): Promise<Received> => await new Promise(resolve => {
  const socket = connect({ port, host: '127.0.0.1', noDelay: true })
  let text = ''
  let isOrderly = false
  socket.write(afterMs === undefined ? request + behind : request, 'latin1')
  if (afterMs !== undefined) setTimeout(() => { socket.write(behind, 'latin1') }, afterMs)
  setTimeout(() => { if (socket.writable) socket.write(behind, 'latin1') }, (afterMs ?? 0) + 20)
  socket.on('data', data => { text += data.toString('latin1') })
  socket.on('end', () => { isOrderly = true })
  socket.on('error', () => {})
  socket.on('close', () => { resolve({ text, isOrderly }) })
})

/** Joins the chunks of a response's body; the body itself has no line ends of this kind. */
const bodyOf = (text: string): string => {
  const headEnd = text.indexOf('\r\n\r\n')
  const body = text.slice(headEnd + 4)
  if (!/transfer-encoding: chunked/i.test(text.slice(0, headEnd))) return body
  return body.split('\r\n').filter((_line, at) => at % 2 === 1).join('')
}

/** RFC 9112, section 9.6: nothing behind such a request is processed. Versions of the parser differ: one drops it, another reports it as an error. */
describe('bytes behind a whole request that asks to close its connection', () => {
  let gateway: GatewayUnderTest
  let peer: OffloadingPort
  let lastId = 0

  before(async () => {
    const [peersPort = 0] = await findPorts(1)
    gateway = await startWithSettings({ peers: { host: '127.0.0.1', port: peersPort } }, respond, respond)
    peer = await startOffloadingPort(peersPort)
  })

  after(async () => {
    peer.close()
    await gateway.close()
  })

  for (const [where, isOffloaded] of [['a gateway', false], ['a peer that serves the connection', true]] as const) {
    for (const [moment, afterMs] of Object.entries(MOMENTS)) {
      for (const [what, behind] of Object.entries(BEHIND)) {
        it(`are dropped by ${where}, and the request gets its response: ${what}, ${moment}`, async () => {
          const abortedBefore = aborted
          await Promise.all(Object.entries(LAST_REQUESTS).map(async ([kind, requestOf]) => {
            const attempt = `t${++lastId}`
            const { text, isOrderly } = await sendWithRest(isOffloaded ? peer.port : gateway.callersPort, requestOf(attempt), behind, afterMs)
            expect([kind, text.match(/HTTP\/1\.1 \d+/g)]).toEqual([kind, ['HTTP/1.1 200']])
            expect(text).toMatchRegex(/^connection: close\r$/im)
            expect([kind, bodyOf(text)]).toEqual([kind, HALVES.join('')])
            expect([kind, isOrderly]).toEqual([kind, true])
            expect(gateway.arrivals.filter(({ req }) => req.headers['try'] === attempt).map(({ body }) => body)).toEqual(['ab'])
          }))
          expect(gateway.arrivals.filter(({ req }) => req.headers['try'] === 'behind')).toEqual([])
          expect(aborted).toEqual(abortedBefore)
        })
      }
    }
  }
})
