import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { type AdminHandlers, type AdminServer, bindHandlers, startAdmin } from '@fuchsiaworks/admin'
import { asId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'

const PROGRAM = fileURLToPath(new URL('../bin/fuchsiactl.js', import.meta.url))
const ADMIN_KEY = 'a-key-for-the-spec'
const UNREACHABLE_URL = 'http://127.0.0.1:1'

interface Result { code: number, out: string, err: string }

const runFuchsiactl = async (...args: string[]): Promise<Result> => await new Promise(resolve => {
  execFile(process.execPath, [PROGRAM, ...args], (err, out, errText) => {
    resolve({ code: typeof err?.code === 'number' ? err.code : 0, out, err: errText })
  })
})

/** The process reports the number of waiting requests as its revision too, so that revisions differ. */
const loadAndStatusHandlers = (role: 'router' | 'agent', waiting: number, servedHere: number, served: number): AdminHandlers => ({
  workspaces: () => ({
    workspaces: [
      { service: asId('s'), workspace: asId('big'), weight: 3, waiting, oldestWaitMs: waiting, runningHere: 0, servedHere, served, virtualTime: 0 },
      { service: asId('s'), workspace: asId('small'), weight: 1, waiting: 0, oldestWaitMs: 0, runningHere: 0, servedHere: 0, served: 50, virtualTime: 0 }
    ]
  }),
  status: () => ({
    role,
    host: asId(`${role}-1`),
    zone: asId('east'),
    site: asId('main'),
    incarnation: asId('i'),
    wallMs: 0,
    uptimeMs: 5000,
    revision: waiting,
    ready: true,
    draining: false,
    waiting,
    running: 0,
    linksUp: 1,
    links: 2,
    pauses: 0,
    logLevel: 'info'
  })
})

/** The detail of the entry is the query parameter `since` as the process received it. */
const timelineHandlers = (role: 'router' | 'agent', kind: 'request-received' | 'request-started', clockOffsetMs: number): AdminHandlers => ({
  timeline: ({ query }) => ({
    role,
    host: asId(`${role}-1`),
    wallMs: 0,
    entries: [{
      seq: 0,
      at: 1000 + clockOffsetMs,
      host: asId(`${role}-1`),
      incarnation: asId(`incarnation of ${role}-1`),
      event: { kind, request: asId(query.request ?? 'q'), workspace: asId('big'), service: asId('s'), upstream: asId('u'), detail: String(query.since) }
    }],
    clocks: role === 'router' ? [{ peer: asId('agent-1'), clockOffsetMs: 400, roundTripMs: 2 }] : []
  })
})

const servers: AdminServer[] = []
let folder = ''
let adminFlags: string[] = []

const startAdminServer = async (handlers: AdminHandlers): Promise<string> => {
  const server = await startAdmin({ port: 0, key: ADMIN_KEY, routes: bindHandlers(handlers) })
  servers.push(server)
  return `http://127.0.0.1:${server.address.port}`
}

const writeTempFile = async (name: string, text: string): Promise<string> => {
  const file = join(folder, name)
  await writeFile(file, text)
  return file
}

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'fuchsiactl-'))
  const urls = await Promise.all([startAdminServer(loadAndStatusHandlers('router', 4, 0, 140)), startAdminServer(loadAndStatusHandlers('router', 5, 0, 120)), startAdminServer(loadAndStatusHandlers('agent', 0, 150, 150))])
  adminFlags = [...urls.flatMap(url => ['--admin', url]), '--key', ADMIN_KEY]
})

after(async () => {
  await Promise.all(servers.map(async server => { await server.close() }))
  await rm(folder, { recursive: true })
})

