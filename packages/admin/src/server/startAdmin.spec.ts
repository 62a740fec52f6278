import { connect } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { logLevel, setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { type AdminHandlers, bindHandlers } from '../routes/adminRoutes.js'
import { keyCheck } from './adminKey.js'
import { type AdminServer, startAdmin } from './startAdmin.js'

const KEY = 'a-key-for-the-spec'
let server: AdminServer | undefined

const start = async (handlers: AdminHandlers, requestTimeout?: number): Promise<string> => {
  server = await startAdmin({ port: 0, key: KEY, routes: bindHandlers(handlers), ...(requestTimeout === undefined ? {} : { requestTimeout }) })
  return `http://${server.address.host}:${server.address.port}`
}

const withKey = { authorization: `Bearer ${KEY}` }

/** Sends bytes and gives what comes back until the server closes. */
const sendRaw = async (bytes: string | Uint8Array): Promise<string> => await new Promise(resolve => {
  let received = ''
  const socket = connect(server?.address.port ?? 0, '127.0.0.1', () => { socket.write(bytes) })
  socket.on('data', data => { received += data.toString('latin1') })
  socket.on('error', () => {})
  socket.on('close', () => { resolve(received) })
})

const problem = async (res: Response): Promise<string> => `${res.status} ${(await res.json() as { title: string }).title}`

afterEach(async () => { await server?.close() })

describe('the administration API', () => {
  it('answers health and readiness without a key, on the loopback address', async () => {
    const url = await start({ health: () => ({ healthy: true }), ready: () => ({ ready: false, reasons: ['no configuration'] }) })
    expect(url.startsWith('http://127.0.0.1:')).toEqual(true)
    expect(await (await fetch(`${url}/healthz`)).json()).toEqual({ healthy: true })
    expect((await fetch(`${url}/readyz`)).status).toEqual(503)
  })

  it('wants the key for everything else, also for paths that do not exist', async () => {
    const url = await start({ drain: () => ({ draining: true }) })
    expect(await problem(await fetch(`${url}/v1/drain`, { method: 'POST' }))).toEqual('401 unauthorized')
    expect(await problem(await fetch(`${url}/v1/none`, { headers: { authorization: 'Bearer wrong' } }))).toEqual('401 unauthorized')
    expect(await problem(await fetch(`${url}/v1/none`, { headers: withKey }))).toEqual('404 unknown-route')
    expect(await problem(await fetch(`${url}/v1/drain`, { headers: withKey }))).toEqual('405 wrong-method')
    expect((await fetch(`${url}/v1/drain`, { method: 'POST', headers: withKey })).status).toEqual(200)
  })

  it('hands checked input to a route and refuses the rest', async () => {
    const before = logLevel()
    const url = await start({
      logLevel: ({ body }) => {
        setLogLevel(body.level)
        return { level: body.level }
      },
      timeline: ({ query }) => ({ host: 'h', role: 'agent', wallMs: query.since ?? 0, entries: [], clocks: [] }) as never
    })
    const put = async (body: string): Promise<Response> => await fetch(`${url}/v1/log-level`, { method: 'PUT', headers: withKey, body })
    expect(await (await put('{"level": "error"}')).json()).toEqual({ level: 'error' })
    expect(await problem(await put('{"level": "loud"}'))).toEqual('400 bad-request')
    expect(await problem(await put('{"level"'))).toEqual('400 bad-request')
    expect(await problem(await put('x'.repeat(5_000_000)))).toEqual('413 body-too-large')
    expect(await problem(await fetch(`${url}/v1/timeline?since=soon`, { headers: withKey }))).toEqual('400 bad-request')
    expect((await (await fetch(`${url}/v1/timeline?since=30`, { headers: withKey })).json() as { wallMs: number }).wallMs).toEqual(30)
    setLogLevel(before)
  })

  it('answers 500 without the reason when a route fails', async () => {
    const url = await start({ status: () => { throw new Error('inner detail') } })
    setLogLevel('error')
    const res = await fetch(`${url}/v1/status`, { headers: withKey })
    expect([res.status, (await res.text()).includes('inner detail')]).toEqual([500, false])
    setLogLevel('info')
  })

  it('cuts a sender that is too slow', async () => {
    await start({ logLevel: ({ body }) => body }, 40)
    const head = `PUT /v1/log-level HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n`
    expect((await sendRaw(head)).startsWith('HTTP/1.1 408')).toEqual(true)
    expect((await sendRaw(`${head}content-length: 50\r\n\r\n{`)).startsWith('HTTP/1.1 408')).toEqual(true)
  })

  it('lives through random bytes', async () => {
    const url = await start({ health: () => ({ healthy: true }) }, 40)
    await fc.assert(fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 100 }), async bytes => {
      await sendRaw(bytes)
      expect((await fetch(`${url}/healthz`)).status).toEqual(200)
    }), { seed: 9, numRuns: 20 })
  })
})

describe('the key check', () => {
  it('takes the right key only', () => {
    const allows = keyCheck(KEY)
    fc.assert(fc.property(fc.string(), text => { expect(allows(`Bearer ${text}`)).toEqual(text === KEY) }), { seed: 10 })
    expect([allows(undefined), allows(KEY), allows(`Bearer ${KEY}`)]).toEqual([false, false, true])
  })
})
