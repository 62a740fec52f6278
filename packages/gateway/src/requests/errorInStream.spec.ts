import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { type GatewayUnderTest, type Script, startWithSettings } from '../process/gatewayFixtures.js'

setLogLevel('error')

const LAST_ID = 6

const WARM_UP = '/safe/warm-up'

/** Last event that the caller has when the stream is resumed. */
const RECEIVED_ID = 3

const events = (from: number, to: number, end = '\n'): string => Array.from({ length: to - from + 1 }, (_, at) => `id: ${from + at}${end}data: d${from + at}${end}${end}`).join('')
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
const head = (headers: string, status = '200 OK'): string => `HTTP/1.1 ${status}\r\nseal: s\r\ntry: t1\r\n${headers}\r\n`
const CHUNKED_STREAM = head('content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n')

/** A stream that is framed in chunks, one for each part. */
const stream = (...parts: string[]): string => `${CHUNKED_STREAM}${parts.map(chunk).join('')}0\r\n\r\n`
const sized = (type: string, body: string, status?: string): string => head(`content-type: ${type}\r\ncontent-length: ${body.length}\r\n`, status) + body

/** Stands for the id of a response whose first event is the fifth. */
const SKIPPED = 0

/** Responses of the upstream that is to go on after the third event, and the events that the caller may receive up to which id. */
const RESPONSES: ReadonlyArray<{ readonly name: string, readonly bytes: string, readonly until: number }> = [
  { name: 'the rest of the stream', bytes: stream(events(4, 6)), until: 6 },
  { name: 'the rest of the stream, one byte in each chunk', bytes: stream(...events(4, 6)), until: 6 },
  { name: 'the rest of the stream, with a trailer', bytes: `${CHUNKED_STREAM}${chunk(events(4, 6))}0\r\nerror: lost\r\n\r\n`, until: 6 },
  { name: 'the rest of the stream, with the line of a new version', bytes: stream(`versions: 2\n${events(4, 6)}`), until: 6 },
  { name: 'the rest of the stream, with a comment', bytes: stream(`: alive\n\n${events(4, 6)}`), until: 6 },
  { name: 'JSON', bytes: sized('application/json', '{"error":"lost"}'), until: 3 },
  { name: 'JSON that has blank lines', bytes: sized('application/json', '{"error":"lost",\n\n"id": 4}\n\n'), until: 3 },
  { name: 'events as JSON', bytes: sized('application/json', events(4, 6)), until: 3 },
  { name: 'a body without a type', bytes: `${head('content-length: 16\r\n')}{"error":"lost"}`, until: 3 },
  { name: 'a second head and a text', bytes: stream('HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n\r\nlost\n\n'), until: 3 },
  { name: 'a text', bytes: stream('lost\n\n'), until: 3 },
  { name: 'a text without a blank line', bytes: stream('lost'), until: 3 },
  { name: 'a text with a line of an id', bytes: stream('error: lost\nid: 4\n\n'), until: 3 },
  { name: 'a text that follows an id', bytes: stream('id: 4\nlost\n\n'), until: 3 },
  { name: 'an event without an id', bytes: stream('event: error\ndata: lost\n\n'), until: 3 },
  { name: 'an event and one without an id, in one chunk', bytes: stream(`${events(4, 4)}data: lost\n\n`), until: 4 },
  { name: 'an event without an id before the others', bytes: stream(`data: lost\n\n${events(4, 6)}`), until: 3 },
  { name: 'the stream from its beginning', bytes: stream(events(1, 6)), until: 3 },
  { name: 'the last event again', bytes: stream(events(3, 6)), until: 3 },
  { name: 'an event twice', bytes: stream(events(4, 4) + events(4, 6)), until: 4 },
  { name: 'events that go back', bytes: stream(events(5, 5) + events(4, 6)), until: SKIPPED },
  { name: 'no event, in chunks', bytes: stream(), until: 3 },
  { name: 'no event, with a length', bytes: sized('text/event-stream', ''), until: 3 },
  { name: 'a comment', bytes: stream(': lost\n\n'), until: 3 },
  { name: 'an event without its end', bytes: stream('id: 4\ndata: d4\n'), until: 3 },
  { name: 'no content', bytes: head('', '204 No Content'), until: 3 },
  { name: 'a part of the content', bytes: sized('text/event-stream', events(4, 6), '206 Partial Content'), until: 3 },
  { name: 'a text that ends with its connection', bytes: `${head('content-type: text/event-stream\r\nconnection: close\r\n')}lost\n\n`, until: 3 },
  { name: 'a part of an event that ends with its connection', bytes: `${head('content-type: text/event-stream\r\nconnection: close\r\n')}${events(4, 5)}id: 6\nda`, until: 5 }
]

