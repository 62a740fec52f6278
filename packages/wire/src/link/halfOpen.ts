/** Bounds the connections that have not proved themselves: their number, age and bytes. */
import type { Socket } from 'node:net'
import type { Clock, Timer } from '@fuchsiaworks/kernel'
import { HANDSHAKE_BYTES, HANDSHAKE_MS, MAX_HALF_OPEN } from './linkConstants.js'

interface HalfOpenSocket {
  readonly socket: Socket
  readonly timer: Timer
  readonly forget: () => void
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
    const count = (): void => { if (socket.bytesRead > HANDSHAKE_BYTES) socket.destroy() }
    const timer = this.clock.after(HANDSHAKE_MS, () => { socket.destroy() })
    const forget = (): void => { this.#forget(key) }
    this.#sockets.set(key, { socket, timer, forget: () => { socket.off('data', count).off('close', forget) } })
    socket.on('data', count).on('close', forget)
    if (this.#sockets.size > this.limit) this.#dropOldest()
  }

  /**
   * Ends the watch: the peer is authenticated.
   *
   * @param socket - the TCP or TLS socket
   */
  release (socket: Socket): void {
    this.#forget(keyOf(socket))
  }

  /** Destroys every watched connection. */
  close (): void {
    for (const [key, { socket }] of [...this.#sockets]) {
      this.#forget(key)
      socket.destroy()
    }
  }

  #dropOldest (): void {
    const [oldest] = this.#sockets
    if (oldest === undefined) return
    this.#forget(oldest[0])
    oldest[1].socket.destroy()
  }

  #forget (key: string): void {
    const entry = this.#sockets.get(key)
    if (entry === undefined) return
    this.#sockets.delete(key)
    entry.timer.close()
    entry.forget()
  }
}
