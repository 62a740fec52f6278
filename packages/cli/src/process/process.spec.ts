import { EventEmitter } from 'node:events'
import { describe, it } from 'node:test'
import { FindingsError, type RunningProcess, runUntilSignal, setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { startProcess, type RoleStarters, WrongRoleError } from './startProcess.js'

/** Creates a fake process whose drain ends when `endDrain` is called. */
const createFakeProcess = () => {
  const calls: string[] = []
  let endDrain = (): void => {}
  const running: RunningProcess = {
    drain: async () => {
      calls.push('drain')
      await new Promise<void>(resolve => { endDrain = resolve })
    },
    close: async () => { calls.push('close') }
  }
  return { calls, running, endDrain: () => { endDrain() } }
}

setLogLevel('error')

describe('runUntilSignal', () => {
  it('drains on the first signal and closes after the drain', async () => {
    const { calls, running, endDrain } = createFakeProcess()
    const signals = new EventEmitter()
    const complete = runUntilSignal(Promise.resolve(running), signals)
    await Promise.resolve()
    signals.emit('SIGTERM')
    expect(calls).toEqual(['drain'])
    endDrain()
    expect(await complete).toEqual(true)
    expect(calls).toEqual(['drain', 'close'])
    expect(signals.listenerCount('SIGTERM')).toEqual(0)
  })

  it('closes at once on SIGINT during the drain', async () => {
    const { calls, running } = createFakeProcess()
    const signals = new EventEmitter()
    const complete = runUntilSignal(Promise.resolve(running), signals)
    await Promise.resolve()
    signals.emit('SIGTERM')
    signals.emit('SIGINT')
    expect(await complete).toEqual(false)
    expect(calls).toEqual(['drain', 'close'])
  })

  it('does not cut the drain short when SIGTERM is repeated, as some supervisors do', async () => {
    const { calls, running, endDrain } = createFakeProcess()
    const signals = new EventEmitter()
    const complete = runUntilSignal(Promise.resolve(running), signals)
    await Promise.resolve()
    for (let times = 0; times < 3; times++) signals.emit('SIGTERM')
    expect(calls).toEqual(['drain'])
    endDrain()
    expect(await complete).toEqual(true)
    expect(calls).toEqual(['drain', 'close'])
  })

  it('returns false if the drain fails', async () => {
    const signals = new EventEmitter()
    const complete = runUntilSignal(Promise.resolve({ drain: async () => { throw new Error('x') }, close: async () => {} }), signals)
    signals.emit('SIGTERM')
    expect(await complete).toEqual(false)
  })
})

describe('runUntilSignal while the process starts', () => {
  it('drains the process once it has started', async () => {
    const { calls, running, endDrain } = createFakeProcess()
    const signals = new EventEmitter()
    let finishStart = (_running: RunningProcess): void => {}
    const complete = runUntilSignal(new Promise(resolve => { finishStart = resolve }), signals)
    signals.emit('SIGTERM')
    finishStart(running)
    await Promise.resolve()
    expect(calls).toEqual(['drain'])
    endDrain()
    expect(await complete).toEqual(true)
  })

  it('ends at once on a second signal, even if the start hangs', async () => {
    const signals = new EventEmitter()
    const complete = runUntilSignal(new Promise(() => {}), signals)
    signals.emit('SIGTERM')
    signals.emit('SIGTERM')
    expect(await complete).toEqual(false)
  })

  it('rejects with the error of a failed start', async () => {
    const signals = new EventEmitter()
    await expect(runUntilSignal(Promise.reject(new Error('no port')), signals)).toBeRejectedWith('no port')
    expect(signals.listenerCount('SIGTERM')).toEqual(0)
  })
})

describe('startProcess', () => {
  const text = JSON.stringify({
    role: 'router',
    host: 'r1',
    zone: 'east',
    site: 'main',
    admin: { key: '0123456789abcdef' },
    linkKey: '0123456789abcdef',
    platform: { configuration: 'http://127.0.0.1:1', hosts: 'http://127.0.0.1:1' },
    callers: {},
    links: {},
    logLevel: 'error'
  })
  const starters: RoleStarters = { router: async () => createFakeProcess().running, agent: async () => await Promise.reject(new Error('the agent must not be started')) }

  it('rejects invalid settings and settings of the other role', async () => {
    const running = await startProcess('router', { name: 'f', text }, starters)
    expect(typeof running.drain).toEqual('function')
    await expect(startProcess('agent', { name: 'f', text }, starters)).toBeRejectedWith(WrongRoleError)
    await expect(startProcess('router', { name: 'f', text: '{}' }, starters)).toBeRejectedWith(FindingsError)
  })
})