/** The same with an error's status: a response of its own to a caller that takes a stream up, and no part of one that has begun. */
const ERRORS = ['404 Not Found', '429 Too Many Requests', '500 Internal Server Error', '503 Service Unavailable'].map(status => ({
  name: status, bytes: sized('text/event-stream', `error: lost\nid: 4\n\n${events(4, 6)}`, status), status: Number(status.slice(0, 3))
}))

const respondRaw = (bytes: string): Script => ({ socket }) => {
  socket.write(bytes)
  if (bytes.includes('connection: close')) socket.end()
}

/** Streams the first three events and breaks off, in the middle of the next one if asked. */
const breakOff = (part = ''): Script => ({ socket }) => {
  socket.write(CHUNKED_STREAM + chunk(events(1, RECEIVED_ID) + part))
  setTimeout(() => { socket.resetAndDestroy() }, 20)
}

/** Responds to one request after the other, at whichever upstream. */
const inTurn = (...scripts: Script[]): Script => {
  let turn = 0
  return (req, res, body) => { scripts[Math.min(turn++, scripts.length - 1)]?.(req, res, body) }
}

interface Received {
  readonly head: string
  readonly body: string
  /** True when the body has its last chunk, or the length of its head. */
  readonly isComplete: boolean
  readonly wasReset: boolean
}

const decodeChunks = (text: string): { body: string, isComplete: boolean } => {
  let body = ''
  for (let at = 0; ;) {
    const size = /^([0-9a-f]+)\r\n/.exec(text.slice(at))?.[1]
    if (size === undefined) return { body, isComplete: false }
    if (size === '0') return { body, isComplete: text.slice(at) === '0\r\n\r\n' }
    body += text.slice(at + size.length + 2, at + size.length + 2 + parseInt(size, 16))
    at += size.length + 4 + parseInt(size, 16)
  }
}

const decode = (text: string, wasReset: boolean): Received => {
  const end = text.indexOf('\r\n\r\n') + 4
  const headText = text.slice(0, end).toLowerCase()
  const body = text.slice(end)
  if (headText.includes('transfer-encoding: chunked')) return { head: headText, ...decodeChunks(body), wasReset }
  const length = /content-length: (\d+)/.exec(headText)?.[1]
  return { head: headText, body, isComplete: length === undefined ? !wasReset : Number(length) === body.length, wasReset }
}

const call = async (gateway: GatewayUnderTest, path: string, headers = ''): Promise<Received> => {
  const socket = connect(gateway.callersPort, '127.0.0.1')
  let text = ''
  let wasReset = false
  socket.on('data', bytes => { text += bytes.toString('latin1') })
  socket.on('error', () => { wasReset = true })
  socket.write(`POST ${path} HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\nConnection: close\r\n${headers}Content-Length: 0\r\n\r\n`)
  await new Promise(resolve => { socket.on('close', resolve) })
  return decode(text, wasReset)
}

const withUpstreams = async (script: Script, act: (gateway: GatewayUnderTest) => Promise<void>): Promise<void> => {
  const warmed: Script = (req, res, body) => {
    if (req.url === WARM_UP) res.writeHead(200, { seal: 's' }).end()
    else script(req, res, body)
  }
  const gateway = await startWithSettings({ retryRatio: 4 }, warmed, warmed, warmed)
  try {
    // First attempts earn the retry budget of two further ones.
    await Promise.all([WARM_UP, WARM_UP].map(async path => await call(gateway, path)))
    await act(gateway)
  } finally {
    await gateway.close()
  }
}

/** Events that may follow: nothing else, and complete only with the last one. */
const expectPart = ({ body, isComplete }: Received, from: number, until: number): void => {
  const allowed = until === SKIPPED ? events(from, RECEIVED_ID) + events(5, 5) : events(from, until)
  expect(body.replace(/^versions: 2\n|: alive\n\n/m, '')).toEqual(allowed)
  expect(isComplete).toEqual(until === LAST_ID)
}

