import { describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { type GatewayUnderTest, type Script, startUnderTest } from './gatewayFixtures.js'

setLogLevel('error')

const answer: Script = (req, res, body) => { res.writeHead(200, { seal: 's', try: String(req.headers['try']) }).end(`got ${body}`) }
const shed: Script = (_req, res) => { res.writeHead(503, { 'not-run': '1' }).end() }
const fail: Script = (_req, res) => { res.writeHead(500, { seal: 's' }).end('broken') }
const reset: Script = req => { req.socket.resetAndDestroy() }
const events = (from: number, to: number): string => Array.from({ length: to - from + 1 }, (_, at) => `id: ${from + at}\ndata: d${from + at}\n\n`).join('')

const within = async (scripts: Script[], act: (gateway: GatewayUnderTest) => Promise<void>): Promise<void> => {
  const gateway = await startUnderTest(...scripts)
  try {
    await act(gateway)
  } finally {
    await gateway.close()
  }
}

const statusOf = (answer: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1])
const pause = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

describe('a gateway', () => {
  it('passes request and answer on whole, without what belongs to one connection', async () => {
    await within([answer], async gateway => {
      const got = await gateway.ask('/safe/x?q=1', 'X-Own: a\r\nWorkspace: forged\r\nKeep-Alive: timeout=5\r\n', 'hello')
      expect(statusOf(got)).toEqual(200)
      expect(got).toMatchRegex(/seal: s\r\n[^]*got hello$/)
      const [arrival] = gateway.arrivals
      expect([arrival?.req.url, arrival?.req.method, arrival?.body, arrival?.req.headers['x-own']]).toEqual(['/safe/x?q=1', 'POST', 'hello', 'a'])
      expect([arrival?.req.headers['workspace'], arrival?.req.headers['keep-alive']]).toEqual([undefined, undefined])
    })
  })

  it('names the workspace of a key and passes no key on', async () => {
    await within([answer], async gateway => {
      expect(statusOf(await gateway.ask('/keyed/x', 'Key: k1\r\n'))).toEqual(200)
      expect([gateway.arrivals[0]?.req.headers['workspace'], gateway.arrivals[0]?.req.headers['key']]).toEqual(['w1', undefined])
      expect(statusOf(await gateway.ask('/keyed/x', 'Key: other\r\n'))).toEqual(401)
      expect(statusOf(await gateway.ask('/keyed/x'))).toEqual(401)
      expect(statusOf(await gateway.ask('/none/x'))).toEqual(404)
      expect(gateway.arrivals.length).toEqual(1)
    })
  })

  it('refuses what needs a key when its configuration has grown old, and serves the rest', async () => {
    await within([answer], async gateway => {
      gateway.age = 4800
      const got = await gateway.ask('/keyed/x', 'Key: k1\r\n')
      expect(statusOf(got)).toEqual(503)
      expect(got).toMatchRegex(/retry-after: /)
      expect(statusOf(await gateway.ask('/safe/x'))).toEqual(200)
    })
  })

  it('sends a request elsewhere that an upstream did not run', async () => {
    await within([shed, answer], async gateway => {
      for (let at = 0; at < 3; at++) expect(statusOf(await gateway.ask('/once/x'))).toEqual(200)
    })
  })

  it('keeps the connection on which an upstream has declined', async () => {
    await within([shed], async gateway => {
      await gateway.ask('/once/x')
      await pause(200)
      await gateway.ask('/once/x')
      expect(gateway.arrivals.length).toEqual(2)
      expect(gateway.arrivals[0]?.req.socket === gateway.arrivals[1]?.req.socket).toEqual(true)
    })
  })

  it('gives a connection up on which a declined answer does not end', async () => {
    let isClosed = false
    const endless: Script = (req, res) => {
      req.socket.on('close', () => { isClosed = true })
      res.writeHead(503, { 'not-run': '1' }).write('and')
    }
    await within([endless], async gateway => {
      expect(statusOf(await gateway.ask('/once/x'))).toEqual(503)
      await pause(500)
      expect(isClosed).toEqual(true)
    })
  })

  it('says that a request did not run when no upstream ran it', async () => {
    await within([shed], async gateway => {
      const got = await gateway.ask('/once/x')
      expect(statusOf(got)).toEqual(503)
      expect(got).toMatchRegex(/retry-after: /)
    })
  })

  it('never sends a request twice that may run once, and does not say that it has not run', async () => {
    await within([reset, reset], async gateway => {
      expect(statusOf(await gateway.ask('/once/x'))).toEqual(502)
      expect(gateway.arrivals.length).toEqual(1)
    })
  })

  it('passes an upstream\'s own error on when the request may run once, and tries another upstream otherwise', async () => {
    await within([fail, fail], async gateway => {
      expect(await gateway.ask('/once/x')).toMatchRegex(/^HTTP\/1.1 500[^]*seal: s[^]*broken$/)
      expect(gateway.arrivals.length).toEqual(1)
      expect(statusOf(await gateway.ask('/safe/x'))).toEqual(500)
      expect(gateway.arrivals.length).toEqual(3)
    })
  })

  it('passes an upstream\'s own error on when there is no other upstream to try', async () => {
    await within([fail], async gateway => {
      expect(await gateway.ask('/safe/x')).toMatchRegex(/^HTTP\/1.1 500[^]*seal: s[^]*broken$/)
      expect(gateway.arrivals.length).toEqual(1)
    })
  })

  it('never passes on an answer to another request, an unsealed success or an encoded body', async () => {
    const wrong: Script[] = [
      (_req, res) => { res.writeHead(200, { seal: 's', try: 'other' }).end('other') },
      (_req, res) => { res.writeHead(200, { try: 't1' }).end('unsealed') },
      (_req, res) => { res.writeHead(200, { seal: 's', try: 't1', 'content-encoding': 'gzip' }).end('encoded') }
    ]
    for (const script of wrong) {
      await within([script], async gateway => {
        expect(await gateway.ask('/once/x')).toMatchRegex(/^HTTP\/1.1 502/)
      })
    }
  })
})

