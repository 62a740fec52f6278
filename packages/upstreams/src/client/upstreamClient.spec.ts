import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { UpstreamClient } from './upstreamClient.js'

const OPTIONS = { connectTimeoutMs: 500, keepAliveMs: 2000, keepAliveMarginMs: 100, freshConnectionForNonIdempotent: false }

const listen = async (onSocket: (socket: Socket) => void): Promise<Server> => {
  const server = createServer(socket => {
    socket.on('error', () => {})
    onSocket(socket)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

const urlOf = (server: Server): string => `http://127.0.0.1:${(server.address() as AddressInfo).port}`

/** Sends one request and returns how it ended. */
const exchange = async (client: UpstreamClient): Promise<{ end: 'complete' | 'failed', sent: boolean, body: string }> =>
  await new Promise(resolve => {
    let body = ''
    client.send({ method: 'GET', path: '/', headers: [], body: undefined, idempotent: true, headTimeoutMs: 0 }, {
      head: () => {},
      data: chunk => { body += chunk.toString() },
      end: () => { resolve({ end: 'complete', sent: true, body }) },
      failed: (_err, sent) => { resolve({ end: 'failed', sent, body }) }
    })
  })

describe('an upstream client', () => {
  it('reports that nothing was sent when the upstream accepts no connection', async () => {
    const server = await listen(() => {})
    const url = urlOf(server)
    await new Promise(resolve => { server.close(resolve) })
    const client = new UpstreamClient(url, OPTIONS)
    expect(await exchange(client)).toEqual({ end: 'failed', sent: false, body: '' })
    await client.close()
  })

  it('sends nothing for an exchange that is cancelled while its connection is being opened', async () => {
    let received = ''
    const server = await listen(socket => { socket.on('data', chunk => { received += chunk.toString() }) })
    const client = new UpstreamClient(urlOf(server), OPTIONS)
    const error = await new Promise<Error>(resolve => {
      const handler = { head: () => {}, data: () => {}, end: () => {}, failed: resolve }
      client.send({ method: 'GET', path: '/', headers: [], body: undefined, idempotent: true, headTimeoutMs: 0 }, handler).cancel(new Error('caller left'))
    })
    await new Promise(resolve => { setTimeout(resolve, 50) })
    expect([error.message, received]).toEqual(['caller left', ''])
    await client.close()
    server.close()
  })

  it('treats a response without a length as complete when its connection is closed in an orderly way', async () => {
    const server = await listen(socket => {
      socket.once('data', () => { socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole') })
    })
    const client = new UpstreamClient(urlOf(server), OPTIONS)
    expect(await exchange(client)).toEqual({ end: 'complete', sent: true, body: 'whole' })
    await client.close()
    server.close()
  })

  it('treats a response without a length as failed when its connection is reset', async () => {
    const server = await listen(socket => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart', () => { setTimeout(() => { socket.resetAndDestroy() }, 20) })
      })
    })
    const client = new UpstreamClient(urlOf(server), OPTIONS)
    expect(await exchange(client)).toEqual({ end: 'failed', sent: true, body: 'part' })
    await client.close()
    server.close()
  })

  it('reuses a connection, but not after it received an unsolicited response', async () => {
    let connections = 0
    const server = await listen(socket => {
      const number = ++connections
      socket.on('data', () => { socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${number}`) })
      if (number === 2) socket.once('data', () => { setTimeout(() => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra') }, 10) })
    })
    const client = new UpstreamClient(urlOf(server), OPTIONS)
    expect((await exchange(client)).body).toEqual('1')
    expect((await exchange(client)).body).toEqual('1')
    expect(connections).toEqual(1)
    const parallel = await Promise.all([exchange(client), exchange(client)])
    expect(parallel.map(({ body }) => body).sort()).toEqual(['1', '2'])
    await new Promise(resolve => { setTimeout(resolve, 50) })
    const later = await Promise.all([exchange(client), exchange(client)])
    expect(later.map(({ body }) => body).sort()).toEqual(['1', '3'])
    await client.close()
    server.close()
  })
})
