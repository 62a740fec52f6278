/** Bounds the connections that have not proved themselves: their number, age and bytes. */
import type { Socket } from 'node:net'
import type { Clock, Timer } from '@fuchsiaworks/kernel'
import { MAX_HANDSHAKE_BYTES, HANDSHAKE_TIMEOUT_MS, MAX_HALF_OPEN } from './linkConstants.js'

interface HalfOpenSocket {
  readonly socket: Socket
  /** Takes the listeners off again and cancels the timer. */
  readonly cleanups: Array<() => void>
}

/** TLS wraps a socket in another one; both have the same remote port. */
const keyOf = (socket: Socket): string => `${socket.remoteAddress ?? ''} ${socket.remotePort ?? ''}`

/** Connections between their TCP handshake and their authentication. */
export class HalfOpenSockets {
  readonly #sockets = new Map<string, HalfOpenSocket>()

  /**
   * @param clock - source of time
   * @param limit - connections that are kept; the oldest gives way
   */
  constructor (readonly clock: Clock, readonly limit: number = MAX_HALF_OPEN) {}

  /** Connections that are neither authenticated nor closed. */
  get size (): number {
    return this.#sockets.size
  }

  /**
   * Watches a new connection.
   *
   * @param socket - the accepted TCP socket
   */
  add (socket: Socket): void {
    const key = keyOf(socket)
    const timer: Timer = this.clock.after(HANDSHAKE_TIMEOUT_MS, () => { socket.destroy() })
    const forget = (): void => { this.#untrack(key) }
    socket.on('close', forget)
    this.#sockets.set(key, { socket, cleanups: [() => { timer.close() }, () => { socket.off('close', forget) }] })
    this.limitBytes(socket)
    if (this.#sockets.size > this.limit) this.#dropOldest()
  }

  /**
   * Bounds what a watched connection receives.
   *
   * @param socket - the TCP socket, or the TLS socket around it
   */
  limitBytes (socket: Socket): void {
    const count = (): void => { if (socket.bytesRead > MAX_HANDSHAKE_BYTES) socket.destroy() }
    socket.on('data', count)
    this.#sockets.get(keyOf(socket))?.cleanups.push(() => { socket.off('data', count) })
  }

  /**
   * Ends the watch: the peer is authenticated.
   *
   * @param socket - the TCP or TLS socket
   */
  release (socket: Socket): void {
    this.#untrack(keyOf(socket))
  }

  /** Destroys every watched connection. */
  close (): void {
    for (const [key, { socket }] of [...this.#sockets]) {
      this.#untrack(key)
      socket.destroy()
    }
  }

  #dropOldest (): void {
    const [oldest] = this.#sockets
    if (oldest === undefined) return
    this.#untrack(oldest[0])
    oldest[1].socket.destroy()
  }

  #untrack (key: string): void {
    const entry = this.#sockets.get(key)
    if (entry === undefined) return
    this.#sockets.delete(key)
    for (const cleanUp of entry.cleanups) cleanUp()
  }
}
