/** Checks whether an upstream still listens after a connection to it broke; without requests to it a crash would show only when its entry expires. */
import { connect, type Socket } from 'node:net'
import type { Clock, Millis, Service } from '@fuchsiaworks/kernel'
import type { GatewayUpstream } from '../routing/routingTypes.js'

/** Time from a broken connection to the check; the connections of a process that ends may be reset before it stops listening. */
const CHECK_DELAY_MS: Millis = 40

/** Time limit for opening a connection. A host that does not respond is no evidence of a crash. */
const CONNECT_TIMEOUT_MS: Millis = 400

/** Time for which the connection has to stay open: a relay in front of an upstream accepts connections and resets them when the upstream has ended. */
const OPEN_MS: Millis = 100

/** Errors of a connection to a port that no process listens on. */
const UNREACHABLE_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET'])

/** @returns undefined when the address is none, so that there is nothing to check */
const openSocket = (address: string): Socket | undefined => {
  try {
    const { hostname, port } = new URL(`http://${address}`)
    return connect({ host: hostname, port: Number(port) })
  } catch {
    return undefined
  }
}

/** Opens connections and closes them again without a request. */
export class ReachabilityCheck implements Service {
  /** Sockets by address, and addresses whose check is due soon. */
  readonly #checks = new Map<string, Socket | undefined>()
  #isClosed = false

  /**
   * @param clock - source of timers
   * @param onUnreachable - called when connections to the upstream are refused, or reset before anything is sent
   * @param onBytes - called with the bytes of each check
   */
  constructor (readonly clock: Clock, readonly onUnreachable: (upstream: GatewayUpstream) => void, readonly onBytes: (upstream: GatewayUpstream, bytes: number) => void = () => {}) {}

  /** Checks an upstream soon, unless a check of its address is in progress. */
  schedule (upstream: GatewayUpstream): void {
    const { address } = upstream
    if (this.#isClosed || this.#checks.has(address)) return
    this.#checks.set(address, undefined)
    this.clock.after(CHECK_DELAY_MS, () => { if (!this.#isClosed) this.#check(upstream) })
  }

  close (): void {
    this.#isClosed = true
    for (const socket of this.#checks.values()) socket?.destroy()
    this.#checks.clear()
  }

  #check (upstream: GatewayUpstream): void {
    const socket = openSocket(upstream.address)
    if (socket === undefined) {
      this.#checks.delete(upstream.address)
      return
    }
    this.#checks.set(upstream.address, socket)
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => { socket.destroy() })
    socket.on('connect', () => { socket.setTimeout(OPEN_MS) })
    socket.on('error', (err: NodeJS.ErrnoException) => { if (UNREACHABLE_CODES.has(err.code ?? '') && !this.#isClosed) this.onUnreachable(upstream) })
    socket.on('close', () => {
      this.#checks.delete(upstream.address)
      this.onBytes(upstream, socket.bytesRead + socket.bytesWritten)
    })
  }
}
