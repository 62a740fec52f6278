/** Polls a TCP port until it accepts connections, like the health check of a load balancer. */
import { connect } from 'node:net'

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
 * Waits until a port on loopback accepts connections.
 *
 * @param port - the port
 * @param shouldContinue - polled before each attempt; false gives up
 * @returns true once the port is open; false when the wait was given up
 */
export const waitForPort = async (port: number, shouldContinue: () => boolean): Promise<boolean> => {
  while (shouldContinue()) {
    if (await acceptsConnections(port)) return true
    await new Promise(resolve => { setTimeout(resolve, CONNECT_RETRY_MS) })
  }
  return false
}
