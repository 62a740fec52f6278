import type { Socket } from 'node:net'
import { describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { type GatewayUnderTest, type Script, startUnderTest } from '../process/gatewayFixtures.js'

setLogLevel('error')

/** Statuses that promise that a request has not run. */
const PROMISES = [408, 421, 429, 503]

/** Start of the ids of requests that every upstream serves, so that retries are within the budget. */
const SERVED = 'served'
const SERVED_REQUESTS = 20

/** Longer than the time for which an upstream that was full, or whose connection broke, is avoided. */
const AVOID_MS = 350

const pause = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }
const statusOf = (response: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(response)?.[1])
const idOf = (attempt: string): string => `try: ${attempt}\r\n`
const send = async (gateway: GatewayUnderTest, path: string, attempt: string): Promise<string> =>
  await gateway.sendRaw(`POST ${path} HTTP/1.1\r\nHost: a.example\r\nTry: ${attempt}\r\nConnection: close\r\nContent-Length: ${attempt.length}\r\n\r\n${attempt}`, 2500)

/** Upstream that answers the first request on a connection, and runs further ones, each after it has written something of earlier once more. */
class RepeatingUpstream {
  readonly runs: string[] = []
  readonly sockets = new Set<Socket>()
  readonly script: Script = ({ socket, headers }) => {
    const attempt = String(headers['try'])
    if (attempt.startsWith(SERVED)) return socket.write(success(idOf(attempt), 'ok'))
    if (!this.sockets.has(socket)) {
      this.sockets.add(socket)
      socket.write(this.first(attempt))
      return
    }
    this.runs.push(attempt)
    for (const [nth, part] of this.repeated.entries()) setTimeout(() => { if (!socket.destroyed) socket.write(part) }, nth * 30)
  }

  /**
   * @param first - response to the first request
   * @param repeated - what is written while a later request runs, in parts
   */
  constructor (readonly first: (attempt: string) => string, readonly repeated: readonly string[]) {}
}

const refusal = (id = ''): string => `HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\n${id}content-length: 0\r\n\r\n`
const firstRefusal = (attempt: string): string => refusal(idOf(attempt))
const success = (id: string, body = 'of earlier'): string => `HTTP/1.1 200 OK\r\nseal: s\r\n${id}content-length: ${body.length}\r\n\r\n${body}`

const REFUSALS: ReadonlyArray<{ readonly name: string, readonly repeated: readonly string[] }> = [
  { name: 'with 503 and no id', repeated: [refusal()] },
  { name: 'with 421 and no id', repeated: ['HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n'] },
  { name: 'with 429 and no id', repeated: ['HTTP/1.1 429 Too Many Requests\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n'] },
  { name: 'with 400 and no id', repeated: ['HTTP/1.1 400 Bad Request\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n'] },
  { name: 'in parts', repeated: [refusal().slice(0, 20), refusal().slice(20)] },
  { name: 'after an interim response', repeated: ['HTTP/1.1 102 Processing\r\n\r\n', refusal()] },
  { name: 'with the id of the earlier request', repeated: [refusal(idOf('t1'))] },
  { name: 'with two ids, of which one is that of the request in flight', repeated: [refusal(idOf('t2') + idOf('t1'))] },
  { name: 'cut off inside a header, before the true response', repeated: ['HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nretry-after: 1', success(idOf('t2'))] },
  { name: 'cut off inside the status line, before the true response', repeated: ['HTTP/1.1 503 Service Unav', success(idOf('t2'))] },
  { name: 'with 421 and cut off inside the status line, before the true response', repeated: ['HTTP/1.1 421 Misdir', success(idOf('t2'))] }
]

const sendServed = async (gateway: GatewayUnderTest): Promise<void> => {
  for (let nth = 0; nth < SERVED_REQUESTS; nth++) expect(statusOf(await send(gateway, '/once/x', `${SERVED}${nth}`))).toEqual(200)
}

const withGateway = async (upstreams: readonly RepeatingUpstream[], act: (gateway: GatewayUnderTest) => Promise<void>): Promise<void> => {
  const gateway = await startUnderTest(...upstreams.map(({ script }) => script))
  try {
    await act(gateway)
  } finally {
    await gateway.close()
  }
}

