/** Test fixture: a port whose connections a gateway serves as the peer of another one. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { asId, systemClock, type ZoneId } from '@fuchsiaworks/kernel'
import type { PeerId } from '@fuchsiaworks/policy'
import { testHeaders } from '../process/gatewayFixtures.js'
import { ConnectionOffloader } from './connectionOffloader.js'

const PEER = asId<PeerId>('p1')

const LINK_CHECK_MS = 5

/** A port in place of a gateway that gives all of its connections away. */
export interface OffloadingPort {
  readonly port: number
  readonly close: () => void
}

/**
 * Starts the port once it is linked with the gateway that serves its connections.
 *
 * @param peersPort - port for peers of that gateway
 */
export const startOffloadingPort = async (peersPort: number): Promise<OffloadingPort> => {
  const offloader = new ConnectionOffloader(systemClock, testHeaders, 'h2')
  offloader.prepare([{ id: PEER, zone: asId<ZoneId>('east'), address: `127.0.0.1:${peersPort}`, isOutOfRotation: false, utilization: 0, revision: 1, acceptedPerSecond: 0 }], () => true)
  while (!offloader.isLinked(PEER)) await new Promise(resolve => { setTimeout(resolve, LINK_CHECK_MS) })
  const accepted = new Set<Socket>()
  const server = createServer({ allowHalfOpen: true, noDelay: true }, socket => {
    accepted.add(socket)
    socket.on('close', () => { accepted.delete(socket) })
    if (!offloader.offload(socket, PEER, 0)) socket.destroy()
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      offloader.close()
      server.close()
      for (const socket of accepted) socket.destroy()
    }
  }
}
