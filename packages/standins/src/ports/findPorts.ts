/** Finds free loopback ports for processes whose settings name each other's ports before they start. */
import { type AddressInfo, createServer } from 'node:net'

const listenOnFreePort = async (): Promise<ReturnType<typeof createServer>> => {
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', resolve)
  })
  return server
}

/**
 * Finds ports that are free at the time of the call. They are not reserved.
 *
 * @param count - how many
 * @returns distinct ports
 */
export const findPorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, listenOnFreePort))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async server => { await new Promise(resolve => { server.close(resolve) }) }))
  return ports
}