describe('an earlier refusal written once more on a kept connection', () => {
  for (const { name, repeated } of REFUSALS) {
    it(`${name} does not tell the caller that its request has not run`, async () => {
      const upstream = new RepeatingUpstream(firstRefusal, repeated)
      await withGateway([upstream], async gateway => {
        expect(statusOf(await send(gateway, '/once/x', 't1'))).toEqual(503)
        await pause(AVOID_MS)
        expect(statusOf(await send(gateway, '/once/x', 't2'))).toEqual(502)
        expect([upstream.runs, upstream.sockets.size]).toEqual([['t2'], 1])
        expect([...upstream.sockets].every(socket => socket.destroyed)).toEqual(true)
      })
    })

    it(`${name} does not make a request that runs at most once run twice`, async () => {
      const upstreams = [new RepeatingUpstream(firstRefusal, repeated), new RepeatingUpstream(firstRefusal, repeated)]
      await withGateway(upstreams, async gateway => {
        await sendServed(gateway)
        expect(statusOf(await send(gateway, '/once/x', 't1'))).toEqual(503)
        expect(upstreams.map(({ sockets }) => sockets.size)).toEqual([1, 1])
        await pause(AVOID_MS)
        const received = await send(gateway, '/once/x', 't2')
        expect(upstreams.flatMap(({ runs }) => runs)).toEqual(['t2'])
        expect(PROMISES).not.toInclude(statusOf(received))
      })
    })
  }

  it('is not believed when a caller uses the id of the refused request again', async () => {
    const runs: string[] = []
    const sockets: Socket[] = []
    const script: Script = ({ socket, headers }) => {
      const id = idOf(String(headers['try']))
      sockets.push(socket)
      if (sockets.length === 1) return socket.write(refusal(id))
      runs.push(id)
      sockets[0]?.write(refusal(id))
      setTimeout(() => { socket.write(success(id, 'true answer')) }, 50)
    }
    const gateway = await startUnderTest(script)
    try {
      expect(statusOf(await send(gateway, '/once/x', 't1'))).toEqual(503)
      await pause(AVOID_MS)
      expect(await send(gateway, '/once/x', 't1')).toMatchRegex(/^HTTP\/1.1 200[^]*true answer$/)
      expect(runs.length).toEqual(1)
    } finally {
      await gateway.close()
    }
  })

  it('says nothing of the upstream: neither that it leaves nor that it wants no requests', async () => {
    const repeated = 'HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nleaving: 1\r\nwait-ms: 60000\r\nload: 8,8,8\r\ncontent-length: 0\r\n\r\n'
    const upstream = new RepeatingUpstream(attempt => success(idOf(attempt), 'ok'), [repeated])
    await withGateway([upstream], async gateway => {
      expect(statusOf(await send(gateway, '/once/x', 't1'))).toEqual(200)
      expect(statusOf(await send(gateway, '/once/x', 't2'))).toEqual(502)
      await pause(AVOID_MS)
      expect(statusOf(await send(gateway, '/once/x', 't3'))).toEqual(200)
    })
  })

  it('does not keep the requests of other callers from the upstream', async () => {
    const upstream = new RepeatingUpstream(attempt => success(idOf(attempt), 'ok'), [refusal()])
    await withGateway([upstream], async gateway => {
      expect(statusOf(await send(gateway, '/once/x', 't1'))).toEqual(200)
      expect(statusOf(await send(gateway, '/once/x', 't2'))).toEqual(502)
      expect(statusOf(await send(gateway, '/once/x', 't3'))).toEqual(200)
    })
  })

  it('is not counted as a lost connection when it is cut off inside a header, before the true response', async () => {
    const upstream = new RepeatingUpstream(firstRefusal, ['HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nretry-after: 1', success(idOf('t2'))])
    await withGateway([upstream], async gateway => {
      await send(gateway, '/once/x', 't1')
      await pause(AVOID_MS)
      await send(gateway, '/once/x', 't2')
      const attempts = await gateway.readMetric('fuchsiaworks_attempts_total')
      expect([attempts['service="plain",outcome="garbled"'], attempts['service="plain",outcome="reset"']]).toEqual([1, undefined])
    })
  })

  it('is counted by itself', async () => {
    const upstream = new RepeatingUpstream(firstRefusal, [refusal()])
    await withGateway([upstream], async gateway => {
      await send(gateway, '/once/x', 't1')
      await pause(AVOID_MS)
      await send(gateway, '/once/x', 't2')
      expect((await gateway.readMetric('fuchsiaworks_attempts_total'))['service="plain",outcome="unattributed"']).toEqual(1)
    })
  })
})

describe('an earlier response written once more on a kept connection, without an id', () => {
  for (const [name, repeated] of [['a success', success('')], ['an error', 'HTTP/1.1 500 Oops\r\nseal: s\r\ncontent-length: 10\r\n\r\nof earlier']] as const) {
    it(`is not forwarded to another caller: ${name}`, async () => {
      const upstream = new RepeatingUpstream(attempt => success(idOf(attempt)), [repeated])
      await withGateway([upstream], async gateway => {
        expect(statusOf(await send(gateway, '/once/x', 't1'))).toEqual(200)
        const received = await send(gateway, '/once/x', 't2')
        expect(statusOf(received)).toEqual(502)
        expect(received).not.toMatchRegex(/of earlier|seal/)
      })
    })
  }
})

describe('a refusal of the request in flight', () => {
  for (const [name, refuse] of [
    ['without an id on the first exchange of a connection', (_attempt: string, isFirst: boolean) => isFirst ? refusal() : undefined],
    ['with its id on a kept connection', (attempt: string, isFirst: boolean) => isFirst ? undefined : refusal(idOf(attempt))]
  ] as const) {
    it(`${name} is retried elsewhere at once`, async () => {
      const sockets = new Set<Socket>()
      let refused = 0
      const serve: Script = ({ headers }, res) => { res.writeHead(200, { seal: 's', try: String(headers['try']) }).end('ok') }
      const refuseSome: Script = ({ socket, headers }) => {
        const attempt = String(headers['try'])
        const bytes = refuse(attempt, !sockets.has(socket))
        sockets.add(socket)
        if (bytes !== undefined) refused += 1
        socket.write(bytes ?? success(idOf(attempt), 'ok'))
      }
      const gateway = await startUnderTest(refuseSome, serve)
      try {
        for (let nth = 0; nth < 20; nth++) {
          const sentAt = Date.now()
          expect(statusOf(await send(gateway, '/once/x', `t${nth}`))).toEqual(200)
          expect(Date.now() - sentAt).toBeLessThan(AVOID_MS)
          if (refused > 0) break
        }
        expect(refused).toBeGreaterThan(0)
      } finally {
        await gateway.close()
      }
    })
  }
})
