import { createServer as createHttpServer, type IncomingMessage, request, type ServerResponse } from 'node:http'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { asId, setLogLevel, systemClock, type ZoneId } from '@fuchsiaworks/kernel'
import type { PeerId } from '@fuchsiaworks/policy'
import { expect } from 'earl'
import { Packr } from 'msgpackr'
import fc from 'fast-check'
import WebSocket, { WebSocketServer } from 'ws'
import type { HeaderPort } from '../port/headerPort.js'
import { ConnectionOffloader } from './connectionOffloader.js'
import { decodeOffloadFrames, encodeOffloadFrames, OffloadMessageError } from './offloadCodec.js'
import type { OffloadedSocket } from './offloadedSocket.js'
import { OffloadReceiver } from './offloadReceiver.js'
import { CREDIT_BYTES, OFFLOAD_PATH, type OffloadFrame } from './offloadTypes.js'

setLogLevel('error')

const PEER = asId<PeerId>('p1')

const HEADERS = { encodeRetryAfter: retryAfterMs => [['retry-after', String(retryAfterMs / 1000)]] } as Pick<HeaderPort, 'encodeRetryAfter'> as HeaderPort

type Handler = (req: IncomingMessage, res: ServerResponse) => void

/** A port at which callers connect, whose connections a peer serves. */
interface Offloaded {
  readonly port: number
  readonly peerPort: number
  readonly offloader: ConnectionOffloader
  readonly receiver: OffloadReceiver
  /** Sockets of the connections at the peer. */
  readonly served: OffloadedSocket[]
  /** Breaks the link between the gateways. */
  readonly loseLink: () => void
}

const cleanUps: Array<() => void> = []
afterEach(() => { for (const cleanUp of cleanUps.splice(0)) cleanUp() })

const listen = async (server: Server): Promise<number> => {
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  cleanUps.push(() => { server.close() })
  return (server.address() as AddressInfo).port
}

const waitUntil = async (check: () => boolean): Promise<void> => {
  for (let left = 500; !check(); left--) {
    if (left === 0) throw new Error('condition not met within 5 s')
    await new Promise(resolve => { setTimeout(resolve, 10) })
  }
}

const startOffloaded = async (handler: Handler, waitedMs = 0): Promise<Offloaded> => {
  const http = createHttpServer({ keepAliveTimeout: 60_000 }, (req, res) => {
    const socket = req.socket as unknown as OffloadedSocket
    socket.openRequests += 1
    res.on('finish', () => { socket.flushSoon() })
    res.on('close', () => {
      socket.openRequests -= 1
      if (!req.complete) socket.isMidRequest = true
    })
    if (!socket.isKeepAliveAllowed) res.setHeader('connection', 'close')
    handler(req, res)
  })
  const served: OffloadedSocket[] = []
  const receiver = new OffloadReceiver(systemClock, socket => {
    served.push(socket)
    http.emit('connection', socket)
  })
  const peerServer = createHttpServer()
  const webSockets = new WebSocketServer({ server: peerServer, path: OFFLOAD_PATH })
  webSockets.on('connection', socket => { receiver.accept(socket) })
  const peerPort = await listen(peerServer)
  const offloader = new ConnectionOffloader(systemClock, HEADERS, 'h2')
  offloader.prepare([{ id: PEER, zone: asId<ZoneId>('east'), address: `127.0.0.1:${peerPort}`, isOutOfRotation: false, utilization: 0, revision: 1, acceptedPerSecond: 0 }], () => true)
  await waitUntil(() => offloader.isLinked(PEER))
  const accepted: Socket[] = []
  const front = createServer({ allowHalfOpen: true }, socket => {
    accepted.push(socket)
    expect(offloader.offload(socket, PEER, waitedMs)).toEqual(true)
  })
  const port = await listen(front)
  cleanUps.push(() => {
    offloader.close()
    receiver.close()
    for (const socket of accepted) socket.destroy()
  })
  return { port, peerPort, offloader, receiver, served, loseLink: () => { for (const socket of webSockets.clients) socket.terminate() } }
}

