import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import { systemClock } from '../clock/clock.js'
import { ListenQueueProbe } from './listenQueueProbe.js'

const servers: Server[] = []
after(() => { for (const server of servers) server.close() })

const pause = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

/** Starts a probed server; `others` holds the accepted connections that are not the probe's. */
const startProbed = async (): Promise<{ probe: ListenQueueProbe, others: Socket[], port: number }> => {
  const others: Socket[] = []
  const server = createServer(socket => { if (!probe.acceptConnection(socket)) others.push(socket) })
  servers.push(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const probe = new ListenQueueProbe(systemClock, { host: '127.0.0.1', port })
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
