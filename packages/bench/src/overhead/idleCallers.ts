/** Opens many keep-alive connections to a router, each idle after one request. */
import { type Socket, connect } from 'node:net'
import { once } from 'node:events'

/** Number of connections that are opened at a time. */
const BATCH_SIZE = 200

const openConnection = async (port: number, request: string): Promise<Socket> => {
  const socket = connect({ host: '127.0.0.1', port })
  await once(socket, 'connect')
  socket.write(request)
  await once(socket, 'data')
  return socket
}

/** A group of idle connections. */
export interface IdleCallers {
  /** Counts the connections that are still open. */
  readonly openCount: () => number
  readonly close: () => void
}

/**
 * Opens connections, sends one request on each and waits for the first bytes of its response.
 *
 * @param url - URL of the router
 * @param request - text of the HTTP request
 * @param count - number of connections
 * @returns the open connections
 */
export const openIdleCallers = async (url: string, request: string, count: number): Promise<IdleCallers> => {
  const port = Number(new URL(url).port)
  const sockets: Socket[] = []
  for (let opened = 0; opened < count; opened += BATCH_SIZE) {
    const batch = Array.from({ length: Math.min(BATCH_SIZE, count - opened) }, async () => await openConnection(port, request))
    sockets.push(...await Promise.all(batch))
  }
  for (const socket of sockets) socket.on('error', () => {})
  return {
    openCount: () => sockets.filter(socket => !socket.destroyed && socket.readable).length,
    close: () => { for (const socket of sockets) socket.destroy() }
  }
}