describe('a stream that broke off', () => {
  for (const { name, bytes, until } of RESPONSES) {
    for (const part of ['', 'id: 4\nda']) {
      it(`carries nothing but its events when the next upstream responds with ${name}${part === '' ? '' : ', after a part of an event'}`, async () => {
        await withUpstreams(inTurn(breakOff(part), respondRaw(bytes)), async gateway => {
          const received = await call(gateway, '/stream/x')
          expect(received.head).toMatchRegex(/^http\/1.1 200/)
          expectPart(received, 1, until)
        })
      })
    }
  }

  for (const { name, bytes } of ERRORS) {
    it(`carries nothing but its events when the next upstream responds with ${name}`, async () => {
      await withUpstreams(inTurn(breakOff(), respondRaw(bytes)), async gateway => { expectPart(await call(gateway, '/stream/x'), 1, RECEIVED_ID) })
    })
  }

  for (const { name, bytes } of [...RESPONSES.filter(({ until }) => until === RECEIVED_ID), ...ERRORS]) {
    it(`goes on at a third upstream when the second responds with ${name}`, async () => {
      await withUpstreams(inTurn(breakOff(), respondRaw(bytes), respondRaw(stream(events(4, 6)))), async gateway => { expectPart(await call(gateway, '/long/x'), 1, LAST_ID) })
    })
  }

  // The length of one response would cut the events of the next one off, or wait for more.
  it('has no length of its first response', async () => {
    const cut: Script = ({ socket }) => {
      socket.write(head('content-type: text/event-stream\r\ncontent-length: 500\r\n') + events(1, RECEIVED_ID))
      setTimeout(() => { socket.resetAndDestroy() }, 20)
    }
    await withUpstreams(inTurn(cut, respondRaw(stream(events(4, 6)))), async gateway => { expectPart(await call(gateway, '/stream/x'), 1, LAST_ID) })
  })

  it('keeps the line of a new version', async () => {
    await withUpstreams(inTurn(breakOff(), respondRaw(stream(`versions: 2\n${events(4, 6)}`))), async gateway => {
      expect((await call(gateway, '/stream/x')).body).toEqual(`${events(1, 3)}versions: 2\n${events(4, 6)}`)
    })
  })

  it('is not resumed when its last event has no id, as it would begin again', async () => {
    const noIds: Script = ({ socket }) => {
      socket.write(CHUNKED_STREAM + chunk('data: a\n\n'))
      setTimeout(() => { socket.resetAndDestroy() }, 20)
    }
    await withUpstreams(inTurn(noIds, respondRaw(stream('data: a\n\ndata: b\n\n'))), async gateway => {
      const { body, isComplete } = await call(gateway, '/stream/x')
      expect([body, isComplete]).toEqual(['data: a\n\n', false])
    })
  })

  it('counts and logs a response that does not go on with it as not continued', async () => {
    await withUpstreams(inTurn(breakOff(), respondRaw(stream('lost\n\n'))), async gateway => {
      await call(gateway, '/stream/x')
      expect((await gateway.readMetric('fuchsiaworks_attempts_total'))['service="plain",outcome="not-continued"']).toEqual(1)
    })
  })
})

describe('a stream that its caller takes up', () => {
  const TAKEN_UP = `Last-Event-Id: ${RECEIVED_ID}\r\n`

  for (const { name, bytes, until } of RESPONSES) {
    it(`carries nothing but its events when upstreams respond with ${name}`, async () => {
      await withUpstreams(respondRaw(bytes), async gateway => {
        const received = await call(gateway, '/stream/x', TAKEN_UP)
        if (until === RECEIVED_ID) expect(received.head).toMatchRegex(/^http\/1.1 502/)
        else expectPart(received, RECEIVED_ID + 1, until)
      })
    })
  }

  for (const { name, bytes, status } of ERRORS) {
    it(`passes on a response with ${name} as it is`, async () => {
      await withUpstreams(respondRaw(bytes), async gateway => {
        const received = await call(gateway, '/stream/x', TAKEN_UP)
        expect(Number(/^http\/1.1 (\d+)/.exec(received.head)?.[1])).toEqual(status)
        expect(received.isComplete).toEqual(true)
      })
    })
  }
})

