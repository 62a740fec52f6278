import { EventEmitter } from 'node:events'
import { describe, it } from 'node:test'
import { FindingsError, type RunningProcess, runUntilSignal, setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { startProcess, type RoleStarters, WrongRoleError } from './startProcess.js'

/** A process whose drain ends when told to. */
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

describe('signals', () => {
  it('drain first and close when the work has ended', async () => {
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

  it('close at once the second time', async () => {
    const { calls, running } = createFakeProcess()
    const signals = new EventEmitter()
    const complete = runUntilSignal(Promise.resolve(running), signals)
    await Promise.resolve()
    signals.emit('SIGTERM')
    signals.emit('SIGINT')
    expect(await complete).toEqual(false)
    expect(calls).toEqual(['drain', 'close'])
  })

  it('do not cut the work short when SIGTERM is sent again, as a supervisor may', async () => {
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

  it('end a process whose drain fails, and say so', async () => {
    const signals = new EventEmitter()
    const complete = runUntilSignal(Promise.resolve({ drain: async () => { throw new Error('x') }, close: async () => {} }), signals)
    signals.emit('SIGTERM')
    expect(await complete).toEqual(false)
  })
})

describe('signals while the process starts', () => {
  it('drain it once it runs', async () => {
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

  it('end it at once the second time, also when the start hangs', async () => {
    const signals = new EventEmitter()
    const complete = runUntilSignal(new Promise(() => {}), signals)
    signals.emit('SIGTERM')
    signals.emit('SIGTERM')
    expect(await complete).toEqual(false)
  })

  it('leave the failure of the start to the caller', async () => {
    const signals = new EventEmitter()
    await expect(runUntilSignal(Promise.reject(new Error('no port')), signals)).toBeRejectedWith('no port')
    expect(signals.listenerCount('SIGTERM')).toEqual(0)
  })
})

describe('starting a process', () => {
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
  const starters: RoleStarters = { router: async () => createFakeProcess().running, agent: async () => await Promise.reject(new Error('not this one')) }

  it('takes settings of its own role only', async () => {
    const running = await startProcess('router', { name: 'f', text }, starters)
    expect(typeof running.drain).toEqual('function')
    await expect(startProcess('agent', { name: 'f', text }, starters)).toBeRejectedWith(WrongRoleError)
    await expect(startProcess('router', { name: 'f', text: '{}' }, starters)).toBeRejectedWith(FindingsError)
  })
})
