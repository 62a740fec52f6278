/** Finds ports that stay free while the process that listens on them is down. */
import { createServer } from 'node:net'

/**
 * Ports that are tried: below those that the system gives to outgoing connections (32768 and more), which would take one
 * while its gateway starts again.
 */
const PORT_RANGE = { from: 20_000, to: 32_000 } as const

let nextPort: number = PORT_RANGE.from + process.pid % (PORT_RANGE.to - PORT_RANGE.from)

const isFree = async (port: number): Promise<boolean> => await new Promise(resolve => {
  const server = createServer()
  server.once('error', () => { resolve(false) })
  server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
})

/** @returns a port that nothing listens on and that was not given out before */
export const findStablePort = async (): Promise<number> => {
  for (let attempts = PORT_RANGE.from; attempts < PORT_RANGE.to; attempts++) {
    const port = nextPort
    nextPort = port + 1 < PORT_RANGE.to ? port + 1 : PORT_RANGE.from
    if (await isFree(port)) return port
  }
  throw new Error(`no port between ${PORT_RANGE.from} and ${PORT_RANGE.to} is free`)
}