describe('a stream', () => {
  it('goes on at another upstream after its last whole event, within one answer', async () => {
    let first = true
    const script: Script = (req, res) => {
      const from = Number(req.headers['last-event-id'] ?? 0) + 1
      res.writeHead(200, { seal: `s${from}`, try: 't1', 'content-type': 'text/event-stream' })
      if (!first) return res.end(events(from, 6))
      first = false
      res.write(`${events(1, 3)}id: 4\nda`)
      setTimeout(() => { req.socket.resetAndDestroy() }, 30)
    }
    await within([script, script], async gateway => {
      const got = await gateway.ask('/stream/x')
      expect([...got.matchAll(/id: (\d)/g)].map(match => match[1])).toEqual(['1', '2', '3', '4', '5', '6'])
      expect(got).toMatchRegex(/seal: s1\r\n/)
      expect(got).toMatchRegex(/0\r\n\r\n$/)
      expect(gateway.arrivals.map(({ req }) => req.headers['last-event-id'])).toEqual([undefined, '3'])
    })
  })

  it('that cannot go on is not ended as if it were whole', async () => {
    const script: Script = (req, res) => {
      res.writeHead(200, { seal: 's', try: 't1', 'content-type': 'text/event-stream' })
      res.write(events(1, 2))
      setTimeout(() => { req.socket.resetAndDestroy() }, 30)
    }
    await within([script], async gateway => {
      expect(await gateway.ask('/stream/x')).not.toMatchRegex(/0\r\n\r\n$/)
    })
  })

  it('runs to its end when its upstream is taken out of the list meanwhile', async () => {
    const script: Script = (_req, res) => {
      res.writeHead(200, { seal: 's', try: 't1', 'content-type': 'text/event-stream' })
      res.write(events(1, 1))
      setTimeout(() => { res.end(events(2, 2)) }, 200)
    }
    await within([script], async gateway => {
      const answered = gateway.ask('/stream/x')
      await pause(80)
      gateway.unlistUpstreams()
      expect(await answered).toMatchRegex(/id: 2\n[^]*0\r\n\r\n$/)
      expect(statusOf(await gateway.ask('/stream/x'))).toEqual(503)
    })
  })

  it('is cancelled at its upstream when its caller leaves', async () => {
    let closedAt = 0
    const script: Script = (req, res) => {
      res.writeHead(200, { seal: 's', try: 't1', 'content-type': 'text/event-stream' })
      res.write(events(1, 1))
      req.socket.on('close', () => { closedAt = Date.now() })
    }
    await within([script], async gateway => {
      await gateway.raw('POST /stream/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\n\r\n', 60)
      const leftAt = Date.now()
      await pause(150)
      expect(closedAt - leftAt).toBeLessThan(150)
      expect(closedAt).toBeGreaterThan(0)
    })
  })
})

