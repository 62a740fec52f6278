/** Finds out when a process accepts connections, as the health check of a balancer does. */
import { connect } from 'node:net'

/** Milliseconds between two tries. */
const TRY_PERIOD_MS = 100

const accepts = async (port: number): Promise<boolean> => await new Promise(resolve => {
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
 * @param wanted - the wait ends without success once this is false
 * @returns whether the port is open
 */
export const waitForPort = async (port: number, wanted: () => boolean): Promise<boolean> => {
  while (wanted()) {
    if (await accepts(port)) return true
    await new Promise(resolve => { setTimeout(resolve, TRY_PERIOD_MS) })
  }
  return false
}