describe('fuchsiactl', () => {
  it('validates files and exits with 1 if there is an error', async () => {
    const base = await writeTempFile('base.jsonc', '{"zones": {"a": {"region": "r"}}, "sites": {"main": {"zones": ["a"]}}}')
    const overlay = await writeTempFile('bad.jsonc', '{\n  "nope": 1,\n  "retries": {"percent": 101}\n}')
    expect(await runFuchsiactl('check', base)).toEqual({ code: 0, out: 'no findings\n', err: '' })
    const { code, out } = await runFuchsiactl('check', base, '--site', overlay)
    expect(out.split('\n').map(line => line.replace(overlay, 'bad.jsonc'))).toEqual([
      'bad.jsonc:2:3: error: nope: unknown key',
      'bad.jsonc:3:26: error: retries.percent: expected a whole number of percent from 0 to 100, not 101',
      'errors: 2, warnings: 0',
      ''
    ])
    expect(code).toEqual(1)
  })

  it('prints which file set each value', async () => {
    const base = await writeTempFile('base.jsonc', '{"zones": {"a": {"region": "r"}}, "sites": {"main": {"zones": ["a"]}}}')
    const overlay = await writeTempFile('main.jsonc', '{"retries": {"percent": 5}}')
    const { code, out } = await runFuchsiactl('show', base, '--site', overlay, '--json')
    const origins = (JSON.parse(out) as Array<{ path: string, origin: string }>).map(({ path, origin }) => `${path} ${origin.split('/').at(-1) ?? ''}`)
    expect(code).toEqual(0)
    expect(origins).toInclude('retries.percent main.jsonc:1:25', 'zones.a.region base.jsonc:1:28', 'zones.a.state default')
  })

  it('aggregates the load of all processes', async () => {
    const { code, out } = await runFuchsiactl('load', ...adminFlags, '--json')
    const rows = (JSON.parse(out) as { load: Array<Record<string, unknown>> }).load
    expect(rows.map(({ workspace, waiting, served, share, weightShare }) => [workspace, waiting, served, share, weightShare])).toEqual([
      ['big', 9, 150, 0.75, 0.75],
      ['small', 0, 50, 0.25, 0.25]
    ])
    expect(code).toEqual(0)
  })

  it('reports an unreachable process, prints the others, and exits with 2', async () => {
    const { code, out, err } = await runFuchsiactl('status', ...adminFlags, '--admin', UNREACHABLE_URL)
    expect(out.split('\n').length).toEqual(6)
    expect(out).toInclude('different revisions: 0, 4, 5')
    expect(err).toInclude(`not reached: ${UNREACHABLE_URL}: `)
    expect(code).toEqual(2)
  })

  it('reports a wrong key and a missing route', async () => {
    const { err } = await runFuchsiactl('status', adminFlags[0] ?? '', adminFlags[1] ?? '', '--key', 'wrong')
    expect(err).toInclude('the key is wrong')
    expect((await runFuchsiactl('timeline', ...adminFlags, '--since', '30s')).err).toInclude('status 404')
  })

  it('prints merged time lines as a table, JSON or a sequence diagram', async () => {
    const urls = await Promise.all([startAdminServer(timelineHandlers('agent', 'request-started', 405)), startAdminServer(timelineHandlers('router', 'request-received', 0))])
    const processes = [...urls.flatMap(url => ['--admin', url]), '--key', ADMIN_KEY]
    const table = (await runFuchsiactl('timeline', ...processes, '--since', '30s')).out.split('\n')
    expect(table[0]).toEqual('clock of router-1: corrected by 400.0 ms, within 1.0 ms')
    expect(table[2]?.includes('request-received') === true && table[2].endsWith('30000')).toEqual(true)
    expect(table[3]).toEqual('1970-01-01T00:00:01.405Z  agent-1   agent   request-started   q big s u  30000')
    const json = JSON.parse((await runFuchsiactl('timeline', ...processes, '--request', 'x', '--json')).out) as { entries: Array<{ time: number }> }
    expect(json.entries.map(entry => entry.time)).toEqual([1400, 1405])
    expect((await runFuchsiactl('timeline', ...processes, '--request', 'x', '--format', 'mermaid')).out).toInclude('p2->>p3: started undefined')
  })

  it('exits with 2 for wrong usage', async () => {
    const calls = [[], ['nope'], ['check'], ['check', 'no-such-file'], ['status'], ['status', '--admin', UNREACHABLE_URL],
      ['timeline', ...adminFlags], ['timeline', ...adminFlags, '--since', '30'], ['check', '--nope', 'x']]
    expect((await Promise.all(calls.map(async args => await runFuchsiactl(...args)))).map(result => result.code)).toEqual(calls.map(() => 2))
  })
})
