import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { UpstreamClient } from './upstreamClient.js'
import type { UpstreamExchange, UpstreamRequest } from './upstreamTypes.js'

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
const exchange = async (client: UpstreamClient, request: Partial<UpstreamRequest> = {}, onHead: (exchange: UpstreamExchange, status: number) => void = () => {}): Promise<{ end: 'complete' | 'failed', sent: boolean, body: string }> =>
  await new Promise(resolve => {
    let body = ''
    const sent = client.send({ method: 'GET', path: '/', headers: [], body: undefined, idempotent: true, headTimeoutMs: 0, ...request }, {
      head: status => { onHead(sent, status) },
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

  it('reports that nothing was sent when its address is none, or a header cannot be sent', async () => {
    const handle = (client: UpstreamClient, headers: Array<readonly [string, string]>): Promise<string> => new Promise(resolve => {
      client.send({ method: 'GET', path: '/', headers, body: undefined, idempotent: true, headTimeoutMs: 0 }, { head: () => {}, data: () => {}, end: () => {}, failed: (err, sent) => { resolve(`${err.name} ${sent}`) } })
    })
    for (const url of ['http://10.0.0.1:70000', 'http://10.0.0.999:80', 'http://']) expect(await handle(new UpstreamClient(url, OPTIONS), [])).toEqual('TypeError false')
    const server = await listen(() => { throw new Error('connected') })
    const client = new UpstreamClient(urlOf(server), OPTIONS)
    expect(await handle(client, [['x-expect-instance', 'a\r\nb: c']])).toEqual('UnsendableRequestError false')
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

const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
const REFUSAL = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'

const pause = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

/** Sends one request and returns the status of its response, with whether the response came on the first exchange of its connection. */
const statusOf = async (client: UpstreamClient, request: Partial<UpstreamRequest> = {}): Promise<string> => {
  let status = 'failed'
  await exchange(client, request, (sent, received) => { status = `${received}${sent.isFirstOnConnection ? ' first' : ''}` })
  return status
}

/** Runs a test with an upstream that responds to all requests with `OK`, and passes the sockets of its connections. */
const withUpstream = async (act: (client: UpstreamClient, sockets: readonly Socket[]) => Promise<void>, onData = (socket: Socket): void => { socket.write(OK) }): Promise<void> => {
  const sockets: Socket[] = []
  const server = await listen(socket => {
    sockets.push(socket)
    socket.on('data', () => { onData(socket) })
  })
  const client = new UpstreamClient(urlOf(server), OPTIONS)
  try {
    await act(client, sockets)
  } finally {
    await client.close()
    server.close()
  }
}

describe('an exchange', () => {
  it('is the first on a connection that is new, and on one that was opened again', async () => {
    await withUpstream(async (client, sockets) => {
      expect([await statusOf(client), await statusOf(client), await statusOf(client)]).toEqual(['200 first', '200', '200'])
      sockets[0]?.end()
      await pause(30)
      expect([await statusOf(client), await statusOf(client)]).toEqual(['200 first', '200'])
    })
  })

  for (const [title, write] of [
    ['whose head arrives while no request waits', async (socket: Socket) => { await pause(20); socket.write(REFUSAL); await pause(20) }],
    ['whose head begins while no request waits', async (socket: Socket) => {
      socket.write(REFUSAL.slice(0, 15))
      await pause(20)
      setTimeout(() => { if (!socket.destroyed) socket.write(REFUSAL.slice(15)) }, 20)
    }],
    ['that is written in the tick in which the next request is dispatched', async (socket: Socket) => { await pause(20); socket.write(REFUSAL) }],
    ['that is on its way when the next request is sent', async (socket: Socket) => { await pause(20); setImmediate(() => { socket.write(REFUSAL) }) }],
    ['whose head begins in the tick in which the next request is dispatched', async (socket: Socket) => {
      await pause(20)
      socket.write(REFUSAL.slice(0, 15))
      setTimeout(() => { if (!socket.destroyed) socket.write(REFUSAL.slice(15)) }, 20)
    }]
  ] as const) {
    it(`never gets an earlier refusal as a first response: one ${title}`, async () => {
      await withUpstream(async (client, sockets) => {
        expect(await statusOf(client)).toEqual('200 first')
        if (sockets[0] !== undefined) await write(sockets[0])
        expect(await statusOf(client)).not.toEqual('503 first')
      })
    })
  }

  it('does not take a refusal that arrives before a large body is sent for a first response on a used connection', async () => {
    let requests = 0
    await withUpstream(async client => {
      expect(await statusOf(client)).toEqual('200 first')
      expect(await statusOf(client, { method: 'POST', body: Buffer.alloc(16 * 1024 * 1024) })).toEqual('503')
    }, socket => {
      requests += 1
      if (requests > 2) return
      socket.write(requests === 1 ? OK : REFUSAL)
      if (requests === 2) socket.pause()
    })
  })

  it('with an id that got an error response on a connection is sent on another one, and others are still sent on it', async () => {
    await withUpstream(async (client, sockets) => {
      const statuses: string[] = []
      for (const id of ['a', 'b', 'a', 'c']) statuses.push(await statusOf(client, { id }))
      expect([statuses, sockets.length]).toEqual([['503 first', '503', '503 first', '503'], 2])
    }, socket => { socket.write(REFUSAL) })
  })
})
