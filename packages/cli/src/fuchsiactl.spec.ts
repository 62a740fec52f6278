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
const KEY = 'a-key-for-the-spec'
const ABSENT = 'http://127.0.0.1:1'

interface Result { code: number, out: string, err: string }

const ctl = async (...args: string[]): Promise<Result> => await new Promise(resolve => {
  execFile(process.execPath, [PROGRAM, ...args], (err, out, errText) => {
    resolve({ code: typeof err?.code === 'number' ? err.code : 0, out, err: errText })
  })
})

const workspaces = (role: 'router' | 'agent', waiting: number, servedHere: number, served: number): AdminHandlers => ({
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

const timeline = (role: 'router' | 'agent', kind: 'request-received' | 'request-started', offset: number): AdminHandlers => ({
  timeline: ({ query }) => ({
    role,
    host: asId(`${role}-1`),
    wallMs: 0,
    entries: [{
      seq: 0,
      at: 1000 + offset,
      host: asId(`${role}-1`),
      incarnation: asId(`life of ${role}-1`),
      event: { kind, request: asId(query.request ?? 'q'), workspace: asId('big'), service: asId('s'), upstream: asId('u'), detail: String(query.since) }
    }],
    clocks: role === 'router' ? [{ peer: asId('agent-1'), clockOffsetMs: 400, roundTripMs: 2 }] : []
  })
})

const servers: AdminServer[] = []
let folder = ''
let admin: string[] = []

const openAdmin = async (handlers: AdminHandlers): Promise<string> => {
  const server = await startAdmin({ port: 0, key: KEY, routes: bindHandlers(handlers) })
  servers.push(server)
  return `http://127.0.0.1:${server.address.port}`
}

const save = async (name: string, text: string): Promise<string> => {
  const file = join(folder, name)
  await writeFile(file, text)
  return file
}

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'fuchsiactl-'))
  const urls = await Promise.all([openAdmin(workspaces('router', 4, 0, 140)), openAdmin(workspaces('router', 5, 0, 120)), openAdmin(workspaces('agent', 0, 150, 150))])
  admin = [...urls.flatMap(url => ['--admin', url]), '--key', KEY]
})

after(async () => {
  await Promise.all(servers.map(async server => { await server.close() }))
  await rm(folder, { recursive: true })
})

describe('fuchsiactl', () => {
  it('checks files and exits 1 when there is an error', async () => {
    const base = await save('base.jsonc', '{"zones": {"a": {"region": "r"}}, "sites": {"main": {"zones": ["a"]}}}')
    const overlay = await save('bad.jsonc', '{\n  "nope": 1,\n  "retries": {"percent": 101}\n}')
    expect(await ctl('check', base)).toEqual({ code: 0, out: 'no findings\n', err: '' })
    const { code, out } = await ctl('check', base, '--site', overlay)
    expect(out.split('\n').map(line => line.replace(overlay, 'bad.jsonc'))).toEqual([
      'bad.jsonc:2:3: error: nope: unknown key',
      'bad.jsonc:3:26: error: retries.percent: expected a whole number of percent from 0 to 100, not 101',
      'errors: 2, warnings: 0',
      ''
    ])
    expect(code).toEqual(1)
  })

  it('shows which file set each value', async () => {
    const base = await save('base.jsonc', '{"zones": {"a": {"region": "r"}}, "sites": {"main": {"zones": ["a"]}}}')
    const overlay = await save('main.jsonc', '{"retries": {"percent": 5}}')
    const { code, out } = await ctl('show', base, '--site', overlay, '--json')
    const origins = (JSON.parse(out) as Array<{ path: string, origin: string }>).map(({ path, origin }) => `${path} ${origin.split('/').at(-1) ?? ''}`)
    expect(code).toEqual(0)
    expect(origins).toInclude('retries.percent main.jsonc:1:25', 'zones.a.region base.jsonc:1:28', 'zones.a.state default')
  })

  it('adds up the load of all processes', async () => {
    const { code, out } = await ctl('load', ...admin, '--json')
    const rows = (JSON.parse(out) as { load: Array<Record<string, unknown>> }).load
    expect(rows.map(({ workspace, waiting, served, share, weightShare }) => [workspace, waiting, served, share, weightShare])).toEqual([
      ['big', 9, 150, 0.75, 0.75],
      ['small', 0, 50, 0.25, 0.25]
    ])
    expect(code).toEqual(0)
  })

  it('names a process that it does not reach, shows the others, and exits 2', async () => {
    const { code, out, err } = await ctl('status', ...admin, '--admin', ABSENT)
    expect(out.split('\n').length).toEqual(6)
    expect(out).toInclude('different revisions: 0, 4, 5')
    expect(err).toInclude(`not reached: ${ABSENT}: `)
    expect(code).toEqual(2)
  })

  it('says when the key is wrong or a route is missing', async () => {
    const { err } = await ctl('status', admin[0] ?? '', admin[1] ?? '', '--key', 'wrong')
    expect(err).toInclude('the key is wrong')
    expect((await ctl('timeline', ...admin, '--since', '30s')).err).toInclude('status 404')
  })

  it('merges time lines into a table, JSON or a diagram', async () => {
    const urls = await Promise.all([openAdmin(timeline('agent', 'request-started', 405)), openAdmin(timeline('router', 'request-received', 0))])
    const processes = [...urls.flatMap(url => ['--admin', url]), '--key', KEY]
    const table = (await ctl('timeline', ...processes, '--since', '30s')).out.split('\n')
    expect(table[0]).toEqual('clock of router-1: corrected by 400.0 ms, within 1.0 ms')
    expect(table[2]?.includes('request-received') === true && table[2].endsWith('30000')).toEqual(true)
    expect(table[3]).toEqual('1970-01-01T00:00:01.405Z  agent-1   agent   request-started   q big s u  30000')
    const json = JSON.parse((await ctl('timeline', ...processes, '--request', 'x', '--json')).out) as { entries: Array<{ time: number }> }
    expect(json.entries.map(entry => entry.time)).toEqual([1400, 1405])
    expect((await ctl('timeline', ...processes, '--request', 'x', '--format', 'mermaid')).out).toInclude('p2->>p3: started undefined')
  })

  it('exits 2 for wrong usage', async () => {
    const calls = [[], ['nope'], ['check'], ['check', 'no-such-file'], ['status'], ['status', '--admin', ABSENT],
      ['timeline', ...admin], ['timeline', ...admin, '--since', '30'], ['check', '--nope', 'x']]
    expect((await Promise.all(calls.map(async args => await ctl(...args)))).map(result => result.code)).toEqual(calls.map(() => 2))
  })
})
