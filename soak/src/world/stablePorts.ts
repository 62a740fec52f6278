/** Finds ports that stay free while the process that listens on them is restarted. */
import { createServer } from 'node:net'

/**
 * Range to search, below the ephemeral ports (32768 and above): an outgoing connection could take an ephemeral port while
 * its gateway is restarted.
 */
const PORT_RANGE = { from: 20_000, to: 32_000 } as const

let nextPort: number = PORT_RANGE.from + process.pid % (PORT_RANGE.to - PORT_RANGE.from)

const isFree = async (port: number): Promise<boolean> => await new Promise(resolve => {
  const server = createServer()
  server.once('error', () => { resolve(false) })
  server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
})

/** @returns a port that nothing listens on and that was not returned before */
export const findStablePort = async (): Promise<number> => {
  for (let attempts = PORT_RANGE.from; attempts < PORT_RANGE.to; attempts++) {
    const port = nextPort
    nextPort = port + 1 < PORT_RANGE.to ? port + 1 : PORT_RANGE.from
    if (await isFree(port)) return port
  }
  throw new Error(`no free port between ${PORT_RANGE.from} and ${PORT_RANGE.to}`)
}
