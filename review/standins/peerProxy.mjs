/** Relays in front of the ports on which gateways reach each other, so that single gateways can be partitioned from all others. */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'
import { connect, createServer } from 'node:net'

const hexOf = port => port.toString(16).toUpperCase().padStart(4, '0')

/** Inode of the socket of this host that is bound to a port. */
const inodeOf = port => {
  const line = readFileSync('/proc/net/tcp', 'utf8').split('\n').find(text => text.trim().split(/\s+/)[1]?.endsWith(`:${hexOf(port)}`))
  return line?.trim().split(/\s+/)[9]
}

/** Whether one of the processes, which the test has started, holds a socket. */
const holds = (pid, inode) => {
  try {
    return readdirSync(`/proc/${pid}/fd`).some(fd => {
      try {
        return readlinkSync(`/proc/${pid}/fd/${fd}`) === `socket:[${inode}]`
      } catch {
        return false
      }
    })
  } catch {
    return false
  }
}

/** All relays; each gateway advertises the address of its own. */
export class PeerProxies {
  #gateways
  #servers = []
  #pairs = new Set()
  #cut = new Set()

  /** @param gateways - with `nth`, `child` and the address `peers` on which each listens */
  constructor (gateways) {
    this.#gateways = gateways
  }

  async start () {
    for (const gateway of this.#gateways) {
      const server = createServer(socket => { this.#relay(gateway, socket) })
      await new Promise(resolve => { server.listen(0, gateway.host, resolve) })
      gateway.advertised = `${gateway.host}:${server.address().port}`
      this.#servers.push(server)
    }
  }

  /** Partitions gateways from all others: bytes between them are dropped, and new connections hang. */
  cut (gateways) {
    this.#cut = new Set(gateways)
  }

  /** Ends the partition; connections that were open in it are reset. */
  heal () {
    this.#cut = new Set()
    for (const { ends, isDropped } of [...this.#pairs]) if (isDropped) for (const end of ends) end.destroy()
  }

  close () {
    for (const server of this.#servers) server.close()
    for (const { ends } of this.#pairs) for (const end of ends) end.destroy()
  }

  #relay (to, socket) {
    const inode = inodeOf(socket.remotePort)
    const from = this.#gateways.find(({ child }) => child !== undefined && holds(child.pid, inode))
    const [host, port] = to.peers.split(':')
    const isCut = () => this.#cut.has(to) || this.#cut.has(from)
    const pair = { ends: [socket], isDropped: false }
    this.#pairs.add(pair)
    const end = () => {
      for (const one of pair.ends) one.destroy()
      this.#pairs.delete(pair)
    }
    const pass = (source, target) => {
      source.on('data', bytes => {
        if (isCut()) pair.isDropped = true
        else target.write(bytes)
      })
    }
    socket.on('error', () => {})
    socket.on('close', end)
    if (isCut()) {
      pair.isDropped = true
      socket.resume()
      return
    }
    const target = connect(Number(port), host)
    pair.ends.push(target)
    target.on('error', () => {})
    target.on('close', end)
    pass(socket, target)
    pass(target, socket)
  }
}
