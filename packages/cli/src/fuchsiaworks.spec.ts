import { type ChildProcess, spawn } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'

const PROGRAM = fileURLToPath(new URL('../bin/fuchsiaworks.js', import.meta.url))

/** The platform services are unreachable: a process must start and end without them. */
const common = {
  host: 'h1',
  zone: 'east',
  site: 'main',
  admin: { key: '0123456789abcdef' },
  linkKey: '0123456789abcdef',
  platform: { configuration: 'http://127.0.0.1:1', hosts: 'http://127.0.0.1:1' }
}
const router = { ...common, role: 'router', callers: {}, links: {} }
const agent = { ...common, role: 'agent', upstream: 'u1', upstreamUrl: 'http://127.0.0.1:1' }

let folder = ''

const startProgram = async (role: string, settings: unknown): Promise<ChildProcess> => {
  const file = join(folder, `${role}.jsonc`)
  await writeFile(file, JSON.stringify(settings))
  return spawn(process.execPath, [PROGRAM, role, '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'] })
}

const exitCodeOf = async (child: ChildProcess): Promise<number | null> =>
  await new Promise(resolve => { child.once('exit', resolve) })

/** Sends the signal once the log contains the sentence. */
const signalAfterLogLine = (child: ChildProcess, sentence: string, signal: NodeJS.Signals): void => {
  let output = ''
  const onData = (data: Buffer): void => {
    output += data.toString()
    if (!output.includes(sentence)) return
    child.stdout?.removeListener('data', onData)
    child.kill(signal)
  }
  child.stdout?.on('data', onData)
}

before(async () => { folder = await mkdtemp(join(tmpdir(), 'fuchsiaworks-')) })
after(async () => { await rm(folder, { recursive: true }) })

describe('fuchsiaworks', () => {
  it('writes logs, drains on SIGTERM and exits with 0 in both roles', async () => {
    const routerChild = await startProgram('router', router)
    signalAfterLogLine(routerChild, 'the router runs', 'SIGTERM')
    expect(await exitCodeOf(routerChild)).toEqual(0)
    const agentChild = await startProgram('agent', agent)
    signalAfterLogLine(agentChild, 'the agent runs', 'SIGTERM')
    expect(await exitCodeOf(agentChild)).toEqual(0)
  })

  it('exits with 1 for invalid settings and with 2 for a wrong or unknown role', async () => {
    expect(await exitCodeOf(await startProgram('router', { ...router, nope: 1 }))).toEqual(1)
    expect(await exitCodeOf(await startProgram('router', agent))).toEqual(2)
    expect(await exitCodeOf(await startProgram('neither', agent))).toEqual(2)
  })
})
