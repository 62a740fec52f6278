import { connect, type Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { findPorts } from '@fuchsiaworks/standins'
import { expect } from 'earl'
import fc from 'fast-check'
import { type OffloadingPort, startOffloadingPort } from '../offload/offloadFixtures.js'
import { type GatewayUnderTest, type Script, startWithSettings } from '../process/gatewayFixtures.js'

setLogLevel('error')

const SEED = 45

/** Upstreams in turn, as a broken response keeps requests from its upstream for a while. */
const UPSTREAMS = 12

/** Longer than that while, so that a play begins with all upstreams. Without a pause, the faster the machine is, the more requests are refused. */
const AVOID_MS = 350

/** Requests of the plays with pauses that may fail, for each one that succeeds. */
const MAX_BROKEN = 2

const wait = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

/** What an upstream responds with, and what its caller does. */
interface Plan {
  readonly path: string
  readonly method: 'POST' | 'GET' | 'HEAD'
  readonly version: '1.0' | '1.1'
  readonly framing: 'length' | 'chunks' | 'close'
  readonly events: boolean
  readonly size: number
  /** Bytes of each piece that the upstream writes, and the pause behind it. */
  readonly pieceBytes: number
  readonly pauseMs: number
  /** Share of the framed body after which the upstream breaks off; 1 or more for never. */
  readonly cutAt: number
  readonly cutBy: 'end' | 'reset'
  /** Share for the first attempt only: another one gets the whole response. */
  readonly cutsOnce: boolean
}

const plans = new Map<string, Plan>()
const attempts = new Map<string, number>()

const bodyOf = (id: string, { size, events }: Plan): string => {
  const part = (nth: number): string => events ? `id: ${nth + 1}\ndata: ${id}/${nth}\n\n` : `${id}/${nth};`
  let body = ''
  for (let nth = 0; body.length < size; nth++) body += part(nth)
  return body
}

const frame = (body: string, { framing, pieceBytes }: Plan): string => {
  if (framing !== 'chunks') return body
  const chunkBytes = Math.max(7, Math.ceil(pieceBytes * 0.7))
  let framed = ''
  for (let at = 0; at < body.length; at += chunkBytes) {
    const chunk = body.slice(at, at + chunkBytes)
    framed += `${chunk.length.toString(16)}\r\n${chunk}\r\n`
  }
  return `${framed}0\r\n\r\n`
}

const headOf = (id: string, plan: Plan, length: number): string => {
  const framing = { length: `Content-Length: ${length}\r\n`, chunks: 'transfer-encoding: chunked\r\n', close: 'connection: close\r\n' }[plan.framing]
  const type = plan.events ? 'content-type: text/event-stream\r\n' : ''
  return `HTTP/1.1 200 OK\r\ntry: ${id}\r\nseal: s.${id}\r\n${type}${framing}\r\n`
}

/** Responds as planned for the request, over the bare connection. */
const upstream: Script = ({ socket, headers, method }) => {
  const id = String(headers['try'])
  const plan = plans.get(id)
  if (plan === undefined) return
  const nth = (attempts.get(id) ?? 0) + 1
  attempts.set(id, nth)
  const body = bodyOf(id, plan)
  const framed = method === 'HEAD' ? '' : frame(body, plan)
  const isCut = plan.cutAt < 1 && !(plan.cutsOnce && nth > 1)
  const sent = headOf(id, plan, body.length) + (isCut ? framed.slice(0, Math.floor(plan.cutAt * framed.length)) : framed)
  const writeFrom = (at: number): void => {
    if (socket.destroyed) return
    if (at >= sent.length) {
      // An orderly end of a response that has no other one would declare it complete.
      if (isCut && (plan.cutBy === 'reset' || plan.framing === 'close')) socket.resetAndDestroy()
      else if (isCut || plan.framing === 'close') socket.end()
      return
    }
    const next = (): void => { writeFrom(at + plan.pieceBytes) }
    socket.write(sent.slice(at, at + plan.pieceBytes), 'latin1', () => { plan.pauseMs > 0 ? setTimeout(next, plan.pauseMs) : setImmediate(next) })
  }
  writeFrom(0)
}

interface Response {
  readonly status: number
  readonly head: string
  readonly body: string
  readonly isComplete: boolean
}

const parseBody = (head: string, rest: string, isHead: boolean, isOrderly: boolean): { body: string, used: number, isComplete: boolean } => {
  if (isHead) return { body: '', used: 0, isComplete: true }
  if (/transfer-encoding: chunked/i.test(head)) {
    let body = ''
    for (let at = 0; ;) {
      const lineEnd = rest.indexOf('\r\n', at)
      const size = lineEnd === -1 ? NaN : Number.parseInt(rest.slice(at, lineEnd), 16)
      const end = lineEnd + 2 + size + 2
      if (Number.isNaN(size) || end > rest.length) return { body, used: rest.length, isComplete: false }
      if (size === 0) return { body, used: end, isComplete: true }
      body += rest.slice(lineEnd + 2, end - 2)
      at = end
    }
  }
  const lengths = [...head.matchAll(/content-length: (\d+)/gi)].map(([, value]) => Number(value))
  if (lengths.length > 1) throw new Error(`several lengths: ${head}`)
  const [length] = lengths
  if (length === undefined) return { body: rest, used: rest.length, isComplete: isOrderly }
  return { body: rest.slice(0, length), used: Math.min(length, rest.length), isComplete: rest.length >= length }
}

/** Reads the responses to a connection's requests as a caller does. */
const parseResponses = (raw: string, methods: readonly string[], isOrderly: boolean): Response[] => {
  const responses: Response[] = []
  for (let at = 0; at < raw.length && responses.length < methods.length;) {
    const headEnd = raw.indexOf('\r\n\r\n', at)
    if (headEnd === -1) break
    const head = raw.slice(at, headEnd)
    const { body, used, isComplete } = parseBody(head, raw.slice(headEnd + 4), methods[responses.length] === 'HEAD', isOrderly)
    responses.push({ status: Number(/^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1]), head, body, isComplete })
    at = headEnd + 4 + used
  }
  return responses
}