describe('a response that broke off after a part of it was forwarded', () => {
  const PART = `${'x'.repeat(100_000)}\n\n`

  for (const path of ['/safe/x', '/stream/x']) {
    for (const status of ['200 OK', '500 Internal Server Error']) {
      it(`is not joined with another one: ${path}, ${status}`, async () => {
        const part: Script = ({ socket }) => {
          socket.write(head(`content-type: application/json\r\ncontent-length: ${PART.length * 2}\r\n`, status) + PART)
          setTimeout(() => { socket.resetAndDestroy() }, 50)
        }
        await withUpstreams(inTurn(part, part, part), async gateway => {
          const { body, isComplete } = await call(gateway, path)
          expect(isComplete && !body.startsWith('{"error"')).toEqual(false)
          expect(body.length).toBeLessThanOrEqual(PART.length)
        })
      })
    }
  }

  // A response without a length is complete for its caller where the connection is closed in an orderly way.
  for (const { path, type, body } of [{ path: '/once/x', type: 'text/plain', body: PART }, { path: '/stream/x', type: 'text/event-stream', body: events(1, 3) }]) {
    it(`resets the connection of a response without a length: ${path}`, async () => {
      const unframed: Script = ({ socket }) => {
        socket.write(head(`content-type: ${type}\r\nconnection: close\r\n`) + body)
        setTimeout(() => { socket.resetAndDestroy() }, 50)
      }
      await withUpstreams(inTurn(unframed, respondRaw(stream('lost\n\n'))), async gateway => {
        const received = await call(gateway, path)
        expect([received.body === body, received.wasReset]).toEqual([true, true])
      })
    })
  }

  it('resets the connection of a response without a length when its time is over, or the gateway ends', async () => {
    const unframed: Script = ({ socket }) => {
      socket.on('error', () => {})
      socket.write(head('content-type: text/plain\r\nconnection: close\r\n') + PART)
    }
    await withUpstreams(unframed, async gateway => {
      const late = await call(gateway, '/once/x')
      expect([late.body === PART, late.wasReset]).toEqual([true, true])
      const ended = call(gateway, '/once/x')
      await new Promise(resolve => { setTimeout(resolve, 100) })
      await gateway.running.close()
      expect((await ended).wasReset).toEqual(true)
    })
  })
})

describe('a stream whose first response broke off before an event', () => {
  const inEvent: Script = ({ socket }) => {
    socket.write(CHUNKED_STREAM + chunk('id: 1\nda'))
    setTimeout(() => { socket.resetAndDestroy() }, 20)
  }
  const json = '{"error":"lost"}'
  const CASES = [
    { name: 'the whole stream', bytes: stream(events(1, 6)), status: 200, body: events(1, 6) },
    { name: 'an error', bytes: sized('application/json', json, '500 Internal Server Error'), status: 500, body: json },
    { name: 'an error that has blank lines and an id', bytes: sized('text/plain', 'lost\n\nid: 5\n\nlost', '404 Not Found'), status: 404, body: 'lost\n\nid: 5\n\nlost' },
    { name: 'JSON', bytes: sized('application/json', `${json}\n\n`), status: 502, body: '{"error":"garbled"}' }
  ]

  for (const { name, bytes, status, body } of CASES) {
    it(`is ended by the second response only when that is ${name}`, async () => {
      await withUpstreams(inTurn(inEvent, respondRaw(bytes)), async gateway => {
        const received = await call(gateway, '/stream/x')
        expect([Number(/^http\/1.1 (\d+)/.exec(received.head)?.[1]), received.body, received.isComplete]).toEqual([status, body, true])
      })
    })
  }
})

describe('a stream during which its caller sends further bytes', () => {
  const slow: Script = ({ socket }) => {
    socket.on('error', () => {})
    socket.write(CHUNKED_STREAM + chunk(events(1, 3)))
    setTimeout(() => { socket.write(`${chunk(events(4, 6))}0\r\n\r\n`) }, 300)
  }
  const CASES = [
    { name: 'no request', bytes: 'lost\r\n\r\n' },
    { name: 'a part of a head', bytes: 'GET /stream/y HTTP/1.1\r\nHost: a.ex' },
    { name: 'a request without a route', bytes: 'GET /none HTTP/1.1\r\nHost: a.example\r\nTry: t2\r\n\r\n' },
    { name: 'a body that is too long', bytes: `POST /safe/y HTTP/1.1\r\nHost: a.example\r\nTry: t2\r\nContent-Length: 5000\r\n\r\n${'a'.repeat(5000)}` },
    { name: 'a request that asks to continue', bytes: 'POST /none HTTP/1.1\r\nHost: a.example\r\nTry: t2\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na' }
  ]

  for (const { name, bytes } of CASES) {
    it(`carries nothing but its events: ${name}`, async () => {
      await withUpstreams(slow, async gateway => {
        const socket = connect(gateway.callersPort, '127.0.0.1')
        let text = ''
        socket.on('error', () => {})
        socket.once('data', () => { socket.write(bytes) })
        socket.on('data', part => { text += part.toString('latin1') })
        const closed = new Promise(resolve => { socket.on('close', resolve) })
        socket.write('GET /stream/x HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\n\r\n')
        await Promise.race([closed, new Promise(resolve => { setTimeout(resolve, 1500) })])
        socket.destroy()
        const [first = '', rest = ''] = text.split(/(?<=\r\n0\r\n\r\n)/)
        const { body, isComplete } = decode(first, false)
        expect(body).toEqual(isComplete ? events(1, LAST_ID) : events(1, RECEIVED_ID))
        expect(rest).toMatchRegex(/^(?:HTTP\/1.1 \d+ [^]*)?$/)
      })
    })
  }
})
