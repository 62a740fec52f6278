/** Tells how a connection ended whose end is that of a response. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Empty line in front of a request, which servers skip. */
const PROBE = '\r\n'

/** Returns whether a response has no other end than that of its connection. */
export const endsWithConnection = ({ headers }: IncomingMessage): boolean => headers['content-length'] === undefined && headers['transfer-encoding'] === undefined

/**
 * Waits for the end of a connection. Node.js reports an orderly end also when a reset arrives together with the last bytes; a write fails then.
 *
 * @param socket - connection that may still be written to
 * @returns whether it ended in an orderly way
 */
export const waitForOrderlyEnd = async (socket: Socket): Promise<boolean> => await new Promise(resolve => {
  // Node.js closes its side in a listener of its own.
  socket.prependOnceListener('end', () => { socket.write(PROBE, err => { resolve(err === undefined || err === null) }) })
  socket.once('close', () => { resolve(false) })
})
