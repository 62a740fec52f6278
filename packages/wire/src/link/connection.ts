/** Wrapper of one WebSocket, before and after authentication: binary messages in and out, and the reason of its end. */
import { toError, type Clock } from '@fuchsiaworks/kernel'
import type { RawData, WebSocket } from 'ws'
import { CLOSE_GRACE_MS, MAX_SOCKET_BUFFER_BYTES } from './linkConstants.js'

/** Event handlers of a connection. They are replaced once, when the handshake has completed. */
export interface ConnectionHandlers {
  receive: (data: Uint8Array) => void
  /** The peer violated the WebSocket protocol, or sent a text message or an oversized one. */
  malformed: () => void
  closed: (reason: string) => void
  /** The socket buffer is at most half full again; called only after `requestDrained`. */
  drained: () => void
}

/** Handlers that ignore every event. */
export const noopHandlers: ConnectionHandlers = { receive: () => {}, malformed: () => {}, closed: () => {}, drained: () => {} }

const isProtocolError = (err: Error): boolean => 'code' in err && String(err.code).startsWith('WS_ERR_')

/** Connection that carries a session. */
export class Connection {
  handlers: ConnectionHandlers = noopHandlers
  #reason = 'closed by the peer'
  #notifyWhenDrained = false

  /**
   * @param socket - the WebSocket
   * @param clock - source of time
   */
  constructor (readonly socket: WebSocket, readonly clock: Clock) {
    socket.on('message', (data, isBinary) => { this.#receive(data, isBinary) })
    socket.on('error', err => { this.#fail(err) })
    socket.on('close', () => { this.handlers.closed(this.#reason) })
  }

  /** Bytes that can be sent before the socket buffer is full. */
  get writableBytes (): number {
    return Math.max(0, MAX_SOCKET_BUFFER_BYTES - this.socket.bufferedAmount)
  }

  /** Requests one call of `drained` when the data sent so far has drained to at most half of the socket buffer. */
  notifyWhenDrained (): void {
    this.#notifyWhenDrained = true
  }

  /**
   * Sends one binary message.
   *
   * @param data - payload of the message
   */
  send (data: Uint8Array): void {
    this.socket.send(data, this.#afterSend)
  }

  /**
   * Drops the connection immediately. Of the handlers, only `closed` is still called.
   *
   * @param reason - reason passed to `closed`
   */
  terminate (reason: string): void {
    this.#reason = reason
    this.handlers = { ...noopHandlers, closed: this.handlers.closed }
    this.socket.terminate()
  }

  /** Closes the connection once the sent data has been flushed, or terminates it after a grace period. */
  closeGracefully (): void {
    this.#reason = 'closed here'
    this.socket.close()
    const timer = this.clock.after(CLOSE_GRACE_MS, () => { this.socket.terminate() })
    this.socket.once('close', () => { timer.close() })
  }

  readonly #afterSend = (): void => {
    if (!this.#notifyWhenDrained || this.socket.bufferedAmount > MAX_SOCKET_BUFFER_BYTES / 2) return
    this.#notifyWhenDrained = false
    this.handlers.drained()
  }

  #receive (data: RawData, isBinary: boolean): void {
    if (isBinary && data instanceof Uint8Array) this.handlers.receive(data)
    else this.handlers.malformed()
  }

  #fail (thrown: unknown): void {
    const err = toError(thrown)
    this.#reason = err.message
    if (isProtocolError(err)) this.handlers.malformed()
    this.socket.terminate()
  }
}
