/** Finds out when a process accepts connections, as the health check of a balancer does. */
import { connect } from 'node:net'

/** Milliseconds between two tries. */
const CONNECT_RETRY_MS = 100

const acceptsConnections = async (port: number): Promise<boolean> => await new Promise(resolve => {
  const socket = connect({ host: '127.0.0.1', port })
  socket.once('connect', () => {
    socket.destroy()
    resolve(true)
  })
  socket.once('error', () => { resolve(false) })
})

/**
 * Waits for a port to open.
 *
 * @param port - on loopback
 * @param shouldContinue - the wait ends without success once this is false
 * @returns whether the port is open
 */
export const waitForPort = async (port: number, shouldContinue: () => boolean): Promise<boolean> => {
  while (shouldContinue()) {
    if (await acceptsConnections(port)) return true
    await new Promise(resolve => { setTimeout(resolve, CONNECT_RETRY_MS) })
  }
  return false
}