/** Sends bytes, in pieces if there are several, and returns what is received until the connection closes. */
const exchange = async (port: number, ...pieces: Array<string | Buffer>): Promise<string> => await new Promise(resolve => {
  const socket = connect({ port, host: '127.0.0.1', noDelay: true })
  let received = ''
  socket.on('data', chunk => { received += chunk.toString('latin1') })
  socket.on('error', () => {})
  socket.on('close', () => { resolve(received) })
  const sendNext = (): void => {
    const piece = pieces.shift()
    if (piece === undefined) return
    socket.write(piece, () => { setTimeout(sendNext, 2) })
  }
  sendNext()
})

const echo: Handler = (req, res) => {
  const chunks: Buffer[] = []
  req.on('data', (chunk: Buffer) => { chunks.push(chunk) })
  req.on('end', () => { res.end(Buffer.concat(chunks)) })
}

const head = (length: number, more = 'Connection: close\r\n'): string => `POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n${more}\r\n`

describe('a message of an offload link', () => {
  const FRAMES: OffloadFrame[] = [
    { kind: 'open', connection: 7 }, { kind: 'data', connection: 7, bytes: Buffer.from('abc'), unreadMs: 0 }, { kind: 'data', connection: 7, bytes: Buffer.from('abc'), unreadMs: 1200, readAt: 5_000_000 }, { kind: 'credit', connection: 7, bytes: 140_000 },
    { kind: 'end', connection: 7 }, { kind: 'close', connection: 7, isIdle: true }, { kind: 'keep-alive', isAllowed: false }, { kind: 'close-idle' }
  ]

  it('round-trips all kinds of frames', () => {
    expect(decodeOffloadFrames(encodeOffloadFrames(FRAMES))).toEqual(FRAMES)
  })

  it('of an older gateway, which does not say how long bytes have waited, is understood', () => {
    const message = new Packr({ useRecords: false }).pack([[1, 7, Buffer.from('abc')]])
    expect(decodeOffloadFrames(message)).toEqual([{ kind: 'data', connection: 7, bytes: Buffer.from('abc'), unreadMs: 0 }])
  })

  it('is rejected as a whole when a frame is malformed', () => {
    const malformed = [[{ kind: 'data', connection: -1, bytes: Buffer.alloc(1) }], [{ kind: 'credit', connection: 1, bytes: NaN }], [{ kind: 'data', connection: 1, bytes: 'text' }]]
    for (const frames of malformed) expect(() => decodeOffloadFrames(encodeOffloadFrames(frames as unknown as OffloadFrame[]))).toThrow(OffloadMessageError)
    expect(() => decodeOffloadFrames(Buffer.from([0x91, 0x91, 0x20]))).toThrow(OffloadMessageError)
    expect(() => decodeOffloadFrames(Buffer.from([0x05]))).toThrow(OffloadMessageError)
  })
})

