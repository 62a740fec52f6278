import { connect } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { logLevel, setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { type AdminHandlers, bindHandlers } from '../routes/adminRoutes.js'
import { createKeyCheck } from './adminKey.js'
import { type AdminServer, startAdmin } from './startAdmin.js'

const KEY = 'a-key-for-the-spec'
let server: AdminServer | undefined

const start = async (handlers: AdminHandlers, requestTimeout?: number): Promise<string> => {
  server = await startAdmin({ port: 0, key: KEY, routes: bindHandlers(handlers), ...(requestTimeout === undefined ? {} : { requestTimeout }) })
  return `http://${server.address.host}:${server.address.port}`
}

const authHeaders = { authorization: `Bearer ${KEY}` }

/** Sends raw bytes and returns everything received until the connection closes. */
const sendRaw = async (bytes: string | Uint8Array): Promise<string> => await new Promise(resolve => {
  let received = ''
  const socket = connect(server?.address.port ?? 0, '127.0.0.1', () => { socket.write(bytes) })
  socket.on('data', data => { received += data.toString('latin1') })
  socket.on('error', () => {})
  socket.on('close', () => { resolve(received) })
})

const readProblem = async (res: Response): Promise<string> => `${res.status} ${(await res.json() as { title: string }).title}`

afterEach(async () => { await server?.close() })

describe('administration API', () => {
  it('serves health and readiness without a key, on the loopback address', async () => {
    const url = await start({ health: () => ({ healthy: true }), ready: () => ({ ready: false, reasons: ['no configuration'] }) })
    expect(url.startsWith('http://127.0.0.1:')).toEqual(true)
    expect(await (await fetch(`${url}/healthz`)).json()).toEqual({ healthy: true })
    expect((await fetch(`${url}/readyz`)).status).toEqual(503)
  })

  it('requires the key for all other paths, including those without a route', async () => {
    const url = await start({ drain: () => ({ draining: true }) })
    expect(await readProblem(await fetch(`${url}/v1/drain`, { method: 'POST' }))).toEqual('401 unauthorized')
    expect(await readProblem(await fetch(`${url}/v1/none`, { headers: { authorization: 'Bearer wrong' } }))).toEqual('401 unauthorized')
    expect(await readProblem(await fetch(`${url}/v1/none`, { headers: authHeaders }))).toEqual('404 unknown-route')
    expect(await readProblem(await fetch(`${url}/v1/drain`, { headers: authHeaders }))).toEqual('405 wrong-method')
    expect((await fetch(`${url}/v1/drain`, { method: 'POST', headers: authHeaders })).status).toEqual(200)
  })

  it('passes validated input to a handler and rejects invalid input', async () => {
    const previousLevel = logLevel()
    const url = await start({
      logLevel: ({ body }) => {
        setLogLevel(body.level)
        return { level: body.level }
      },
      timeline: ({ query }) => ({ host: 'h', role: 'agent', wallMs: query.since ?? 0, entries: [], clocks: [] }) as never
    })
    const put = async (body: string): Promise<Response> => await fetch(`${url}/v1/log-level`, { method: 'PUT', headers: authHeaders, body })
    expect(await (await put('{"level": "error"}')).json()).toEqual({ level: 'error' })
    expect(await readProblem(await put('{"level": "loud"}'))).toEqual('400 bad-request')
    expect(await readProblem(await put('{"level"'))).toEqual('400 bad-request')
    expect(await readProblem(await put('x'.repeat(5_000_000)))).toEqual('413 body-too-large')
    expect(await readProblem(await fetch(`${url}/v1/timeline?since=soon`, { headers: authHeaders }))).toEqual('400 bad-request')
    expect((await (await fetch(`${url}/v1/timeline?since=30`, { headers: authHeaders })).json() as { wallMs: number }).wallMs).toEqual(30)
    setLogLevel(previousLevel)
  })

  it('returns 500 without the reason when a handler fails', async () => {
    const url = await start({ status: () => { throw new Error('inner detail') } })
    setLogLevel('error')
    const res = await fetch(`${url}/v1/status`, { headers: authHeaders })
    expect([res.status, (await res.text()).includes('inner detail')]).toEqual([500, false])
    setLogLevel('info')
  })

  it('times out a request that arrives too slowly', async () => {
    await start({ logLevel: ({ body }) => body }, 40)
    const head = `PUT /v1/log-level HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n`
    expect((await sendRaw(head)).startsWith('HTTP/1.1 408')).toEqual(true)
    expect((await sendRaw(`${head}content-length: 50\r\n\r\n{`)).startsWith('HTTP/1.1 408')).toEqual(true)
  })

  it('keeps serving after connections that send random bytes', async () => {
    const url = await start({ health: () => ({ healthy: true }) }, 40)
    await fc.assert(fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 100 }), async bytes => {
      await sendRaw(bytes)
      expect((await fetch(`${url}/healthz`)).status).toEqual(200)
    }), { seed: 9, numRuns: 20 })
  })
})

describe('key check', () => {
  it('accepts only the expected key', () => {
    const isAuthorized = createKeyCheck(KEY)
    fc.assert(fc.property(fc.string(), text => { expect(isAuthorized(`Bearer ${text}`)).toEqual(text === KEY) }), { seed: 10 })
    expect([isAuthorized(undefined), isAuthorized(KEY), isAuthorized(`Bearer ${KEY}`)]).toEqual([false, false, true])
  })
})
