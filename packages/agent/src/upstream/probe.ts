/** Checks whether an upstream accepts TCP connections, without sending a request. */
import { connect } from 'node:net'

/** Milliseconds after which a connection attempt counts as failed. */
const PROBE_TIMEOUT_MS = 1_000

/** Default ports by URL scheme. */
const DEFAULT_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 }

/**
 * Opens and closes a connection.
 *
 * @param url - origin of the upstream
 * @returns true when the upstream accepted the connection
 */
export const probeUpstream = (url: string): Promise<boolean> => {
  const { hostname, port, protocol } = new URL(url)
  return new Promise(resolve => {
    const socket = connect({ host: hostname, port: port === '' ? DEFAULT_PORTS[protocol] ?? 80 : Number(port) })
    const finish = (ok: boolean): void => {
      socket.destroy()
      resolve(ok)
    }
    socket.setTimeout(PROBE_TIMEOUT_MS, () => { finish(false) })
    socket.once('connect', () => { finish(true) })
    socket.once('error', () => { finish(false) })
  })
}
