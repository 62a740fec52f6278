/** Finds ports that stay free while the process that listens on them is down. */
import { createServer } from 'node:net'

/**
 * Ports that are tried: below those that the system gives to outgoing connections (32768 and more), which would take one
 * while its gateway starts again.
 */
const RANGE = { from: 20_000, to: 32_000 } as const

let next: number = RANGE.from + process.pid % (RANGE.to - RANGE.from)

const isFree = async (port: number): Promise<boolean> => await new Promise(resolve => {
  const probe = createServer()
  probe.once('error', () => { resolve(false) })
  probe.listen(port, '127.0.0.1', () => { probe.close(() => { resolve(true) }) })
})

/** @returns a port that nothing listens on and that was not given out before */
export const findLastingPort = async (): Promise<number> => {
  for (let tries = RANGE.from; tries < RANGE.to; tries++) {
    const port = next
    next = port + 1 < RANGE.to ? port + 1 : RANGE.from
    if (await isFree(port)) return port
  }
  throw new Error(`no port between ${RANGE.from} and ${RANGE.to} is free`)
}
