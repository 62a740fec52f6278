import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { UpstreamClient } from './upstreamClient.js'

const OPTIONS = { connectTimeoutMs: 500, keepAliveMs: 2000, keepAliveMarginMs: 100, freshConnectionForNonIdempotent: false }

/** Heads of responses, in the ways to delimit a body. */
const HEADS = [
  'HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\n',
  'HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n',
  'HTTP/1.1 200 OK\r\nSeal: s\r\nConnection: close\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nSeal: s\r\nConnection: close\r\n\r\n'
]

type End = 'complete' | 'failed'

const listen = async (onRequest: (socket: Socket, nth: number) => void): Promise<Server> => {
  const server = createServer(socket => {
    let nth = 0
    socket.on('error', () => {})
    socket.on('data', () => { onRequest(socket, nth++) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

const exchange = async (client: UpstreamClient): Promise<End> => await new Promise(resolve => {
  client.send({ method: 'GET', path: '/', headers: [], body: undefined, idempotent: true, headTimeoutMs: 0 }, { head: () => {}, data: () => {}, end: () => { resolve('complete') }, failed: () => { resolve('failed') } })
})

/** Guards against a response of which a part of the head is missing, and which is taken for a whole one without a body. */
describe('a response that breaks off inside its head', () => {
  for (const isKept of [false, true]) {
    for (const [title, end] of [['an orderly close', (socket: Socket) => { socket.end() }], ['a reset', (socket: Socket) => { socket.resetAndDestroy() }]] as const) {
      it(`by ${title} is never complete, wherever that is, on a ${isKept ? 'kept' : 'new'} connection`, async () => {
        const complete: string[] = []
        for (const head of HEADS) {
          for (let cut = 0; cut < head.length; cut++) {
            const server = await listen((socket, nth) => {
              if (isKept && nth === 0) return socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
              socket.write(head.slice(0, cut), () => { setImmediate(() => { end(socket) }) })
            })
            const client = new UpstreamClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, OPTIONS)
            if (isKept) expect(await exchange(client)).toEqual('complete')
            if (await exchange(client) === 'complete') complete.push(head.slice(0, cut))
            await client.close()
            server.close()
          }
        }
        expect(complete).toEqual([])
      })
    }
  }
})
