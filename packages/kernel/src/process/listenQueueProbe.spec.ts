import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import { systemClock } from '../clock/clock.js'
import { ListenQueueProbe } from './listenQueueProbe.js'

const servers: Server[] = []
after(() => { for (const server of servers) server.close() })

const pause = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

/** Starts a probed server; `others` holds the accepted connections that are not the probe's, and `onAccept` is called before each one is handled. */
const startProbed = async (onAccept = (): void => {}, backlog = 128): Promise<{ probe: ListenQueueProbe, others: Socket[], port: number }> => {
  const others: Socket[] = []
  const server = createServer(socket => {
    onAccept()
    if (!probe.acceptConnection(socket)) others.push(socket)
  })
  servers.push(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const probe = new ListenQueueProbe(systemClock, { host: '127.0.0.1', port, backlog })
  return { probe, others, port }
}

describe('a listen queue probe', () => {
  it('reports a short wait for a process that accepts at once', async () => {
    const { probe, others } = await startProbed()
    probe.start()
    await pause(50)
    expect(probe.waitMs).toBeLessThan(50)
    expect(others.length).toEqual(0)
  })

  it('reports how long a blocked process kept new connections waiting', async () => {
    const { probe, others } = await startProbed()
    probe.start()
    const blockedUntil = performance.now() + 200
    while (performance.now() < blockedUntil);
    expect(probe.waitMs).toBeGreaterThanOrEqual(200)
    await pause(50)
    expect(probe.waitMs).toBeGreaterThanOrEqual(200)
    expect(others.length).toEqual(0)
  })

  /** Opens connections and a probe, and blocks the process once the first of them is accepted; returns the waits that are known of each. */
  const blockWhileQueued = async (connections: number, backlog?: number): Promise<number[]> => {
    const waits: number[] = []
    const { probe, port } = await startProbed(() => {
      waits.push(probe.minWaitMs)
      if (waits.length > 1) return
      const blockedUntil = performance.now() + 200
      while (performance.now() < blockedUntil);
    }, backlog)
    const callers = Array.from({ length: connections }, () => connect(port, '127.0.0.1'))
    await new Promise(resolve => { process.nextTick(resolve) })
    probe.start()
    await pause(400)
    callers.push(connect(port, '127.0.0.1'))
    await pause(50)
    for (const caller of callers) caller.destroy()
    return waits
  }

  it('knows how long connections have waited at least that were queued before it, and nothing of later ones', async () => {
    const waits = await blockWhileQueued(4)
    expect(waits.length).toEqual(6)
    for (const wait of waits.slice(1, 5)) expect(wait).toBeGreaterThanOrEqual(200)
    expect(waits[5]).toEqual(0)
  })

  it('knows nothing of connections that may have overtaken it, as it found the queue full', async () => {
    const waits = await blockWhileQueued(4, 2)
    expect(waits[1] ?? 0).toBeGreaterThanOrEqual(200)
    expect(waits.slice(2)).toEqual([0, 0, 0, 0])
  })

  it('leaves the connections of others alone', async () => {
    const { probe, others, port } = await startProbed()
    probe.start()
    const caller = connect(port, '127.0.0.1')
    await pause(50)
    expect(others.length).toEqual(1)
    expect(others[0]?.destroyed).toEqual(false)
    caller.destroy()
  })
})