describe('a request that ends each upstream that runs it', () => {
  it('is refused after three, while others are served', async () => {
    const ended = new Set<string>()
    let end = (_upstream: string): void => {}
    const crash: Script = (req, res, body) => {
      if (body !== 'poison') return answer(req, res, body)
      const upstream = String(req.headers['upstream'])
      ended.add(upstream)
      end(upstream)
    }
    await within([crash, crash, crash, crash, crash], async gateway => {
      end = gateway.endUpstream
      for (let tries = 0; tries < 8; tries++) {
        await gateway.ask('/once/x', '', 'poison')
        // The upstream is tried again, and found gone, once it is no longer avoided.
        await pause(350)
        for (let others = 0; others < 8; others++) await gateway.ask('/once/x', '', `good ${tries} ${others}`)
      }
      expect(ended.size).toEqual(3)
      expect(statusOf(await gateway.ask('/once/x', '', 'poison'))).toEqual(503)
      expect(statusOf(await gateway.ask('/once/x', '', 'other'))).toEqual(200)
    })
  })
})

describe('a request whose caller has left before it was read', () => {
  it('reaches no upstream', async () => {
    await within([answer], async gateway => {
      await gateway.sendAndLeave('POST /safe/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\nContent-Length: 2\r\n\r\nhi')
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
    'no name of the try': 'POST /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n',
    'a header line that is too long': `${head}X-Long: ${'a'.repeat(70_000)}\r\n\r\n`,
    'headers above the configured bound': `${head}X-Long: ${'a'.repeat(3000)}\r\n\r\n`,
    'a body above the configured bound': `${head}Content-Length: 2000\r\n\r\n${'a'.repeat(2000)}`,
    'a chunked body above the bound': `${head}Transfer-Encoding: chunked\r\n\r\n5dc\r\n${'a'.repeat(1500)}\r\n0\r\n\r\n`,
    garbage: '\u0000\u0001\u0002 nothing\r\n\r\n'
  }
  for (const [name, bytes] of Object.entries(cases)) {
    it(`with ${name} reaches no upstream and gets a clear error or a closed connection`, async () => {
      await within([answer], async gateway => {
        const got = await gateway.raw(bytes)
        if (got !== '') expect([400, 413, 431].includes(statusOf(got))).toEqual(true)
        await pause(30)
        expect(gateway.arrivals.length).toEqual(0)
      })
    })
  }
})

describe('an answer of an upstream that is followed by extra bytes', () => {
  it('does not spoil the next one', async () => {
    const extra: Script = (req, res) => {
      res.writeHead(200, { seal: 's', try: String(req.headers['try']), 'content-length': '3' })
      res.end('one')
      req.socket.write('HTTP/1.1 200 OK\r\nseal: s\r\ntry: t1\r\ncontent-length: 5\r\n\r\nextra')
    }
    await within([extra], async gateway => {
      for (let at = 0; at < 3; at++) {
        expect(await gateway.ask('/safe/x')).toMatchRegex(/one$/)
        await pause(20)
      }
    })
  })
})

describe('a gateway that is told to end', () => {
  it('says that it is not ready, serves what comes meanwhile, and lets open requests end', async () => {
    const slow: Script = (req, res, body) => { setTimeout(() => { answer(req, res, body) }, 600) }
    await within([slow], async gateway => {
      expect(statusOf(await gateway.ready())).toEqual(200)
      const open = gateway.ask('/safe/x', '', 'first')
      const drained = gateway.running.drain()
      expect(statusOf(await gateway.ready())).toEqual(503)
      expect(await open).toMatchRegex(/got first$/)
      expect(await gateway.ask('/safe/x', '', 'second')).toMatchRegex(/connection: close[^]*got second$/i)
      await drained
    })
  })
})
