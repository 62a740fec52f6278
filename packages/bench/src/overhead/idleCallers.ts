/** Opens many connections to a router that send nothing after their first answer. */
import { type Socket, connect } from 'node:net'
import { once } from 'node:events'

/** Connections that are opened at the same time. */
const WAVE = 200

const openOne = async (port: number, request: string): Promise<Socket> => {
  const socket = connect({ host: '127.0.0.1', port })
  await once(socket, 'connect')
  socket.write(request)
  await once(socket, 'data')
  return socket
}

/** Connections that stay open. */
export interface IdleCallers {
  /** Connections that are still open. */
  readonly open: () => number
  readonly close: () => void
}

/**
 * Opens connections, each with one answered request.
 *
 * @param url - address of the router
 * @param request - the HTTP request in text
 * @param count - number of connections
 * @returns the open connections
 */
export const openIdleCallers = async (url: string, request: string, count: number): Promise<IdleCallers> => {
  const port = Number(new URL(url).port)
  const sockets: Socket[] = []
  for (let opened = 0; opened < count; opened += WAVE) {
    const wave = Array.from({ length: Math.min(WAVE, count - opened) }, async () => await openOne(port, request))
    sockets.push(...await Promise.all(wave))
  }
  for (const socket of sockets) socket.on('error', () => {})
  return {
    open: () => sockets.filter(socket => !socket.destroyed && socket.readable).length,
    close: () => { for (const socket of sockets) socket.destroy() }
  }
}