let lastId = 0

const requestOf = (id: string, { method, path, version }: Plan, isLast: boolean): string =>
  `${method} ${path} HTTP/${version}\r\nHost: a.example\r\nTry: ${id}\r\n${isLast ? 'Connection: close\r\n' : version === '1.0' ? 'Connection: keep-alive\r\n' : ''}${method === 'POST' ? 'Content-Length: 2\r\n\r\nab' : '\r\n'}`

/** How a caller uses its connection. */
interface Caller {
  readonly plans: readonly Plan[]
  /** Time between two requests; undefined to send each one behind the response to the one before. */
  readonly gapMs: number | undefined
  readonly isSlow: boolean
  readonly port: number
  /** Called when the first bytes of a response have arrived. */
  readonly onBegin?: (socket: Socket) => void
}

interface Outcome {
  readonly complete: number
  readonly broken: number
  readonly faults: string[]
  readonly responses: Response[]
}

/** Sends the requests of a caller and compares each complete success with the body of its upstream. */
const call = async ({ plans: planned, gapMs, isSlow, port, onBegin }: Caller): Promise<Outcome> => {
  const requests = planned.map((plan, nth) => {
    const id = `t${++lastId}`
    plans.set(id, plan)
    return { id, plan, bytes: requestOf(id, plan, nth === planned.length - 1) }
  })
  const methods = planned.map(({ method }) => method)
  const { raw, isOrderly } = await new Promise<{ raw: string, isOrderly: boolean }>(resolve => {
    const socket = connect({ port, host: '127.0.0.1', noDelay: true })
    const pieces: string[] = []
    let sent = 0
    let isOrderly = false
    const send = (): void => {
      if (socket.destroyed || !socket.writable) return
      if (sent < requests.length) socket.write(requests[sent++]?.bytes ?? '')
      if (gapMs !== undefined && sent < requests.length) gapMs === 0 ? send() : setTimeout(send, gapMs)
    }
    socket.on('connect', send)
    socket.on('data', (data: Buffer) => {
      pieces.push(data.toString('latin1'))
      if (pieces.length === 1) onBegin?.(socket)
      if (gapMs === undefined && sent < requests.length) {
        const responses = parseResponses(pieces.join(''), methods, false)
        if (responses.length === sent && responses.every(({ isComplete }) => isComplete)) send()
      }
      if (!isSlow) return
      socket.pause()
      setTimeout(() => { socket.resume() }, 3)
    })
    // A reset that arrives together with the last bytes is reported as an orderly end; a connection that was reset has no other side.
    socket.on('end', () => { isOrderly = socket.remoteAddress !== undefined })
    socket.on('error', () => { isOrderly = false })
    socket.on('close', () => { resolve({ raw: pieces.join(''), isOrderly }) })
  })
  const responses = parseResponses(raw, methods, isOrderly)
  const faults: string[] = []
  let complete = 0
  for (const [nth, { status, head, body, isComplete }] of responses.entries()) {
    if (status < 200 || status > 299 || !isComplete) continue
    complete += 1
    const request = requests[nth]
    if (request === undefined) continue
    const want = request.plan.method === 'HEAD' ? '' : bodyOf(request.id, request.plan)
    if (!head.includes(`try: ${request.id}\r\n`) && !head.endsWith(`try: ${request.id}`)) faults.push(`head of another request than ${request.id}: ${head}`)
    if (!request.plan.path.startsWith('/stream') && want.length <= 65_536 && /transfer-encoding/i.test(head)) faults.push(`in chunks: ${request.id} ${JSON.stringify(request.plan)}`)
    if (body !== want) faults.push(`${request.id}: ${body.length} bytes of ${want.length}, ${JSON.stringify(request.plan)}`)
  }
  return { complete, broken: requests.length - complete, faults, responses }
}

