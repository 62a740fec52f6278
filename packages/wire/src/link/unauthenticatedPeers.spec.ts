/** Connections that are not authenticated, are slow or send malformed data. None may disturb the sessions of others. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { ManualClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { WebSocket } from 'ws'
import { dialSessions } from './dialSessions.js'
import { linkOptions, nextSession, openLink, pull, takeMessages } from './linkFixtures.spec.js'
import { MAX_HALF_OPEN } from './linkConstants.js'
import { listenSessions } from './listenSessions.js'

const waitForClose = async (socket: Socket): Promise<void> => { await new Promise<void>(resolve => { socket.once('close', () => { resolve() }) }) }

/** Connects, sends bytes, and returns the bytes received until the connection is closed. */
const probe = async (port: number, data: Uint8Array): Promise<string> => {
  const socket = connect({ port, host: '127.0.0.1' })
  const response: Buffer[] = []
  socket.on('data', part => { response.push(part) }).on('error', () => {})
  socket.write(data)
  await waitForClose(socket)
  return Buffer.concat(response).toString('latin1')
}

/** Opens a WebSocket without a handshake and returns its TCP socket. */
const upgrade = async (port: number): Promise<Socket> => {
  const ws = new WebSocket(`ws://127.0.0.1:${port}`)
  const [res] = await once(ws, 'upgrade') as [{ socket: Socket }]
  return res.socket.on('error', () => {})
}

describe('unauthenticated peers', () => {
  it('are disconnected without a response for HTTP requests and random bytes, while sessions continue', async () => {
    const link = await openLink()
    const { port } = link.server.address
    for (const lines of ['Host: x', 'A: b', 'Host: x\r\nExpect: 100-continue', 'Host: x\r\nExpect: x', 'Host: x\r\nConnection: upgrade\r\nUpgrade: websocket']) {
      expect(await probe(port, Buffer.from(`GET / HTTP/1.1\r\n${lines}\r\n\r\n`))).toEqual('')
    }
    await fc.assert(fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 2000 }), async bytes => {
      expect(await probe(port, Buffer.concat([bytes, Buffer.from('\r\n\r\n')]))).toEqual('')
    }), { seed: 6, numRuns: 100 })
    link.dialerSession.send(pull(1))
    expect(await takeMessages(link.listenerSession, 1)).toEqual([pull(1)])
    await link.close()
  })

  it('are disconnected after the upgrade for any frame that is not part of the handshake', async () => {
    const server = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0 })
    const namedFrames = {
      'a frame length of almost 4 GiB': Buffer.from([0x82, 0xff, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0]),
      'a text message': Buffer.from([0x81, 0x81, 0, 0, 0, 0, 0x41]),
      'many pings': Buffer.alloc(100_000, Buffer.from([0x89, 0x80, 0, 0, 0, 0]))
    }
    const names = Object.keys(namedFrames) as Array<keyof typeof namedFrames>
    await fc.assert(fc.asyncProperty(fc.oneof(
      fc.constantFrom(...names),
      fc.uint8Array({ minLength: 1, maxLength: 120 })
    ), async bytes => {
      const frame = typeof bytes === 'string' ? namedFrames[bytes] : Buffer.concat([Buffer.from([0x82, 0x80 + bytes.length, 0, 0, 0, 0]), bytes])
      const socket = await upgrade(server.address.port)
      socket.write(frame)
      await waitForClose(socket)
    }), { seed: 7, numRuns: 60 })
    await server.close()
  })

  it('are disconnected when the handshake times out, before or after the upgrade', async () => {
    const clock = new ManualClock()
    const server = await listenSessions({ ...linkOptions('router-1', 'router'), clock, port: 0 })
    const silent = connect({ port: server.address.port, host: '127.0.0.1' })
    const upgraded = await upgrade(server.address.port)
    clock.advance(5000)
    await Promise.all([waitForClose(silent), waitForClose(upgraded)])
    await server.close()
  })

  it('are disconnected, oldest first, when there are too many', async () => {
    const server = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0 })
    const first = connect({ port: server.address.port, host: '127.0.0.1' })
    await once(first, 'connect')
    const closed = waitForClose(first)
    const more = Array.from({ length: MAX_HALF_OPEN }, () => connect({ port: server.address.port, host: '127.0.0.1' }).on('error', () => {}))
    await closed
    const dialer = dialSessions({ ...linkOptions('agent-1', 'agent'), port: server.address.port })
    await nextSession(dialer)
    dialer.close()
    for (const socket of more) socket.destroy()
    await server.close()
  })

  it('with a different link key get no session', async () => {
    const server = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0 })
    const arrival = nextSession(server)
    const wrong = dialSessions({ ...linkOptions('agent-1', 'agent'), linkKey: 'wrong', port: server.address.port })
    wrong.sessions.observe(() => { throw new Error('an unauthenticated peer got a session') })
    const right = dialSessions({ ...linkOptions('agent-2', 'agent'), port: server.address.port })
    expect<string>((await arrival).peer.host).toEqual('agent-2')
    wrong.close()
    right.close()
    await server.close()
  })
})

describe('malformed frames of an authenticated peer', () => {
  const frames = {
    'random bytes': Buffer.from([0x82, 0x83, 0, 0, 0, 0, 1, 2, 3]),
    'a text message': Buffer.from([0x81, 0x81, 0, 0, 0, 0, 0x41]),
    'a frame length of almost 4 GiB': Buffer.from([0x82, 0xff, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0]),
    'bytes that are not a WebSocket frame': Buffer.from('GET / HTTP/1.1'),
    'a message of an unknown kind': Buffer.from([0x82, 0x86, 0, 0, 0, 0, 0x93, 0, 0, 1, 0x91, 0x70])
  }
  for (const [name, frame] of Object.entries(frames)) {
    it(`end only its own session: ${name}`, async () => {
      const link = await openLink()
      const arrival = nextSession(link.server)
      const bystander = dialSessions({ ...linkOptions('agent-2', 'agent'), port: link.server.address.port })
      const otherSession = await arrival
      link.relay.inject('listener', frame)
      expect(await link.listenerSession.ended).toEqual('protocol-error')
      expect(['protocol-error', 'expired'].includes(await link.dialerSession.ended)).toEqual(true)
      expect(otherSession.connected).toEqual(true)
      bystander.close()
      await link.close()
    })
  }
})
