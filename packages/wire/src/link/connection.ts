/** One authenticated or half-open WebSocket: bytes in and out, and a single word on how it ended. */
import { toError, type Clock } from '@fuchsiaworks/kernel'
import type { RawData, WebSocket } from 'ws'
import { CLOSE_GRACE_MS, MAX_SOCKET_BUFFER_BYTES } from './linkConstants.js'

/** Who takes what a connection receives. It changes once, when the handshake is over. */
export interface ConnectionHandlers {
  receive: (data: Uint8Array) => void
  /** The peer broke the WebSocket protocol, sent a text or a frame that is too long. */
  malformed: () => void
  closed: (reason: string) => void
  /** The socket buffer has room again. */
  drained: () => void
}

/** A user that ignores everything. */
export const noopHandlers: ConnectionHandlers = { receive: () => {}, malformed: () => {}, closed: () => {}, drained: () => {} }

const isProtocolError = (err: Error): boolean => 'code' in err && String(err.code).startsWith('WS_ERR_')

/** Connection beneath a session. */
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

  /** Bytes that may be sent before the socket buffer is full. */
  get writableBytes (): number {
    return Math.max(0, MAX_SOCKET_BUFFER_BYTES - this.socket.bufferedAmount)
  }

  /** Asks for a call of `drained` once the socket buffer is at most half full. What was sent is still on its way. */
  requestDrained (): void {
    this.#notifyWhenDrained = true
  }

  /**
   * Sends one binary message.
   *
   * @param data - its bytes
   */
  send (data: Uint8Array): void {
    this.socket.send(data, this.#afterSend)
  }

  /**
   * Drops the connection at once.
   *
   * @param reason - what its user hears
   */
  terminate (reason: string): void {
    this.#reason = reason
    this.handlers = { ...noopHandlers, closed: this.handlers.closed }
    this.socket.terminate()
  }

  /** Closes the connection after what was sent, or after a short time. */
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
