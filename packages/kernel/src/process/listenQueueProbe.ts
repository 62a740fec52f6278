/**
 * Measures how long a new connection waits until the process accepts it. Node.js cannot read the length of the listen queue,
 * so the probe connects to the own listening socket; its connection is accepted after those that are queued before it.
 */
import { connect, type Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'

/** Time after which a probe that was not accepted is given up; longer waits are reported as this long. */
const MAX_WAIT_MS: Millis = 10_000

/** Probes that wait at the same time; each takes a place in the listen queue. */
const MAX_PROBES = 10

/** Address of a listening socket. */
export interface ProbedAddress {
  readonly host: string
  readonly port: number
  /** Connections that may wait to be accepted. */
  readonly backlog: number
}

/** A probe that has not been accepted. */
interface WaitingProbe {
  readonly socket: Socket
  readonly startedAt: Millis
  /** Connections that had been accepted when it was started. */
  readonly acceptedBefore: number
}

/** Probes one listening socket. */
export class ListenQueueProbe {
  readonly #clock: Clock
  readonly #address: ProbedAddress
  /** Probes that wait, oldest first. */
  #waiting: WaitingProbe[] = []
  #lastWaitMs: Millis = 0
  #accepted = 0

  /**
   * @param clock - source of time
   * @param address - address of the own listening socket
   */
  constructor (clock: Clock, address: ProbedAddress) {
    this.#clock = clock
    this.#address = address
  }

  /** Time for which the last probe waited, or the oldest one has waited so far when that is longer. */
  get waitMs (): Millis {
    const [oldest] = this.#waiting
    return Math.max(this.#lastWaitMs, oldest === undefined ? 0 : Math.min(MAX_WAIT_MS, this.#clock.now() - oldest.startedAt))
  }

  /**
   * Time for which a connection that is accepted now has waited at least: it was queued before the probes that still wait. A probe that finds the queue
   * full is not in it, and may be overtaken once as many connections have been accepted as the queue holds.
   */
  get minWaitMs (): Millis {
    const probe = this.#waiting.find(one => !this.#mayBeOvertaken(one))
    return probe === undefined ? 0 : this.#clock.now() - probe.startedAt
  }

  /** Starts a probe unless as many as may wait already do. */
  start (): void {
    const now = this.#clock.now()
    for (const { socket } of this.#waiting.filter(({ startedAt }) => now - startedAt >= MAX_WAIT_MS)) this.#end(socket)
    // The oldest one is kept, as it tells how long connections wait that find the queue full.
    for (const { socket } of this.#waiting.slice(1).filter(probe => this.#mayBeOvertaken(probe))) this.#end(socket)
    if (this.#waiting.length >= MAX_PROBES) return
    const socket = connect(this.#address)
    this.#waiting.push({ socket, startedAt: now, acceptedBefore: this.#accepted })
    socket.on('error', () => { this.#end(socket) })
  }

  /**
   * Recognizes the connection of a probe among the accepted ones, and closes it.
   *
   * @returns whether the connection is a probe's
   */
  acceptConnection (accepted: Socket): boolean {
    this.#accepted += 1
    const position = this.#waiting.findIndex(({ socket }) => isOtherEnd(socket, accepted))
    const probe = this.#waiting[position]
    if (probe === undefined) return false
    this.#lastWaitMs = this.#clock.now() - probe.startedAt
    accepted.destroy()
    // A probe that was overtaken by a later one was not in the queue.
    for (const { socket } of this.#waiting.slice(0, position + 1)) this.#end(socket)
    return true
  }

  close (): void {
    for (const { socket } of this.#waiting) socket.destroy()
  }

  #mayBeOvertaken ({ acceptedBefore }: WaitingProbe): boolean {
    return this.#accepted - acceptedBefore >= this.#address.backlog
  }

  #end (socket: Socket): void {
    socket.destroy()
    this.#waiting = this.#waiting.filter(probe => probe.socket !== socket)
  }
}

/** The address is read from the socket itself, as `localPort` is set only by the connect event, which may come after the connection was accepted. */
const isOtherEnd = (socket: Socket, accepted: Socket): boolean => {
  const local = socket.address()
  return 'port' in local && accepted.remotePort === local.port && accepted.remoteAddress === local.address
}