/** Requests a body without a length, acts while it is in progress, and returns how the connection ends. */
const endOf = async (port: number, act: (socket: Socket) => void): Promise<string> => await new Promise(resolve => {
  const id = `t${++lastId}`
  plans.set(id, { path: '/once/x', method: 'GET', version: '1.1', framing: 'close', events: false, size: 100_000, pieceBytes: 80_000, pauseMs: 400, cutAt: 1, cutBy: 'end', cutsOnce: false })
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true }, () => { socket.write(`GET /once/x HTTP/1.1\r\nHost: a.example\r\nTry: ${id}\r\n\r\n`) })
  let outcome = 'closed'
  socket.once('data', () => { setTimeout(() => { act(socket) }, 100) })
  socket.on('data', () => {})
  socket.on('end', () => {
    outcome = 'ended'
    socket.end()
  })
  socket.on('error', () => { outcome = 'reset' })
  socket.on('close', () => { resolve(outcome) })
})

const planArbitrary: fc.Arbitrary<Plan> = fc.record({
  path: fc.constantFrom('/once/x', '/safe/x', '/stream/x'),
  method: fc.constantFrom('POST', 'POST', 'GET', 'HEAD'),
  version: fc.constantFrom('1.1', '1.1', '1.1', '1.0'),
  framing: fc.constantFrom('length', 'chunks', 'close'),
  events: fc.boolean(),
  size: fc.constantFrom(0, 1, 700, 4800, 60_000, 65_536, 70_000, 200_000),
  pieceBytes: fc.constantFrom(150, 1500, 16_384, 65_536),
  pauseMs: fc.constantFrom(0, 0, 1),
  cutAt: fc.oneof(fc.constant(1), fc.constant(1), fc.double({ min: 0, max: 0.999, noNaN: true })),
  cutBy: fc.constantFrom('end', 'reset'),
  cutsOnce: fc.boolean()
}).map(plan => ({ ...plan, events: plan.path === '/stream/x' && plan.events, pieceBytes: Math.max(plan.pieceBytes, Math.ceil(plan.size / 60)) } as Plan))

describe('a complete success', () => {
  let gateway: GatewayUnderTest
  let peer: OffloadingPort

  before(async () => {
    const [peersPort = 0] = await findPorts(1)
    gateway = await startWithSettings({ peers: { host: '127.0.0.1', port: peersPort }, retryRatio: 4 }, ...Array.from({ length: UPSTREAMS }, () => upstream))
    peer = await startOffloadingPort(peersPort)
  })

  after(async () => {
    peer.close()
    await gateway.close()
  })

  for (const [title, isOffloaded] of [['of a gateway', false], ['of a peer that serves the connection', true]] as const) {
    it(`${title} has the whole body of its own request, however connections are used and upstreams break off`, async () => {
      const faults: string[] = []
      let complete = 0
      let broken = 0
      const callerArbitrary = fc.record({ plans: fc.array(planArbitrary, { minLength: 1, maxLength: 4 }), gapMs: fc.constantFrom(undefined, 0, 2), isSlow: fc.boolean() })
      // Without pauses refusals stand between responses; with pauses enough requests are sent whatever the speed of the machine.
      for (const pauseMs of [0, AVOID_MS]) {
        complete = 0
        broken = 0
        await fc.assert(fc.asyncProperty(fc.array(callerArbitrary, { minLength: 6, maxLength: 6 }), async callers => {
          if (pauseMs > 0) await wait(pauseMs)
          const outcomes = await Promise.all(callers.map(async caller => await call({ ...caller, port: isOffloaded ? peer.port : gateway.callersPort })))
          for (const outcome of outcomes) {
            complete += outcome.complete
            broken += outcome.broken
            faults.push(...outcome.faults)
          }
        }), { numRuns: 30, seed: SEED, endOnFailure: true })
      }
      expect(faults).toEqual([])
      expect(complete).toBeGreaterThan(broken / MAX_BROKEN)
    })
  }

  // Guards against the orderly end of a connection in the middle of a body that has no other one.
  for (const [title, act] of [['has ended its side', socket => { socket.end() }], ['sends what is no request', socket => { socket.write('\u0001\r\n\r\n') }]] as ReadonlyArray<readonly [string, (socket: Socket) => void]>) {
    for (const [where, isOffloaded] of [['a gateway', false], ['a peer that serves the connection', true]] as const) {
      it(`is not what a caller of ${where} gets that ${title} while a body without a length is in progress`, async () => {
        expect(await endOf(isOffloaded ? peer.port : gateway.callersPort, act)).toEqual('reset')
      })
    }
  }
})
