import { once } from 'node:events'
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { asId, systemClock, type UpstreamId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import { ReachabilityCheck } from './reachabilityCheck.js'

const CHECKED_WITHIN_MS = 250

const upstreamOn = (port: number): GatewayUpstream =>
  ({ id: asId<UpstreamId>('u1'), service: asId('plain'), address: `127.0.0.1:${port}`, zone: asId('east'), version: undefined, slots: 8, isDraining: false, startedAt: 1, coldUntil: 0 })

const listen = async (accept: (socket: Socket) => void): Promise<{ server: Server, port: number }> => {
  const server = createServer(accept).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { server, port: (server.address() as AddressInfo).port }
}

/** Checks an upstream several times at once, and counts the calls. */
const countUnreachable = async (port: number, isClosed = false): Promise<number> => {
  let calls = 0
  const check = new ReachabilityCheck(systemClock, () => { calls += 1 })
  for (let nth = 0; nth < 3; nth++) check.schedule(upstreamOn(port))
  if (isClosed) check.close()
  await new Promise(resolve => { setTimeout(resolve, CHECKED_WITHIN_MS) })
  check.close()
  return calls
}

describe('the check whether an upstream still listens', () => {
  it('finds one that refuses connections, once for several connections that broke', async () => {
    const { server, port } = await listen(() => {})
    server.close()
    await once(server, 'close')
    expect(await countUnreachable(port)).toEqual(1)
  })

  it('finds one whose relay resets each connection', async () => {
    const { server, port } = await listen(socket => { socket.resetAndDestroy() })
    expect(await countUnreachable(port)).toEqual(1)
    server.close()
  })

  it('finds nothing about one that accepts connections, and sends it nothing', async () => {
    const received: Buffer[] = []
    const { server, port } = await listen(socket => { socket.on('data', data => { received.push(data) }) })
    expect(await countUnreachable(port)).toEqual(0)
    expect(received).toEqual([])
    server.close()
  })

  it('finds nothing about an address that is none', async () => {
    expect(await countUnreachable(70_000)).toEqual(0)
  })

  it('reports nothing once it is closed', async () => {
    const { server, port } = await listen(socket => { socket.resetAndDestroy() })
    expect(await countUnreachable(port, true)).toEqual(0)
    server.close()
  })
})
