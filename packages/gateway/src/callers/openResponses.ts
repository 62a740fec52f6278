/** Responses of each connection that have not ended. Node.js emits `close` only on the response that holds the socket, not on those to pipelined requests behind it. */
import type { ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Ends the responses that wait for their turn when their connection closes, and knows the connections whose last response has been chosen. */
export class OpenResponses {
  readonly #bySocket = new WeakMap<Duplex, Set<ServerResponse>>()
  readonly #closing = new WeakSet<Duplex>()

  /** Makes a response the last one of its connection, which it closes. */
  closeAfter (socket: Duplex, res: ServerResponse): void {
    this.#closing.add(socket)
    res.setHeader('connection', 'close')
  }

  /** True when a request behind the ones that were read would get no response, so that it must not be processed (RFC 9112, section 9.6). */
  isClosing (socket: Duplex): boolean {
    return this.#closing.has(socket)
  }

  /**
   * Adds the response to a request that was just read.
   *
   * @param socket - its connection
   * @param res - the response; emits `close` when the connection closes, whether or not its turn has come
   */
  add (socket: Duplex, res: ServerResponse): void {
    const open = this.#bySocket.get(socket) ?? this.#follow(socket)
    open.add(res)
    res.on('close', () => { open.delete(res) })
  }

  /** Closes a connection with a response in progress: an orderly close would declare one complete that ends with its connection. */
  breakOff (socket: Duplex): void {
    if (socket instanceof Socket) socket.resetAndDestroy()
    else socket.destroy()
  }

  #follow (socket: Duplex): Set<ServerResponse> {
    const open = new Set<ServerResponse>()
    this.#bySocket.set(socket, open)
    socket.on('close', () => {
      for (const res of [...open]) if (res.socket === null) res.destroy().emit('close')
    })
    return open
  }
}
