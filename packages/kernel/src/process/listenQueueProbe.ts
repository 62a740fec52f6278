/**
 * Measures how long a new connection waits until the process accepts it. Node.js cannot read the length of the listen queue,
 * so the probe connects to the own listening socket; its connection is accepted after those that are queued before it.
 */
import { connect, type Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'

/** Time after which a probe that was not accepted is given up; longer waits are reported as this long. */
const MAX_WAIT_MS: Millis = 10_000

/** Address of a listening socket. */
export interface ProbedAddress {
  readonly host: string
  readonly port: number
}

/** Probes one listening socket. */
export class ListenQueueProbe {
  readonly #clock: Clock
  readonly #address: ProbedAddress
  #socket: Socket | undefined
  #startedAt: Millis = 0
  #lastWaitMs: Millis = 0

  /**
   * @param clock - source of time
   * @param address - address of the own listening socket
   */
  constructor (clock: Clock, address: ProbedAddress) {
    this.#clock = clock
    this.#address = address
  }

  /** Time for which the last probe waited, or the current one has waited so far when that is longer. */
  get waitMs (): Millis {
    return Math.max(this.#lastWaitMs, this.#socket === undefined ? 0 : Math.min(MAX_WAIT_MS, this.#clock.now() - this.#startedAt))
  }

  /** Starts a probe unless the previous one still waits. */
  start (): void {
    if (this.#socket !== undefined && this.#clock.now() - this.#startedAt < MAX_WAIT_MS) return
    this.#socket?.destroy()
    this.#startedAt = this.#clock.now()
    const socket = connect(this.#address)
    this.#socket = socket
    socket.on('error', () => { this.#end(socket) })
  }

  /**
   * Recognizes the connection of the probe among the accepted ones, and closes it.
   *
   * @returns whether the connection is the probe's
   */
  acceptConnection (accepted: Socket): boolean {
    const probe = this.#socket
    if (probe === undefined || !isOtherEnd(probe, accepted)) return false
    this.#lastWaitMs = this.#clock.now() - this.#startedAt
    accepted.destroy()
    this.#end(probe)
    return true
  }

  close (): void {
    this.#socket?.destroy()
  }

  #end (socket: Socket): void {
    socket.destroy()
    if (this.#socket === socket) this.#socket = undefined
  }
}

/** The address is read from the socket itself, as `localPort` is set only by the connect event, which may come after the connection was accepted. */
const isOtherEnd = (socket: Socket, accepted: Socket): boolean => {
  const local = socket.address()
  return 'port' in local && accepted.remotePort === local.port && accepted.remoteAddress === local.address
}
