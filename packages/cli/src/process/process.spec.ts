import { EventEmitter } from 'node:events'
import { describe, it } from 'node:test'
import { FindingsError, type RunningProcess, runUntilSignal, setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { startProcess, type Starters, WrongRoleError } from './startProcess.js'

/** A process whose drain ends when told to. */
const createFake = () => {
  const record: string[] = []
  let endDrain = (): void => {}
  const running: RunningProcess = {
    drain: async () => {
      record.push('drain')
      await new Promise<void>(resolve => { endDrain = resolve })
    },
    close: async () => { record.push('close') }
  }
  return { record, running, endDrain: () => { endDrain() } }
}

setLogLevel('error')

describe('signals', () => {
  it('drain first and close when the work has ended', async () => {
    const { record, running, endDrain } = createFake()
    const signals = new EventEmitter()
    const whole = runUntilSignal(Promise.resolve(running), signals)
    await Promise.resolve()
    signals.emit('SIGTERM')
    expect(record).toEqual(['drain'])
    endDrain()
    expect(await whole).toEqual(true)
    expect(record).toEqual(['drain', 'close'])
    expect(signals.listenerCount('SIGTERM')).toEqual(0)
  })

  it('close at once the second time', async () => {
    const { record, running } = createFake()
    const signals = new EventEmitter()
    const whole = runUntilSignal(Promise.resolve(running), signals)
    await Promise.resolve()
    signals.emit('SIGTERM')
    signals.emit('SIGINT')
    expect(await whole).toEqual(false)
    expect(record).toEqual(['drain', 'close'])
  })

  it('do not cut the work short when SIGTERM is sent again, as a supervisor may', async () => {
    const { record, running, endDrain } = createFake()
    const signals = new EventEmitter()
    const whole = runUntilSignal(Promise.resolve(running), signals)
    await Promise.resolve()
    for (let times = 0; times < 3; times++) signals.emit('SIGTERM')
    expect(record).toEqual(['drain'])
    endDrain()
    expect(await whole).toEqual(true)
    expect(record).toEqual(['drain', 'close'])
  })

  it('end a process whose drain fails, and say so', async () => {
    const signals = new EventEmitter()
    const whole = runUntilSignal(Promise.resolve({ drain: async () => { throw new Error('x') }, close: async () => {} }), signals)
    signals.emit('SIGTERM')
    expect(await whole).toEqual(false)
  })
})

describe('signals while the process starts', () => {
  it('drain it once it runs', async () => {
    const { record, running, endDrain } = createFake()
    const signals = new EventEmitter()
    let finishStart = (_running: RunningProcess): void => {}
    const whole = runUntilSignal(new Promise(resolve => { finishStart = resolve }), signals)
    signals.emit('SIGTERM')
    finishStart(running)
    await Promise.resolve()
    expect(record).toEqual(['drain'])
    endDrain()
    expect(await whole).toEqual(true)
  })

  it('end it at once the second time, also when the start hangs', async () => {
    const signals = new EventEmitter()
    const whole = runUntilSignal(new Promise(() => {}), signals)
    signals.emit('SIGTERM')
    signals.emit('SIGTERM')
    expect(await whole).toEqual(false)
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
  const starters: Starters = { router: async () => createFake().running, agent: async () => await Promise.reject(new Error('not this one')) }

  it('takes settings of its own role only', async () => {
    const running = await startProcess('router', { name: 'f', text }, starters)
    expect(typeof running.drain).toEqual('function')
    await expect(startProcess('agent', { name: 'f', text }, starters)).toBeRejectedWith(WrongRoleError)
    await expect(startProcess('router', { name: 'f', text: '{}' }, starters)).toBeRejectedWith(FindingsError)
  })
})
