/** A caller's connection that a peer gateway accepted, as a socket that this gateway's HTTP server can serve. */
import { Duplex } from 'node:stream'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import { ReceiveCredit, SendCredit } from './creditWindow.js'
import type { OffloadLink } from './offloadLink.js'
import type { ConnectionNumber } from './offloadTypes.js'

type Done = (err?: Error | null) => void

/** Socket whose bytes travel over a link. */
export class OffloadedSocket extends Duplex {
  readonly #clock: Clock
  readonly #link: OffloadLink
  readonly #connection: ConnectionNumber
  readonly #sendCredit = new SendCredit()
  readonly #receiveCredit = new ReceiveCredit()
  #whenCreditReturns: Done | undefined
  /** Bytes received that the HTTP server has not read yet. */
  #unreadBytes = 0
  #idleTimer: Timer | undefined
  #timeoutMs: Millis = 0
  /** Time for which the bytes that were received last are known to have waited before they were received. */
  unreadMs: Millis = 0
  /** Requests on this connection without a complete response. */
  openRequests = 0
  /** True when a response ended before its request was read completely, so that what follows is not a new request. */
  isMidRequest = false
  /** False when responses are to close the connection, as the gateway that accepted it shuts down or has too many. */
  isKeepAliveAllowed = true
  /** True once the gateway that accepted the connection takes no more requests, as it is about to end. */
  isStopping = false

  /**
   * @param clock - source of time
   * @param link - carries the bytes
   * @param connection - number of the connection on the link
   * @param acceptedBy - host of the gateway that accepted the connection
   */
  constructor (clock: Clock, link: OffloadLink, connection: ConnectionNumber, readonly acceptedBy: string) {
    super({ allowHalfOpen: true })
    this.#clock = clock
    this.#link = link
    this.#connection = connection
  }

  /** True while no request is being served. */
  get isIdle (): boolean {
    return this.openRequests === 0 && !this.isMidRequest
  }

  /**
   * Passes on bytes of the caller.
   *
   * @param unreadMs - time for which they are known to have waited
   */
  receive (bytes: Buffer, unreadMs: Millis): void {
    if (this.destroyed) return
    this.unreadMs = unreadMs
    this.#refreshTimeout()
    this.#unreadBytes += bytes.length
    if (this.push(bytes)) this.#returnCredit()
  }

  /** The caller sends nothing more. */
  receiveEnd (): void {
    if (!this.destroyed) this.push(null)
  }

  /** The peer gateway has passed on bytes of responses. */
  receiveCredit (bytes: number): void {
    this.#sendCredit.restore(bytes)
    if (this.#sendCredit.isExhausted) return
    const done = this.#whenCreditReturns
    this.#whenCreditReturns = undefined
    done?.()
  }

  /** Sends what was written so far without waiting for the rest of its batch. */
  flushSoon (): void {
    setImmediate(() => { this.#link.flush() })
  }

  /** As of a TCP socket: emits `timeout` when nothing was received or sent for this long; 0 for never. */
  setTimeout (timeoutMs: Millis, onTimeout?: () => void): this {
    this.#timeoutMs = timeoutMs
    if (onTimeout !== undefined) this.once('timeout', onTimeout)
    this.#refreshTimeout()
    return this
  }

  /** As of a TCP socket: closes the connection once everything was sent. */
  destroySoon (): void {
    if (this.writable) this.end()
    if (this.writableFinished) this.destroy()
    else this.once('finish', () => { this.destroy() })
  }

  override _read (): void {
    this.#returnCredit()
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, done: Done): void {
    this.#send(chunk, done)
  }

  override _writev (chunks: Array<{ chunk: Buffer }>, done: Done): void {
    this.#send(Buffer.concat(chunks.map(({ chunk }) => chunk)), done)
  }

  override _final (done: Done): void {
    this.#link.send({ kind: 'end', connection: this.#connection })
    done()
  }

  override _destroy (err: Error | null, done: Done): void {
    this.#idleTimer?.close()
    this.#link.send({ kind: 'close', connection: this.#connection, isIdle: this.isIdle })
    done(err)
  }

  #returnCredit (): void {
    const credit = this.#receiveCredit.release(this.#unreadBytes)
    this.#unreadBytes = 0
    if (credit > 0) this.#link.send({ kind: 'credit', connection: this.#connection, bytes: credit })
  }

  #send (bytes: Buffer, done: Done): void {
    this.#refreshTimeout()
    this.#link.send({ kind: 'data', connection: this.#connection, bytes, unreadMs: 0 })
    this.#sendCredit.consume(bytes.length)
    if (this.#sendCredit.isExhausted) this.#whenCreditReturns = done
    else done()
  }

  #refreshTimeout (): void {
    this.#idleTimer?.close()
    this.#idleTimer = this.#timeoutMs > 0 ? this.#clock.after(this.#timeoutMs, () => { this.emit('timeout') }) : undefined
  }
}
