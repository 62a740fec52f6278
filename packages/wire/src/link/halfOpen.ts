/** Limits the number, age and received bytes of connections that are not authenticated yet. */
import type { Socket } from 'node:net'
import type { Clock, Timer } from '@fuchsiaworks/kernel'
import { MAX_HANDSHAKE_BYTES, HANDSHAKE_TIMEOUT_MS, MAX_HALF_OPEN } from './linkConstants.js'

interface HalfOpenSocket {
  readonly socket: Socket
  /** Remove the event listeners and cancel the timer. */
  readonly cleanups: Array<() => void>
}

/** Key by remote address and port, because a TLS socket wraps the TCP socket and both have to map to the same entry. */
const keyOf = (socket: Socket): string => `${socket.remoteAddress ?? ''} ${socket.remotePort ?? ''}`

/** Tracks connections from the TCP handshake until they are authenticated. */
export class HalfOpenSockets {
  readonly #sockets = new Map<string, HalfOpenSocket>()

  /**
   * @param clock - source of time
   * @param limit - maximum number of connections; beyond it, the oldest is dropped
   */
  constructor (readonly clock: Clock, readonly limit: number = MAX_HALF_OPEN) {}

  /** Number of connections that are neither authenticated nor closed. */
  get size (): number {
    return this.#sockets.size
  }

  /**
   * Tracks a new connection.
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
   * Limits the bytes that a tracked connection may receive.
   *
   * @param socket - the TCP socket, or the TLS socket that wraps it
   */
  limitBytes (socket: Socket): void {
    const count = (): void => { if (socket.bytesRead > MAX_HANDSHAKE_BYTES) socket.destroy() }
    socket.on('data', count)
    this.#sockets.get(keyOf(socket))?.cleanups.push(() => { socket.off('data', count) })
  }

  /**
   * Stops tracking a connection whose peer has been authenticated.
   *
   * @param socket - the TCP or TLS socket
   */
  release (socket: Socket): void {
    this.#untrack(keyOf(socket))
  }

  /** Destroys every tracked connection. */
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
