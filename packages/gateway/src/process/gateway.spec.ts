import { once } from 'node:events'
import { createServer as createHttpServer, get } from 'node:http'
import { type AddressInfo, connect, createServer, type Server } from 'node:net'
import { describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { findPorts } from '@fuchsiaworks/standins'
import { expect } from 'earl'
import { Packr } from 'msgpackr'
import { WebSocket } from 'ws'
import { decodeOffloadFrames, encodeOffloadFrames } from '../offload/offloadCodec.js'
import { OFFLOAD_PATH } from '../offload/offloadTypes.js'
import { UNREACHABLE_AVOID_MS } from '../requests/upstreamFailure.js'
import { exchangeRaw, type GatewayUnderTest, type Script, startUnderTest, startWithSettings } from './gatewayFixtures.js'

setLogLevel('error')

const respond: Script = (req, res, body) => { res.writeHead(200, { seal: 's', try: String(req.headers['try']) }).end(`got ${body}`) }
const reject: Script = (req, res) => { res.writeHead(503, { 'not-run': '1', try: String(req.headers['try']) }).end() }
const failWith500: Script = (req, res) => { res.writeHead(500, { seal: 's', try: String(req.headers['try']) }).end('broken') }
const reset: Script = req => { req.socket.resetAndDestroy() }
const events = (from: number, to: number): string => Array.from({ length: to - from + 1 }, (_, at) => `id: ${from + at}\ndata: d${from + at}\n\n`).join('')

/** Streams six events and breaks off after the third, unless the stream is resumed. */
const breakOnce: Script = (req, res) => {
  const from = Number(req.headers['last-event-id'] ?? 0) + 1
  res.writeHead(200, { seal: `s${from}`, try: String(req.headers['try']), 'content-type': 'text/event-stream' })
  if (from > 1) return res.end(events(from, 6))
  res.write(events(1, 3))
  setTimeout(() => { req.socket.resetAndDestroy() }, 30)
}

const withGateway = async (scripts: Script[], act: (gateway: GatewayUnderTest) => Promise<void>): Promise<void> => {
  const gateway = await startUnderTest(...scripts)
  try {
    await act(gateway)
  } finally {
    await gateway.close()
  }
}

const statusOf = (response: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(response)?.[1])
const pause = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

/** A request with each character of its target as one byte. */
const requestOf = (target: string): Buffer => Buffer.from(`GET ${target} HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\nConnection: close\r\n\r\n`, 'latin1')

/** Whether the parser of this version of Node.js takes a request. */
const parserTakes = async (request: Buffer): Promise<boolean> => {
  const server = createHttpServer((_req, res) => { res.end() }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const received = await exchangeRaw((server.address() as AddressInfo).port, request, 2500)
  server.close()
  return statusOf(received) === 200
}

describe('a gateway', () => {
  it('forwards the complete request and response, without hop-by-hop headers', async () => {
    await withGateway([respond], async gateway => {
      const received = await gateway.sendRequest('/safe/x?q=1', 'X-Own: a\r\nWorkspace: forged\r\nKeep-Alive: timeout=5\r\n', 'hello')
      expect(statusOf(received)).toEqual(200)
      expect(received).toMatchRegex(/seal: s\r\n[^]*got hello$/)
      const [arrival] = gateway.arrivals
      expect([arrival?.req.url, arrival?.req.method, arrival?.body, arrival?.req.headers['x-own']]).toEqual(['/safe/x?q=1', 'POST', 'hello', 'a'])
      expect([arrival?.req.headers['workspace'], arrival?.req.headers['keep-alive']]).toEqual([undefined, undefined])
    })
  })

  it('forwards the workspace of an API key, but not the key itself', async () => {
    await withGateway([respond], async gateway => {
      expect(statusOf(await gateway.sendRequest('/keyed/x', 'Key: k1\r\n'))).toEqual(200)
      expect([gateway.arrivals[0]?.req.headers['workspace'], gateway.arrivals[0]?.req.headers['key']]).toEqual(['w1', undefined])
      expect(statusOf(await gateway.sendRequest('/keyed/x', 'Key: other\r\n'))).toEqual(401)
      expect(statusOf(await gateway.sendRequest('/keyed/x'))).toEqual(401)
      expect(statusOf(await gateway.sendRequest('/none/x'))).toEqual(404)
      expect(gateway.arrivals.length).toEqual(1)
    })
  })

  it('refuses requests that need a key when its configuration is too old, and serves the others', async () => {
    await withGateway([respond], async gateway => {
      gateway.viewAgeMs = 4800
      const received = await gateway.sendRequest('/keyed/x', 'Key: k1\r\n')
      expect(statusOf(received)).toEqual(503)
      expect(received).toMatchRegex(/retry-after: /)
      expect(statusOf(await gateway.sendRequest('/safe/x'))).toEqual(200)
    })
  })

  it('sends no requests to an upstream that reports a slow phase while another is as usual, until the report is too old', async () => {
    let percent = 100
    const reporting = (readPercent: () => number): Script => (req, res) => {
      const workPercent = readPercent()
      setTimeout(() => { res.writeHead(200, { seal: 's', try: String(req.headers['try']), load: `1,0,8,${workPercent}` }).end('ok') }, 80 * workPercent / 100)
    }
    await withGateway([reporting(() => percent), reporting(() => 100)], async gateway => {
      const upstreamOf = async (): Promise<string | undefined> => {
        expect(statusOf(await gateway.sendRequest('/safe/x'))).toEqual(200)
        return gateway.arrivals.at(-1)?.upstream
      }
      const sendUntil = async (upstream: string): Promise<void> => {
        for (let left = 60; await upstreamOf() !== upstream; left--) expect(left).toBeGreaterThan(0)
      }
      for (let at = 0; at < 24; at++) await upstreamOf()
      percent = 400
      await sendUntil('u0')
      for (let at = 0; at < 3; at++) expect(await upstreamOf()).toEqual('u1')
      await pause(700)
      await sendUntil('u0')
    })
  })

  it('serves a response whose load is malformed or 16 KB long', async () => {
    const forging = (load: string): Script => (req, res) => { res.writeHead(200, { seal: 's', try: String(req.headers['try']), load }).end('ok') }
    for (const load of ['1', '9'.repeat(16 * 1024)]) {
      await withGateway([forging(load)], async gateway => { expect(await gateway.sendRequest('/safe/x')).toMatchRegex(/^HTTP\/1.1 200[^]*ok$/) })
    }
  })

  it('retries a request at another upstream when the first did not run it', async () => {
    await withGateway([reject, respond], async gateway => {
      for (let at = 0; at < 3; at++) expect(statusOf(await gateway.sendRequest('/once/x'))).toEqual(200)
    })
  })

  it('sends requests elsewhere when no client can be made for the address of an upstream', async () => {
    for (const address of ['127.0.0.1:70000', '127.0.0.999:80', 'no address']) {
      let unreachable = 0
      for (const id of ['u0', 'u1']) {
        await withGateway([respond, respond], async gateway => {
          gateway.setAddress(id, address)
          for (let at = 0; at < 4; at++) expect(statusOf(await gateway.sendRequest(at % 2 === 0 ? '/once/x' : '/safe/x'))).toEqual(200)
          unreachable += (await gateway.readMetric('fuchsiaworks_attempts_total'))['service="plain",outcome="unreachable"'] ?? 0
        })
      }
      expect(unreachable).toBeGreaterThan(0)
    }
  })

  it('goes on when the request of a silent upstream is sent again, in a timer, to an address for which no client can be made', async () => {
    await withGateway([() => {}, respond], async gateway => {
      gateway.setAddress('u1', '127.0.0.1:70000')
      await Promise.all(Array.from({ length: 6 }, async () => await gateway.sendRequest('/safe/x')))
      const attempts = await gateway.readMetric('fuchsiaworks_attempts_total')
      expect(['silent', 'unreachable'].filter(outcome => (attempts[`service="plain",outcome="${outcome}"`] ?? 0) === 0)).toEqual([])
      expect(statusOf(await gateway.checkReadiness())).toEqual(200)
    })
  })

  it('does not avoid an upstream because of a request that cannot be sent to any', async () => {
    await withGateway([respond, respond], async gateway => {
      for (let at = 0; at < 4; at++) {
        expect(await gateway.sendRequest('/safe/x', 'Expect: 100-continue\r\n')).toMatchRegex(/HTTP\/1.1 503/)
        expect(statusOf(await gateway.sendRequest('/safe/x'))).toEqual(200)
      }
    })
  })

  it('rejects a request that cannot be sent on, without sending it, and sends one on whole whose target has characters that no URL has', async () => {
    await withGateway([respond], async gateway => {
      const headers = 'Try: t1\r\nConnection: close\r\n\r\n'
      expect(statusOf(await gateway.sendRaw(`GET /safe/a\tb HTTP/1.1\r\nHost: a.example\r\n${headers}`, 2500))).toEqual(400)
      expect(statusOf(await gateway.sendRaw(`GET /safe/x HTTP/1.1\r\nHost: a.example\r\nHost: a.example\r\n${headers}`, 2500))).toEqual(400)
      expect(gateway.arrivals.length).toEqual(0)
      const target = '/safe/%7f"{}|\\^'
      expect(statusOf(await gateway.sendRaw(requestOf(target), 2500))).toEqual(200)
      expect(gateway.arrivals.map(({ req }) => req.url)).toEqual([target])
    })
  })

  // Versions of the parser differ: some take these bytes, others refuse them.
  for (const [name, target] of [['a byte above 127', '/safe/%7f\xe9'], ['a character in UTF-8', '/safe/\xc3\xa9']] as const) {
    it(`sends a target with ${name} on whole if the parser takes it, and otherwise rejects it without sending it`, async () => {
      const isTaken = await parserTakes(requestOf(target))
      await withGateway([respond], async gateway => {
        const status = statusOf(await gateway.sendRaw(requestOf(target), 2500))
        expect([status, gateway.arrivals.map(({ req }) => req.url)]).toEqual(isTaken ? [200, [target]] : [400, []])
      })
    })
  }

  it('avoids an upstream no longer than any gateway does when a peer asks for more', async () => {
    const [port = 0] = await findPorts(1)
    const gateway = await startWithSettings({ peers: { host: '127.0.0.1', port } }, respond)
    const peer = new WebSocket(`ws://127.0.0.1:${port}/`)
    await new Promise(resolve => { peer.on('open', resolve) })
    peer.send(new Packr({ useRecords: false }).pack([4, 'p1', '127.0.0.1:1', 'east', false, false, [], [], [['u0', 1e300]], [], [], []]))
    await pause(50)
    expect(statusOf(await gateway.sendRequest('/safe/x'))).toEqual(503)
    await pause(UNREACHABLE_AVOID_MS)
    expect(statusOf(await gateway.sendRequest('/safe/x'))).toEqual(200)
    peer.terminate()
    await gateway.close()
  })

  it('rejects a request at its port for peers whose target is no URL, and goes on', async () => {
    const [port = 0] = await findPorts(1)
    const gateway = await startWithSettings({ peers: { host: '127.0.0.1', port } }, respond)
    for (const target of ['//', 'http://[', '/%']) {
      const status = await new Promise(resolve => { get({ host: '127.0.0.1', port, path: target }, res => { resolve(res.resume().statusCode) }).on('error', resolve) })
      expect(status).toEqual(target === '/%' ? 426 : 400)
    }
    expect(statusOf(await gateway.checkReadiness())).toEqual(200)
    await gateway.close()
  })

  it('reuses a connection after a declined request', async () => {
    await withGateway([reject], async gateway => {
      for (const attempt of ['t1', 't2']) {
        await gateway.sendRaw(`POST /once/x HTTP/1.1\r\nHost: a.example\r\nTry: ${attempt}\r\nConnection: close\r\n\r\n`)
        await pause(200)
      }
      expect(gateway.arrivals.length).toEqual(2)
      expect(gateway.arrivals[0]?.req.socket === gateway.arrivals[1]?.req.socket).toEqual(true)
    })
  })

  it('closes a connection on which a declined response does not end', async () => {
    let isClosed = false
    const endless: Script = (req, res) => {
      req.socket.on('close', () => { isClosed = true })
      res.writeHead(503, { 'not-run': '1', try: String(req.headers['try']) }).write('and')
    }
    await withGateway([endless], async gateway => {
      expect(statusOf(await gateway.sendRequest('/once/x'))).toEqual(503)
      await pause(500)
      expect(isClosed).toEqual(true)
    })
  })

  it('responds with 503 and a retry delay when no upstream ran the request', async () => {
    await withGateway([reject], async gateway => {
      const received = await gateway.sendRequest('/once/x')
      expect(statusOf(received)).toEqual(503)
      expect(received).toMatchRegex(/retry-after: /)
    })
  })

  it('never resends a request that may run at most once, and responds with 502 as it may have run', async () => {
    await withGateway([reset, reset], async gateway => {
      expect(statusOf(await gateway.sendRequest('/once/x'))).toEqual(502)
      expect(gateway.arrivals.length).toEqual(1)
    })
  })

  it('forwards an upstream\'s error when the request may run at most once, and tries another upstream otherwise', async () => {
    await withGateway([failWith500, failWith500], async gateway => {
      expect(await gateway.sendRequest('/once/x')).toMatchRegex(/^HTTP\/1.1 500[^]*seal: s[^]*broken$/)
      expect(gateway.arrivals.length).toEqual(1)
      expect(statusOf(await gateway.sendRequest('/safe/x'))).toEqual(500)
      expect(gateway.arrivals.length).toEqual(3)
    })
  })

  it('forwards an upstream\'s error when there is no other upstream to try', async () => {
    await withGateway([failWith500], async gateway => {
      expect(await gateway.sendRequest('/safe/x')).toMatchRegex(/^HTTP\/1.1 500[^]*seal: s[^]*broken$/)
      expect(gateway.arrivals.length).toEqual(1)
    })
  })

  it('sends no request whose time is over when its body has been read, and says that it has not run', async () => {
    await withGateway([respond], async gateway => {
      await gateway.sendRequest('/once/x')
      const socket = connect(gateway.callersPort, '127.0.0.1')
      let received = ''
      socket.on('data', chunk => { received += chunk.toString() })
      socket.write('POST /once/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\nDeadline: 100\r\nContent-Length: 5\r\n\r\nhe')
      await pause(150)
      socket.write('llo')
      await pause(100)
      socket.destroy()
      expect([statusOf(received), gateway.arrivals.length]).toEqual([503, 1])
      expect(received).not.toMatchRegex(/retry-after/)
    })
  })

  it('closes connections after their responses once idle ones hold half of its file descriptors', async () => {
    const gateway = await startWithSettings({ maxDescriptors: 8 }, respond)
    const keepOpen = async (): Promise<string> => await gateway.sendRaw('POST /safe/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\n\r\n', 400)
    try {
      const responses = await Promise.all(Array.from({ length: 3 }, keepOpen))
      for (const response of responses) expect(response).toMatchRegex(/connection: keep-alive/i)
      const more = await Promise.all(Array.from({ length: 8 }, keepOpen))
      expect(more.filter(response => /connection: close/i.test(response)).length).toBeGreaterThanOrEqual(4)
      expect(more.every(response => statusOf(response) === 200)).toEqual(true)
    } finally {
      await gateway.close()
    }
  })

  it('never forwards a response with another attempt id, a success without a seal or an encoded body', async () => {
    const invalidResponses: Script[] = [
      (_req, res) => { res.writeHead(200, { seal: 's', try: 'other' }).end('other') },
      (_req, res) => { res.writeHead(200, { try: 't1' }).end('unsealed') },
      (_req, res) => { res.writeHead(200, { seal: 's', try: 't1', 'content-encoding': 'gzip' }).end('encoded') }
    ]
    for (const script of invalidResponses) {
      await withGateway([script], async gateway => {
        expect(await gateway.sendRequest('/once/x')).toMatchRegex(/^HTTP\/1.1 502/)
      })
    }
  })
})

describe('a stream', () => {
  it('resumes at another upstream after its last complete event, within one response', async () => {
    let isFirst = true
    const script: Script = (req, res) => {
      const from = Number(req.headers['last-event-id'] ?? 0) + 1
      res.writeHead(200, { seal: `s${from}`, try: 't1', 'content-type': 'text/event-stream' })
      if (!isFirst) return res.end(events(from, 6))
      isFirst = false
      res.write(`${events(1, 3)}id: 4\nda`)
      setTimeout(() => { req.socket.resetAndDestroy() }, 30)
    }
    await withGateway([script, script], async gateway => {
      const received = await gateway.sendRequest('/stream/x')
      expect([...received.matchAll(/id: (\d)/g)].map(match => match[1])).toEqual(['1', '2', '3', '4', '5', '6'])
      expect(received).toMatchRegex(/seal: s1\r\n/)
      expect(received).toMatchRegex(/0\r\n\r\n$/)
      expect(gateway.arrivals.map(({ req }) => req.headers['last-event-id'])).toEqual([undefined, '3'])
    })
  })

  it('goes on only at the software version that began it', async () => {
    await withGateway([breakOnce, breakOnce, breakOnce, breakOnce], async gateway => {
      ;['v1', 'v2', 'v1', 'v2'].forEach((version, nth) => { gateway.setVersion(`u${nth}`, version) })
      const received = await gateway.sendRequest('/stream/x')
      expect([...received.matchAll(/id: (\d)/g)].map(match => match[1])).toEqual(['1', '2', '3', '4', '5', '6'])
      const [first, second] = gateway.arrivals.map(({ upstream }) => upstream)
      expect(second).toEqual({ u0: 'u2', u1: 'u3', u2: 'u0', u3: 'u1' }[first ?? ''])
    })
  })

  it('is broken off when no upstream of its software version is left', async () => {
    const script: Script = (req, res) => {
      res.writeHead(200, { seal: 's', try: 't1', 'content-type': 'text/event-stream' })
      res.write(events(1, 3))
      setTimeout(() => { req.socket.resetAndDestroy() }, 30)
    }
    await withGateway([script, script], async gateway => {
      gateway.setVersion('u0', 'v1')
      gateway.setVersion('u1', 'v2')
      expect(await gateway.sendRequest('/stream/x')).not.toMatchRegex(/0\r\n\r\n$/)
      expect(gateway.arrivals.length).toEqual(1)
    })
  })

  it('goes on anywhere when no upstream declares a version', async () => {
    await withGateway([breakOnce, breakOnce], async gateway => {
      expect(await gateway.sendRequest('/stream/x')).toMatchRegex(/id: 6\n[^]*0\r\n\r\n$/)
    })
  })

  it('that a caller takes up goes on at the software version that began it, or is refused at once when that has left', async () => {
    await withGateway([breakOnce, breakOnce, breakOnce, breakOnce], async gateway => {
      ;['v1', 'v2', 'v2', 'v2'].forEach((version, nth) => { gateway.setVersion(`u${nth}`, version) })
      // The stream begins at u0, the only upstream of its version, so that the gateway cannot resume it by itself.
      expect(await gateway.sendRequest('/stream/x')).not.toMatchRegex(/0\r\n\r\n$/)
      await pause(400)
      const resumed = 'Resumes: t1\r\nLast-Event-Id: 3\r\n'
      expect(await gateway.sendRequest('/stream/x', resumed)).toMatchRegex(/id: 6\n[^]*0\r\n\r\n$/)
      expect(gateway.arrivals.map(({ upstream }) => upstream)).toEqual(['u0', 'u0'])
      gateway.setVersion('u0', 'v2')
      const sentAt = Date.now()
      const refused = await gateway.sendRequest('/stream/x', resumed)
      expect(statusOf(refused)).toEqual(503)
      expect(refused).toMatchRegex(/retry-after: [^]*version-gone/)
      expect(Date.now() - sentAt).toBeLessThan(200)
      expect(gateway.arrivals.length).toEqual(2)
    })
  })

  it('does not go on at an upstream that was unreachable, which may have started again with another version, until the list is confirmed', async () => {
    await withGateway([breakOnce, breakOnce], async gateway => {
      ;['v1', 'v2'].forEach((version, nth) => { gateway.setVersion(`u${nth}`, version) })
      gateway.viewAgeMs = 60_000
      expect(await gateway.sendRequest('/stream/x')).not.toMatchRegex(/0\r\n\r\n$/)
      gateway.crashUpstream('u0')
      const resumed = 'Resumes: t1\r\nLast-Event-Id: 3\r\n'
      await pause(400)
      expect(statusOf(await gateway.sendRequest('/stream/x', resumed))).toEqual(503)
      await gateway.reviveUpstream('u0')
      await pause(1600)
      expect(statusOf(await gateway.sendRequest('/stream/x', resumed))).toEqual(503)
      expect(gateway.arrivals.length).toEqual(1)
      gateway.viewAgeMs = 0
      expect(statusOf(await gateway.sendRequest('/stream/x', resumed))).toEqual(200)
    })
  })

  it('that nobody knows is refused while there are several software versions, and goes on at the only one otherwise', async () => {
    const script: Script = (req, res) => { res.writeHead(200, { seal: 's', try: String(req.headers['try']), 'content-type': 'text/event-stream' }).end(events(4, 6)) }
    await withGateway([script, script], async gateway => {
      for (const id of ['u0', 'u1']) gateway.setVersion(id, 'v1')
      expect(statusOf(await gateway.sendRequest('/stream/x', 'Resumes: lost\r\nLast-Event-Id: 3\r\n'))).toEqual(200)
      gateway.setVersion('u1', 'v2')
      for (const headers of ['Resumes: other\r\nLast-Event-Id: 3\r\n', 'Last-Event-Id: 3\r\n']) {
        const refused = await gateway.sendRequest('/stream/x', headers)
        expect(statusOf(refused)).toEqual(503)
        expect(refused).toMatchRegex(/version-unknown/)
      }
      expect(gateway.arrivals.length).toEqual(1)
    })
  })

  it('that nobody knows is refused by a gateway that has not known the list for as long as streams last, or cannot confirm it', async () => {
    const script: Script = (req, res) => { res.writeHead(200, { seal: 's', try: String(req.headers['try']), 'content-type': 'text/event-stream' }).end(events(4, 6)) }
    await withGateway([script], async gateway => {
      gateway.setVersion('u0', 'v1')
      const takeUp = async (): Promise<string> => await gateway.sendRequest('/stream/x', 'Resumes: lost\r\nLast-Event-Id: 3\r\n')
      for (const [completeForMs, viewAgeMs] of [[0, 0], [6000, 0], [60_000, 100], [60_000, 5000]] as const) {
        Object.assign(gateway, { completeForMs, viewAgeMs })
        const sentAt = Date.now()
        const refused = await takeUp()
        expect(statusOf(refused)).toEqual(503)
        expect(refused).toMatchRegex(/retry-after: [^]*version-unknown/)
        expect(Date.now() - sentAt).toBeLessThan(200)
      }
      expect(gateway.arrivals.length).toEqual(0)
      Object.assign(gateway, { completeForMs: 7000, viewAgeMs: 0 })
      expect(statusOf(await takeUp())).toEqual(200)
    })
  })

  it('that cannot be resumed is not ended as if it were complete', async () => {
    const script: Script = (req, res) => {
      res.writeHead(200, { seal: 's', try: 't1', 'content-type': 'text/event-stream' })
      res.write(events(1, 2))
      setTimeout(() => { req.socket.resetAndDestroy() }, 30)
    }
    await withGateway([script], async gateway => {
      expect(await gateway.sendRequest('/stream/x')).not.toMatchRegex(/0\r\n\r\n$/)
    })
  })

  it('continues to its end when its upstream is removed from the list meanwhile', async () => {
    const script: Script = (_req, res) => {
      res.writeHead(200, { seal: 's', try: 't1', 'content-type': 'text/event-stream' })
      res.write(events(1, 1))
      setTimeout(() => { res.end(events(2, 2)) }, 200)
    }
    await withGateway([script], async gateway => {
      const response = gateway.sendRequest('/stream/x')
      await pause(80)
      gateway.removeUpstreams()
      expect(await response).toMatchRegex(/id: 2\n[^]*0\r\n\r\n$/)
      expect(statusOf(await gateway.sendRequest('/stream/x'))).toEqual(503)
    })
  })

  it('is cancelled at its upstream when its caller disconnects', async () => {
    let closedAt = 0
    const script: Script = (req, res) => {
      res.writeHead(200, { seal: 's', try: 't1', 'content-type': 'text/event-stream' })
      res.write(events(1, 1))
      req.socket.on('close', () => { closedAt = Date.now() })
    }
    await withGateway([script], async gateway => {
      await gateway.sendRaw('POST /stream/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\n\r\n', 60)
      const disconnectedAt = Date.now()
      await pause(150)
      expect(closedAt - disconnectedAt).toBeLessThan(150)
      expect(closedAt).toBeGreaterThan(0)
    })
  })
})

describe('a request that crashes each upstream that runs it', () => {
  it('is refused after three crashes, while other requests are served', async () => {
    const crashed = new Set<string>()
    let crashUpstream = (_upstream: string): void => {}
    const crash: Script = (req, res, body) => {
      if (body !== 'poison') return respond(req, res, body)
      const upstream = String(req.headers['upstream'])
      crashed.add(upstream)
      crashUpstream(upstream)
    }
    await withGateway([crash, crash, crash, crash, crash], async gateway => {
      crashUpstream = gateway.crashUpstream
      for (let tries = 0; tries < 8; tries++) {
        await gateway.sendRequest('/once/x', '', 'poison')
        // Once the upstream is no longer avoided, the next attempt finds that it accepts no connection.
        await pause(350)
        for (let others = 0; others < 8; others++) await gateway.sendRequest('/once/x', '', `good ${tries} ${others}`)
      }
      expect(crashed.size).toEqual(3)
      expect(statusOf(await gateway.sendRequest('/once/x', '', 'poison'))).toEqual(503)
      expect(statusOf(await gateway.sendRequest('/once/x', '', 'other'))).toEqual(200)
    })
  })
})

describe('an upstream that crashed behind a relay', () => {
  it('gets no requests when its connections have broken, though the relay accepts them', async () => {
    let crashUpstream = (_upstream: string): void => {}
    const crash: Script = (req, res, body) => {
      if (body !== 'poison') return respond(req, res, body)
      crashUpstream(String(req.headers['upstream']))
    }
    await withGateway([crash, crash], async gateway => {
      crashUpstream = gateway.crashBehindRelay
      await gateway.sendRequest('/once/x', '', 'poison')
      await pause(350)
      const statuses: number[] = []
      for (let nth = 0; nth < 8; nth++) statuses.push(statusOf(await gateway.sendRequest('/once/x', '', `good ${nth}`)))
      expect(statuses).toEqual(Array.from({ length: 8 }, () => 200))
    })
  })
})

describe('a request whose caller disconnected before it was read', () => {
  it('is not sent to an upstream', async () => {
    await withGateway([respond], async gateway => {
      await gateway.sendAndDisconnect('POST /safe/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\nContent-Length: 2\r\n\r\nhi')
      await pause(100)
      expect(gateway.arrivals.length).toEqual(0)
    })
  })
})

describe('malformed input', () => {
  const head = 'POST /safe/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\n'
  const cases: Record<string, string> = {
    'two lengths': `${head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`,
    'a length beside chunks': `${head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /once/y HTTP/1.1\r\nHost: a.example\r\nTry: t2\r\n\r\n`,
    'an unknown transfer encoding': `${head}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
    'a bare line feed in a header': 'POST /safe/x HTTP/1.1\nHost: a.example\nTry: t1\nX: a\n b\n\n',
    'a space before a colon': `${head}Content-Length : 4\r\n\r\nabcd`,
    'no attempt id': 'POST /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n',
    'a header line that is too long': `${head}X-Long: ${'a'.repeat(70_000)}\r\n\r\n`,
    'headers above the configured limit': `${head}X-Long: ${'a'.repeat(3000)}\r\n\r\n`,
    'a body above the configured limit': `${head}Content-Length: 2000\r\n\r\n${'a'.repeat(2000)}`,
    'a chunked body above the limit': `${head}Transfer-Encoding: chunked\r\n\r\n5dc\r\n${'a'.repeat(1500)}\r\n0\r\n\r\n`,
    garbage: '\u0000\u0001\u0002 nothing\r\n\r\n'
  }
  for (const [name, bytes] of Object.entries(cases)) {
    it(`with ${name} is not sent to an upstream and gets an error response or a closed connection`, async () => {
      await withGateway([respond], async gateway => {
        const received = await gateway.sendRaw(bytes)
        if (received !== '') expect([400, 413, 431].includes(statusOf(received))).toEqual(true)
        await pause(30)
        expect(gateway.arrivals.length).toEqual(0)
      })
    })
  }
})

describe('an upstream response that is followed by extra bytes', () => {
  it('does not affect the next response', async () => {
    const extra: Script = (req, res) => {
      res.writeHead(200, { seal: 's', try: String(req.headers['try']), 'content-length': '3' })
      res.end('one')
      req.socket.write('HTTP/1.1 200 OK\r\nseal: s\r\ntry: t1\r\ncontent-length: 5\r\n\r\nextra')
    }
    await withGateway([extra], async gateway => {
      for (let at = 0; at < 3; at++) {
        expect(await gateway.sendRequest('/safe/x')).toMatchRegex(/one$/)
        await pause(20)
      }
    })
  })
})

describe('a late copy of a response', () => {
  it('is not taken for the response to the next request on its connection', async () => {
    const sockets = new Map<unknown, string>()
    const copyBefore: Script = ({ socket, headers }, _res, body) => {
      const copy = sockets.get(socket) ?? ''
      const answer = `HTTP/1.1 200 OK\r\nseal: s\r\ntry: ${String(headers['try'])}\r\ncontent-length: ${body.length + 4}\r\n\r\ngot ${body}`
      sockets.set(socket, answer)
      socket.write(copy + answer)
    }
    await withGateway([copyBefore], async gateway => {
      const request = (attempt: string): string => `POST /once/x HTTP/1.1\r\nHost: a.example\r\nTry: ${attempt}\r\nContent-Length: 2\r\n\r\n${attempt}`
      expect(await gateway.sendRaw(request('t1'))).toMatchRegex(/got t1$/)
      const second = await gateway.sendRaw(request('t2'))
      expect(gateway.arrivals.length).toEqual(2)
      expect(gateway.arrivals[0]?.req.socket === gateway.arrivals[1]?.req.socket).toEqual(true)
      expect(statusOf(second)).toEqual(502)
      expect(second).not.toMatchRegex(/got t1/)
    })
  })
})

describe('a stream that stalls while bytes of an event arrive now and then', () => {
  it('is resumed at another upstream, and one that is only slow is not', async () => {
    let requests = 0
    const head = { seal: 's', try: 't1', 'content-type': 'text/event-stream' }
    const dribble: Script = (req, res) => {
      requests += 1
      res.writeHead(200, head)
      if (requests > 1) return res.end(events(Number(req.headers['last-event-id']) + 1, 4))
      res.write(`${events(1, 2)}id: 3\ndata: `)
      const timer = setInterval(() => { res.write('d') }, 150)
      req.socket.on('close', () => { clearInterval(timer) })
    }
    await withGateway([dribble, dribble], async gateway => {
      const received = await gateway.sendRequest('/stream/x')
      expect([...received.matchAll(/id: (\d)/g)].map(match => match[1])).toEqual(['1', '2', '3', '4'])
      expect(received).toMatchRegex(/0\r\n\r\n$/)
    })
    const slow: Script = (_req, res) => {
      res.writeHead(200, head)
      res.write(events(1, 1))
      for (let id = 2; id <= 4; id++) setTimeout(() => { id < 4 ? res.write(events(id, id)) : res.end(events(id, id)) }, (id - 1) * 600)
    }
    await withGateway([slow, slow], async gateway => {
      expect(await gateway.sendRequest('/stream/x')).toMatchRegex(/id: 4\n[^]*0\r\n\r\n$/)
      expect(gateway.arrivals.length).toEqual(1)
    })
  })
})

describe('an upstream that announces its shutdown in a response', () => {
  it('gets no further request until a new process starts under its id', async () => {
    const leave: Script = (req, res) => { res.writeHead(200, { seal: 's', try: String(req.headers['try']), leaving: '1' }).end('last') }
    await withGateway([leave], async gateway => {
      expect(await gateway.sendRequest('/safe/x')).toMatchRegex(/^HTTP\/1.1 200[^]*leaving: 1\r\n[^]*last$/)
      for (let at = 0; at < 3; at++) expect(statusOf(await gateway.sendRequest('/safe/x'))).toEqual(503)
      expect(gateway.arrivals.length).toEqual(1)
      gateway.restartUpstream('u0')
      expect(statusOf(await gateway.sendRequest('/safe/x'))).toEqual(200)
    })
  })
})

describe('an upstream that turns requests away for some time', () => {
  const turnAway: Script = (req, res) => { res.writeHead(503, { 'not-run': '1', try: String(req.headers['try']), 'wait-ms': '1500' }).end() }

  it('gets no request in that time, and callers are refused at once with the time that is left', async () => {
    await withGateway([turnAway], async gateway => {
      await gateway.sendRequest('/safe/x')
      const sentAt = Date.now()
      const received = await gateway.sendRequest('/safe/x')
      expect(statusOf(received)).toEqual(503)
      expect(Number(/retry-after: ([\d.]+)/.exec(received)?.[1])).toBeGreaterThan(1.2)
      expect(Date.now() - sentAt).toBeLessThan(60)
      await pause(500)
      for (let at = 0; at < 5; at++) await gateway.sendRequest('/safe/x')
      expect(gateway.arrivals.length).toEqual(1)
      await pause(1100)
      await gateway.sendRequest('/safe/x')
      expect(gateway.arrivals.length).toEqual(2)
    })
  })

  it('leaves its requests to the others', async () => {
    await withGateway([turnAway, respond], async gateway => {
      for (let at = 0; at < 12; at++) expect(statusOf(await gateway.sendRequest('/once/x'))).toEqual(200)
      expect(gateway.arrivals.filter(({ upstream }) => upstream === 'u0').length).toBeLessThanOrEqual(1)
    })
  })
})

describe('a gateway that drains', () => {
  it('reports not ready, still serves new requests for a while, and lets open requests end', async () => {
    const slow: Script = (req, res, body) => { setTimeout(() => { respond(req, res, body) }, 600) }
    await withGateway([slow], async gateway => {
      expect(statusOf(await gateway.checkReadiness())).toEqual(200)
      const open = gateway.sendRequest('/safe/x', '', 'first')
      const drained = gateway.running.drain()
      expect(statusOf(await gateway.checkReadiness())).toEqual(503)
      expect(await open).toMatchRegex(/got first$/)
      expect(await gateway.sendRequest('/safe/x', '', 'second')).toMatchRegex(/connection: close[^]*got second$/i)
      await drained
    })
  })
})

describe('a connection of a peer gateway that shuts down', () => {
  it('takes no request after the peer has stopped, and the open one ends whole', async () => {
    const [port = 0] = await findPorts(1)
    const slow: Script = (req, res) => {
      res.writeHead(200, { seal: 's', try: String(req.headers['try']), 'content-type': 'text/event-stream' }).write(events(1, 1))
      setTimeout(() => { res.end(events(2, 2)) }, 200)
    }
    const gateway = await startWithSettings({ peers: { host: '127.0.0.1', port } }, slow)
    const link = new WebSocket(`ws://127.0.0.1:${port}${OFFLOAD_PATH}`)
    let received = ''
    link.on('message', (message: Buffer) => {
      for (const frame of decodeOffloadFrames(message)) if (frame.kind === 'data') received += frame.bytes.toString()
    })
    const sendRequest = (attempt: string): void => {
      link.send(encodeOffloadFrames([{ kind: 'data', connection: 1, bytes: Buffer.from(`POST /stream/x HTTP/1.1\r\nHost: a.example\r\nTry: ${attempt}\r\n\r\n`), unreadMs: 0 }]))
    }
    try {
      await new Promise(resolve => { link.on('open', resolve) })
      link.send(encodeOffloadFrames([{ kind: 'open', connection: 1 }]))
      sendRequest('t1')
      await pause(100)
      link.send(encodeOffloadFrames([{ kind: 'keep-alive', isAllowed: false }, { kind: 'close-idle' }]))
      sendRequest('t2')
      await pause(300)
      expect(received).toMatchRegex(/^HTTP\/1.1 200[^]*id: 2\n[^]*HTTP\/1.1 503[^]*"ending"/)
      expect(gateway.arrivals.length).toEqual(1)
    } finally {
      link.terminate()
      await gateway.close()
    }
  })
})

describe('a request that has waited at the gateway that accepted its connection', () => {
  /** Sends a request that its caller waits 2 s for; `leftMs` is the time limit that the upstream gets, -1 when it gets no request. */
  const sendWaited = async (unreadMs: number): Promise<{ leftMs: number, received: string }> => {
    const [port = 0] = await findPorts(1)
    const gateway = await startWithSettings({ peers: { host: '127.0.0.1', port } }, respond)
    const link = new WebSocket(`ws://127.0.0.1:${port}${OFFLOAD_PATH}`)
    let received = ''
    link.on('message', (message: Buffer) => {
      for (const frame of decodeOffloadFrames(message)) if (frame.kind === 'data') received += frame.bytes.toString()
    })
    try {
      await new Promise(resolve => { link.on('open', resolve) })
      const bytes = Buffer.from('POST /safe/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\nDeadline: 2000\r\n\r\n')
      link.send(encodeOffloadFrames([{ kind: 'open', connection: 1 }, { kind: 'data', connection: 1, bytes, unreadMs }]))
      await pause(200)
      return { leftMs: Number(gateway.arrivals[0]?.req.headers['deadline'] ?? -1), received }
    } finally {
      link.terminate()
      await gateway.close()
    }
  }

  it('is sent with the time that its caller still waits', async () => {
    const { leftMs } = await sendWaited(1200)
    expect(leftMs).toBeLessThanOrEqual(800)
    expect(leftMs).toBeGreaterThan(600)
  })

  it('is refused as not run when no time is left', async () => {
    const { leftMs, received } = await sendWaited(2000)
    expect(leftMs).toEqual(-1)
    expect(received).toMatchRegex(/^HTTP\/1.1 503[^]*"too-late"/)
  })
})

describe('a gateway whose address is in use', () => {
  const listen = async (port: number): Promise<Server> => await new Promise((resolve, reject) => {
    const server = createServer().once('error', reject).listen(port, '127.0.0.1', () => { resolve(server) })
  })

  it('fails to start and closes the servers that it has opened', async () => {
    const [callers = 0, taken = 0] = await findPorts(2)
    const holder = await listen(taken)
    const localAddress = (port: number) => ({ host: '127.0.0.1', port })
    await expect(startWithSettings({ callers: localAddress(callers), ready: localAddress(taken) }, respond)).toBeRejectedWith(/EADDRINUSE/)
    const again = await listen(callers)
    again.close()
    holder.close()
  })
})
