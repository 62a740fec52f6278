/** Finds ports that stay free while the process that listens on them is restarted. */
import { createServer } from 'node:net'

/**
 * Range to search, below the ephemeral ports (32768 and above): an outgoing connection could take an ephemeral port while
 * its gateway is restarted.
 */
const PORT_RANGE = { from: 20_000, to: 32_000 } as const

/** Ports of a block. A process claims blocks by listening on their first ports, as another one may look for ports that are not listened on yet. */
const BLOCK_SIZE = 100
const BLOCKS = (PORT_RANGE.to - PORT_RANGE.from) / BLOCK_SIZE

/** Ports of the claimed block that were not returned yet. */
let available: number[] = []
let nextBlock = process.pid % BLOCKS
/** The block that is being claimed; undefined while none is. */
let claiming: Promise<void> | undefined

/** Listens on a port; false when something else does. */
const claim = async (port: number): Promise<boolean> => await new Promise(resolve => {
  const server = createServer()
  server.once('error', () => { resolve(false) })
  server.listen(port, '127.0.0.1', () => { resolve(true) })
  server.unref()
})

const isFree = async (port: number): Promise<boolean> => await new Promise(resolve => {
  const server = createServer()
  server.once('error', () => { resolve(false) })
  server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
})

const claimBlock = async (): Promise<void> => {
  for (let attempts = 0; attempts < BLOCKS; attempts++) {
    const first = PORT_RANGE.from + nextBlock * BLOCK_SIZE
    nextBlock = (nextBlock + 1) % BLOCKS
    if (!await claim(first)) continue
    available = Array.from({ length: BLOCK_SIZE - 1 }, (_, nth) => first + 1 + nth)
    claiming = undefined
    return
  }
  throw new Error(`no free block of ports between ${PORT_RANGE.from} and ${PORT_RANGE.to}`)
}

/** @returns a port that nothing listens on, and that was not returned before to this or another process */
export const findStablePort = async (): Promise<number> => {
  for (;;) {
    const port = available.shift()
    if (port !== undefined && await isFree(port)) return port
    if (port !== undefined) continue
    claiming ??= claimBlock()
    await claiming
  }
}
