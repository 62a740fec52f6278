import { once } from 'node:events'
import { type AddressInfo, connect, createServer, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { systemClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { ListenQueueWait } from '../callers/listenQueueWait.js'
import type { HeaderPort } from '../port/headerPort.js'
import { OffloadedCaller } from './offloadedCaller.js'
import type { OffloadLink } from './offloadLink.js'

const LINK = { send: () => {} } as unknown as OffloadLink

const serve = (socket: Socket, headers: HeaderPort): OffloadedCaller =>
  new OffloadedCaller({ clock: systemClock, socket, link: LINK, connection: 1, headers, wait: new ListenQueueWait(systemClock, 0) }, () => {})

/** More than the kernel keeps for a caller that does not read. */
const BODY = Buffer.alloc(16_000_000, 'fuchsia')

describe('a response that a peer has ended', () => {
  // Guards against a response without a length that looks complete without its end.
  for (const [name, header, isEnded] of [['without a length', '', true], ['with a length', `content-length: ${BODY.length}\r\n`, false]] as const) {
    it(`reaches a slow caller whole when the peer is lost: ${name}`, async () => {
      const server = createServer({ allowHalfOpen: true }).listen(0, '127.0.0.1')
      await once(server, 'listening')
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1').pause()
      let wasReset = false
      socket.on('error', () => { wasReset = true })
      const [accepted] = await once(server, 'connection') as [Socket]
      const caller = serve(accepted, {} as HeaderPort)
      const head = `HTTP/1.1 200 OK\r\n${header}\r\n`
      caller.receive(Buffer.concat([Buffer.from(head), BODY]))
      if (isEnded) caller.receiveEnd()
      await new Promise(resolve => { setTimeout(resolve, 100) })
      caller.fail()
      let received = 0
      socket.on('data', (bytes: Buffer) => { received += bytes.length })
      socket.resume()
      await once(socket, 'close')
      expect([received, wasReset]).toEqual([head.length + BODY.length, false])
      socket.destroy()
      server.close()
    })
  }
})

/** Guards against a refusal of such bytes behind the response: the write behind the end discards what a slow caller has not received. */
describe('a response that closes its connection', () => {
  for (const [name, end] of [
    ['the peer closes the connection', caller => { caller.receiveClose(true) }],
    ['the link is lost', caller => { caller.fail() }]
  ] as ReadonlyArray<readonly [string, (caller: OffloadedCaller) => void]>) {
    it(`reaches a slow caller whole that has sent bytes behind its request when ${name}`, async () => {
      const server = createServer({ allowHalfOpen: true }).listen(0, '127.0.0.1')
      await once(server, 'listening')
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1').pause()
      let wasReset = false
      socket.on('error', () => { wasReset = true })
      const [accepted] = await once(server, 'connection') as [Socket]
      const caller = serve(accepted, { encodeRetryAfter: () => [] } as unknown as HeaderPort)
      const head = `HTTP/1.1 200 OK\r\ncontent-length: ${BODY.length}\r\nconnection: close\r\n\r\n`
      caller.receive(Buffer.concat([Buffer.from(head), BODY]))
      socket.write('behind')
      await once(accepted, 'data')
      caller.receiveEnd()
      end(caller)
      await new Promise(resolve => { setTimeout(resolve, 100) })
      let received = 0
      socket.on('data', (bytes: Buffer) => { received += bytes.length })
      socket.resume()
      await once(socket, 'close')
      server.close()
      expect([received, wasReset]).toEqual([head.length + BODY.length, false])
    })
  }
})

describe('a response to HEAD', () => {
  // Guards against a refusal that is written into the next response, whose begin would be taken for the body of this one.
  for (const [name, pieces] of [['in two reads', ['HE', 'AD /x HTTP/1.1\r\nHost: a\r\n\r\n']], ['with an absolute target', ['HEAD http://a/x HTTP/1.1\r\nHost: a\r\n\r\n']]] as const) {
    it(`is not taken for one with a body: ${name}`, async () => {
      const server = createServer({ allowHalfOpen: true }).listen(0, '127.0.0.1')
      await once(server, 'listening')
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1').setNoDelay()
      let received = ''
      socket.on('error', () => {})
      socket.on('data', bytes => { received += bytes.toString('latin1') })
      const [accepted] = await once(server, 'connection') as [Socket]
      const caller = serve(accepted, { encodeRetryAfter: () => [] } as unknown as HeaderPort)
      const send = async (text: string): Promise<void> => {
        socket.write(text)
        await once(accepted, 'data')
      }
      const begun = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n'
      for (const piece of pieces) await send(piece)
      caller.receive(Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${begun.length}\r\n\r\n`))
      await send('GET /stream HTTP/1.1\r\nHost: a\r\n\r\n')
      caller.receive(Buffer.from(begun))
      await send('GET /next HTTP/1.1\r\nHost: a\r\n\r\n')
      const closed = new Promise(resolve => { socket.on('close', resolve) })
      caller.fail()
      await closed
      server.close()
      expect(received.includes('HTTP/1.1 502')).toEqual(false)
    })
  }
})
