import { createHash } from 'node:crypto'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Readable } from 'node:stream'
import { after, before, describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { parseSettings, type RouterSettings } from '@fuchsiaworks/settings'
import { expect } from 'earl'
import { request } from 'undici'
import { type RunningRouter, startRouter } from '../process/startRouter.js'

setLogLevel('error')

const sha256Of = (key: string): string => createHash('sha256').update(key).digest('hex')

const baseConfig = JSON.stringify({
  zones: { east: { region: 'r' } },
  sites: { main: { zones: ['east'] } },
  services: { ledger: { kind: 'plain' }, desk: { kind: 'plain' } },
  upstreams: { 'ledger-1': { service: 'ledger', zone: 'east', host: 'h1' }, 'desk-1': { service: 'desk', zone: 'east', host: 'h2' } },
  workspaces: { small: { keys: [sha256Of('key-of-small')], services: ['ledger'], patience: { defaultMs: 50 } } },
  limits: { bodyBytes: 2000, bodyIdleTimeoutMs: 100 }
})

/** Fake platform: serves one revision of the documents, then leaves long polls for later ones pending. */
const startFakePlatform = async (): Promise<Server> => {
  const server = createServer((req, res) => {
    const { pathname, searchParams } = new URL(req.url ?? '/', 'http://platform')
    if (Number(searchParams.get('after')) >= 1) return
    res.end(JSON.stringify(pathname === '/config' ? { revision: 1, base: baseConfig, overlays: {} } : { version: 1, hosts: [] }))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

describe('CallerServer', () => {
  let platform: Server
  let router: RunningRouter

  const send = async (path: string, options: Parameters<typeof request>[1] = {}): Promise<{ status: number, outcome: unknown, headers: Record<string, unknown> }> => {
    const { statusCode, headers, body } = await request(`http://127.0.0.1:${router.callerPort}${path}`, options)
    const problem = await body.json() as { outcome?: unknown }
    return { status: statusCode, outcome: problem.outcome, headers }
  }
  const authorization = 'Bearer key-of-small'

  before(async () => {
    platform = await startFakePlatform()
    const url = `http://127.0.0.1:${(platform.address() as AddressInfo).port}`
    const text = JSON.stringify({
      role: 'router',
      host: 'r1',
      zone: 'east',
      site: 'main',
      admin: { key: '0123456789abcdef' },
      linkKey: '0123456789abcdef',
      callers: {},
      links: {},
      logLevel: 'error',
      platform: { configuration: `${url}/config`, hosts: `${url}/hosts` }
    })
    router = await startRouter(parseSettings({ name: 'router', text }) as RouterSettings)
    while ((await send('/ledger/')).status === 503) await new Promise(resolve => { setTimeout(resolve, 5) })
  })

  after(async () => {
    await router.close()
    platform.closeAllConnections()
    platform.close()
  })

  it('refuses an unknown key, a forbidden service, an unknown service and an oversized body as not run', async () => {
    const unknown = await send('/ledger/')
    expect([unknown.status, unknown.outcome]).toEqual([401, 'not-run'])
    expect((await send('/desk/', { headers: { authorization } })).status).toEqual(403)
    expect((await send('/nowhere/', { headers: { authorization } })).status).toEqual(404)
    const oversized = await send('/ledger/', { method: 'POST', headers: { authorization }, body: 'x'.repeat(3000) })
    expect([oversized.status, oversized.outcome]).toEqual([413, 'not-run'])
  })

  it('refuses a request that no upstream accepts as not run, with Retry-After', async () => {
    const { status, outcome, headers } = await send('/ledger/members', { headers: { authorization } })
    expect([status, outcome, headers['content-type']]).toEqual([503, 'not-run', 'application/problem+json'])
    expect(Number(headers['retry-after']) >= 1).toEqual(true)
  })

  it('sends 408 to a caller that stalls within its body, and continues to serve others', async () => {
    const body = async function * (): AsyncGenerator<string> {
      yield 'x'
      await new Promise(resolve => { setTimeout(resolve, 2_000).unref() })
    }
    const slow = request(`http://127.0.0.1:${router.callerPort}/ledger/`, { method: 'POST', headers: { authorization, 'content-length': '100' }, body: Readable.from(body()) })
    expect((await send('/ledger/')).status).toEqual(401)
    expect((await slow).statusCode).toEqual(408)
  })
})
