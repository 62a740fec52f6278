import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { asId, type Millis, setLogLevel, systemClock, type ZoneId } from '@fuchsiaworks/kernel'
import type { PeerId } from '@fuchsiaworks/policy'
import { findPorts } from '@fuchsiaworks/standins'
import { ConnectionOffloader } from '../offload/connectionOffloader.js'
import { type Script, startWithSettings, testHeaders } from './gatewayFixtures.js'

setLogLevel('error')

/** Time after the caller has left by which no upstream may be at work for it. */
const MAX_WORK_AFTER_CLOSE_MS: Millis = 500

const cleanUps: Array<() => unknown> = []
afterEach(async () => { for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp() })

/** Requests at upstreams that have not ended, and all that have arrived. */
interface Work {
  running: number
  arrived: number
}

/** Upstream that never responds. */
const silent = (work: Work): Script => (_req, res) => {
  work.running += 1
  work.arrived += 1
  res.on('close', () => { work.running -= 1 })
}

const waitUntil = async (check: () => boolean, forMs: Millis = 3000): Promise<void> => {
  for (const endAt = performance.now() + forMs; !check();) {
    if (performance.now() > endAt) throw new Error(`condition not met within ${forMs} ms`)
    await new Promise(resolve => { setTimeout(resolve, 5) })
  }
}

/** Whether the gateway has accepted the connection, or a peer that gives it all of its connections. */
type Way = 'of its own' | 'of a peer'

/** Starts the port of the peer. */
const startPeer = async (peersPort: number): Promise<number> => {
  const offloader = new ConnectionOffloader(systemClock, testHeaders, 'h2')
  const peer = { id: asId<PeerId>('p1'), zone: asId<ZoneId>('east'), address: `127.0.0.1:${peersPort}`, isOutOfRotation: false, utilization: 0, revision: 1, acceptedPerSecond: 0 }
  offloader.prepare([peer], () => true)
  await waitUntil(() => offloader.isLinked(peer.id))
  const accepted: Socket[] = []
  const server: Server = createServer({ allowHalfOpen: true }, socket => {
    accepted.push(socket)
    offloader.offload(socket, peer.id, 0)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  cleanUps.push(() => {
    server.close()
    offloader.close()
    for (const socket of accepted) socket.destroy()
  })
  return (server.address() as AddressInfo).port
}

const request = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\n\r\n`

/** Sends bytes to a gateway with two silent upstreams, and leaves once a number of requests have arrived there. */
const sendAndLeave = async (way: Way, bytes: string, arrivals: number): Promise<Work> => {
  const work: Work = { running: 0, arrived: 0 }
  const [peersPort = 0] = await findPorts(1)
  const gateway = await startWithSettings({ peers: { host: '127.0.0.1', port: peersPort } }, silent(work), silent(work))
  cleanUps.push(async () => { await gateway.close() })
  const socket = connect(way === 'of a peer' ? await startPeer(peersPort) : gateway.callersPort, '127.0.0.1').on('error', () => {})
  socket.write(bytes)
  await waitUntil(() => work.arrived === arrivals)
  socket.end()
  return work
}

for (const way of ['of its own', 'of a peer'] as const) {
  describe(`a caller that leaves a connection ${way}`, () => {
    it('ends the requests that it has pipelined, not only the first', async () => {
      const work = await sendAndLeave(way, request('/once/x') + request('/once/x'), 2)
      await waitUntil(() => work.running === 0, MAX_WORK_AFTER_CLOSE_MS)
    })

    it('ends a second attempt', async () => {
      const work = await sendAndLeave(way, request('/safe/x'), 2)
      await waitUntil(() => work.running === 0, MAX_WORK_AFTER_CLOSE_MS)
    })
  })
}