describe('a connection that a peer serves', () => {
  it('carries requests and responses whole, however the bytes are cut', async () => {
    const { port } = await startOffloaded(echo)
    await fc.assert(fc.asyncProperty(fc.array(fc.string({ minLength: 1, maxLength: 400 }), { minLength: 1, maxLength: 6 }), async parts => {
      const body = Buffer.from(parts.join(''))
      const received = await exchange(port, head(body.length), ...parts.map(part => Buffer.from(part)))
      expect(received).toMatchRegex(/^HTTP\/1.1 200/)
      expect(received.endsWith(body.toString('latin1'))).toEqual(true)
    }), { numRuns: 25 })
  })

  it('carries bodies larger than its flow control window in both directions', async () => {
    const { port } = await startOffloaded(echo)
    const body = Buffer.alloc(CREDIT_BYTES * 5, 'fuchsia')
    const received = await exchange(port, head(body.length), body)
    expect(received.length - received.indexOf('\r\n\r\n') - 4).toEqual(body.length)
  })

  it('is kept open for further requests', async () => {
    const { port, served } = await startOffloaded(echo)
    const received = await exchange(port, `${head(3, '')}one${head(3)}two`)
    expect(received.match(/HTTP\/1.1 200/g)?.length).toEqual(2)
    expect(received).toMatchRegex(/one[^]*two$/)
    expect(served.length).toEqual(1)
  })

  it('tells the peer how long its first request has waited in the listen queue, and not of further ones', async () => {
    const waits: number[] = []
    const { port } = await startOffloaded((req, res) => {
      waits.push((req.socket as unknown as OffloadedSocket).unreadMs)
      res.end()
    }, 1000)
    const socket = connect(port, '127.0.0.1', () => { socket.write(head(0, '')) }).on('error', () => {})
    await waitUntil(() => waits.length === 1)
    socket.write(head(0))
    await waitUntil(() => waits.length === 2)
    expect(waits[0] ?? 0).toBeGreaterThanOrEqual(1000)
    expect(waits[1] ?? Infinity).toBeLessThan(100)
  })

  it('counts how much longer its data was on the link than the fastest', async () => {
    const waits: number[] = []
    const { peerPort } = await startOffloaded((req, res) => {
      waits.push((req.socket as unknown as OffloadedSocket).unreadMs)
      res.end()
    })
    const link = new WebSocket(`ws://127.0.0.1:${peerPort}${OFFLOAD_PATH}`)
    await new Promise(resolve => { link.on('open', resolve) })
    cleanUps.push(() => { link.terminate() })
    link.send(encodeOffloadFrames([{ kind: 'open', connection: 1 }]))
    for (const lateMs of [0, 800, 0]) {
      const sent = waits.length
      // The clock of the other host is ahead by an hour.
      link.send(encodeOffloadFrames([{ kind: 'data', connection: 1, bytes: Buffer.from(head(0, '')), unreadMs: 0, readAt: performance.now() + 3_600_000 - lateMs }]))
      await waitUntil(() => waits.length > sent)
    }
    expect(waits[1] ?? 0).toBeGreaterThanOrEqual(750)
    for (const wait of [waits[0], waits[2]]) expect(wait ?? Infinity).toBeLessThan(50)
  })

  it('streams events as they are made', async () => {
    const { port } = await startOffloaded((_req, res) => {
      res.write('id: 1\n\n')
      setTimeout(() => { res.end('id: 2\n\n') }, 300)
    })
    const startedAt = performance.now()
    const firstEventMs = await new Promise<number>(resolve => {
      const req = request({ port, host: '127.0.0.1' }, res => { res.once('data', () => { resolve(performance.now() - startedAt) }) })
      req.on('error', () => {})
      req.end()
    })
    expect(firstEventMs).toBeLessThan(250)
  })

  it('ends at the peer when the caller leaves', async () => {
    let isClosed = false
    const { port, offloader, receiver } = await startOffloaded((_req, res) => {
      res.on('close', () => { isClosed = true })
      res.write('part')
    })
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => {})
    socket.write(head(0))
    await new Promise(resolve => { socket.once('data', resolve) })
    socket.destroy()
    await waitUntil(() => isClosed && offloader.size === 0 && receiver.size === 0)
  })

  it('sends the peer no request of a caller that has left before it was read', async () => {
    let requests = 0
    const { port, served } = await startOffloaded((_req, res) => {
      requests += 1
      res.end()
    })
    let isClosed = false
    const socket = connect(port, '127.0.0.1', () => { socket.end(head(0)) }).on('error', () => {}).on('close', () => { isClosed = true })
    await waitUntil(() => isClosed)
    expect([requests, served.length]).toEqual([0, 0])
  })

  it('is cut where the peer breaks a response off', async () => {
    const { port } = await startOffloaded((_req, res) => {
      res.write('part')
      setTimeout(() => { res.destroy() }, 20)
    })
    const received = await exchange(port, head(0))
    expect(received).toMatchRegex(/part/)
    expect(received).not.toMatchRegex(/\r\n0\r\n/)
  })

  it('ends with 502 when the peer is lost before it responds, and is cut when it is lost later', async () => {
    const { port, loseLink, served } = await startOffloaded((req, res) => { if (req.url === '/started') res.write('part') })
    const unanswered = exchange(port, head(0))
    const started = exchange(port, 'GET /started HTTP/1.1\r\nHost: a\r\n\r\n')
    await waitUntil(() => served.length === 2 && served.every(({ openRequests }) => openRequests === 1))
    await new Promise(resolve => { setTimeout(resolve, 100) })
    loseLink()
    expect(await unanswered).toMatchRegex(/^HTTP\/1.1 502[^]*"peer-lost"/)
    expect(await started).toMatchRegex(/part\r\n$/)
  })

  // Guards against the head of a refusal in the middle of a stream.
  it('is cut without a further byte when the peer is lost while a response is in progress and the caller has sent the next request', async () => {
    const { port, loseLink } = await startOffloaded((_req, res) => { res.write('id: 1\n\n') })
    const socket = connect({ port, host: '127.0.0.1', noDelay: true })
    let received = ''
    socket.on('data', chunk => { received += chunk.toString() })
    socket.on('error', () => {})
    const closed = new Promise(resolve => { socket.on('close', resolve) })
    socket.write('GET /stream HTTP/1.1\r\nHost: a\r\n\r\n')
    await waitUntil(() => received.includes('id: 1'))
    const before = received
    socket.write('GET /next HTTP/1.1\r\nHost: a\r\n\r\n')
    await new Promise(resolve => { setTimeout(resolve, 100) })
    loseLink()
    await closed
    expect(received).toEqual(before)
  })

  it('ends with 502 when the peer is lost before it responds to a further request on the connection', async () => {
    const { port, loseLink, served } = await startOffloaded((req, res) => { if (req.url === '/first') res.end('done') })
    const socket = connect({ port, host: '127.0.0.1', noDelay: true })
    let received = ''
    socket.on('data', chunk => { received += chunk.toString() })
    const closed = new Promise(resolve => { socket.on('close', resolve) })
    socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\n')
    await waitUntil(() => received.endsWith('done'))
    socket.write('GET /next HTTP/1.1\r\nHost: a\r\n\r\n')
    await waitUntil(() => served[0]?.openRequests === 1)
    loseLink()
    await closed
    expect(received).toMatchRegex(/doneHTTP\/1.1 502[^]*"peer-lost"/)
  })

  it('is reset where the peer breaks off a response without a length, or is lost, and not where it ends one', async () => {
    const { port, loseLink } = await startOffloaded((req, res) => {
      res.useChunkedEncodingByDefault = false
      res.write('part')
      if (req.url === '/broken') setTimeout(() => { res.destroy() }, 100)
      if (req.url === '/whole') setTimeout(() => { res.end('s') }, 100)
    })
    const endOf = async (path: string): Promise<string> => await new Promise(resolve => {
      const socket = connect({ port, host: '127.0.0.1' })
      let received = ''
      let outcome = 'closed'
      socket.on('data', chunk => { received += chunk.toString() })
      socket.on('error', () => { outcome = 'reset' })
      socket.on('close', () => { resolve(`${received.split('\r\n\r\n')[1] ?? ''} ${outcome}`) })
      socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`)
    })
    const lost = endOf('/lost')
    expect(await Promise.all([endOf('/broken'), endOf('/whole')])).toEqual(['part reset', 'parts closed'])
    loseLink()
    expect(await lost).toEqual('part reset')
  })

  it('answers 503, as not run, to a request that crosses the close of an idle connection', async () => {
    const { port, served } = await startOffloaded(echo)
    const socket = connect({ port, host: '127.0.0.1', noDelay: true })
    let received = ''
    socket.on('data', chunk => { received += chunk.toString() })
    const closed = new Promise(resolve => { socket.on('close', resolve) })
    socket.write(`${head(1, '')}a`)
    await waitUntil(() => /\r\n\r\na$/.test(received))
    const [serving] = served
    // The close is on its way to the gateway while the next request is on its way to the peer.
    socket.write(`${head(1, '')}b`)
    serving?.destroy()
    await closed
    expect(received).toMatchRegex(/HTTP\/1.1 503[^]*retry-after: 0[^]*"connection-closed"/)
  })

  it('is closed during a shutdown once it has no request, and not before', async () => {
    let finish = (): void => {}
    const { port, offloader } = await startOffloaded((req, res) => {
      if (req.url === '/slow') finish = () => { res.end('done') }
      else res.end('quick')
    })
    const idle = exchange(port, 'GET /quick HTTP/1.1\r\nHost: a\r\n\r\n')
    const busy = exchange(port, 'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n')
    await waitUntil(() => offloader.size === 2)
    await new Promise(resolve => { setTimeout(resolve, 60) })
    offloader.allowKeepAlive(false)
    offloader.closeIdleConnections()
    expect(await idle).toMatchRegex(/quick$/)
    expect(offloader.size).toEqual(1)
    finish()
    offloader.closeIdleConnections()
    await waitUntil(() => offloader.size === 0 || (offloader.closeIdleConnections(), false))
    expect(await busy).toMatchRegex(/done/)
  })
})
