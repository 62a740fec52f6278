/** A caller's connection that this gateway accepted and a peer gateway serves: passes the bytes on in both directions. */
import type { Socket } from 'node:net'
import type { Clock, Millis } from '@fuchsiaworks/kernel'
import type { ListenQueueWait } from '../callers/listenQueueWait.js'
import { afterNextPoll } from '../callers/nextPoll.js'
import { type Refusal, rawRefusal } from '../requests/refusals.js'
import type { HeaderPort } from '../port/headerPort.js'
import { ReceiveCredit, SendCredit } from './creditWindow.js'
import type { OffloadLink } from './offloadLink.js'
import type { ConnectionNumber } from './offloadTypes.js'
import { ResponseBoundary } from './responseBoundary.js'

/** Start of a request whose response has a head with a length, and no body. */
const BODILESS_REQUEST = 'HEAD '

/** The peer was lost before it responded; whether it has run the request is not known. */
const PEER_LOST: Refusal = { status: 502, reason: 'peer-lost' }

/** The peer closed the connection, as it does when one is idle, before it read the request. */
const NOT_READ: Refusal = { status: 503, reason: 'connection-closed', retryAfterMs: 0 }

/** A connection and what serves it. */
export interface OffloadedConnection {
  readonly clock: Clock
  /** Connection of the caller. */
  readonly socket: Socket
  /** Link to the peer that serves it. */
  readonly link: OffloadLink
  /** Number of the connection on the link. */
  readonly connection: ConnectionNumber
  /** Encodes refusals. */
  readonly headers: HeaderPort
  readonly wait: ListenQueueWait
}

/** One connection. */
export class OffloadedCaller {
  readonly #clock: Clock
  readonly #socket: Socket
  readonly #link: OffloadLink
  readonly #connection: ConnectionNumber
  readonly #headers: HeaderPort
  readonly #wait: ListenQueueWait
  readonly #sendCredit = new SendCredit()
  readonly #receiveCredit = new ReceiveCredit()
  /** True from the first bytes of a request to the first bytes of its response. */
  #awaitsResponse = false
  /** The caller may send bytes while a response is in progress, so that its requests do not tell whether one is. */
  readonly #boundary = new ResponseBoundary()
  /** Last bytes of the caller, in which such a request may have begun. */
  #requestEnd = ''
  /** True when the peer has ended the connection in an orderly way. */
  #hasEnded = false
  /** First bytes of a request that are held until the socket has been polled once more; undefined while none are. */
  #held: { readonly unreadMs: Millis, readonly readAt: Millis, readonly parts: Buffer[] } | undefined
  /** True once the peer knows of the connection. */
  #isOpen = false
  #isClosed = false

  /**
   * @param parts - the connection and what serves it
   * @param onClose - called once, when the connection has ended
   */
  constructor ({ clock, socket, link, connection, headers, wait }: OffloadedConnection, onClose: () => void) {
    this.#clock = clock
    this.#socket = socket
    this.#wait = wait
    this.#headers = headers
    this.#link = link
    this.#connection = connection
    socket.on('data', (bytes: Buffer) => { this.#passOn(bytes) })
    socket.on('end', () => { this.#endRequests() })
    socket.on('error', () => {})
    socket.on('close', () => {
      if (!this.#isClosed && this.#isOpen) link.send({ kind: 'close', connection, isIdle: false })
      this.#isClosed = true
      onClose()
    })
    afterNextPoll(() => { if (this.#held === undefined && !this.#isClosed) this.#open() })
  }

  /** Passes on bytes of a response. */
  receive (bytes: Buffer): void {
    this.#awaitsResponse = false
    this.#boundary.push(bytes)
    if (this.#socket.write(bytes)) return this.#returnCredit(bytes.length)
    this.#socket.once('drain', () => { this.#returnCredit(bytes.length) })
  }

  /** The peer sends nothing more. */
  receiveEnd (): void {
    this.#hasEnded = true
    this.#socket.end()
  }

  /** The peer has closed the connection. */
  receiveClose (isIdle: boolean): void {
    this.#isClosed = true
    if (isIdle && this.#mayRefuse) this.#refuse(NOT_READ)
    else if (!isIdle && this.#isCutOff) this.#socket.resetAndDestroy()
    else this.#socket.destroySoon()
  }

  /** The peer has read bytes of requests. */
  receiveCredit (bytes: number): void {
    this.#sendCredit.restore(bytes)
    if (!this.#sendCredit.isExhausted) this.#socket.resume()
  }

  /** Ends the connection, as the link to the peer is lost. */
  fail (): void {
    this.#isClosed = true
    if (this.#mayRefuse) this.#refuse(PEER_LOST)
    else if (this.#isCutOff) this.#socket.resetAndDestroy()
    else this.#socket.destroySoon()
  }

  /** Bytes behind the end of the responses get none: a write there would discard what the caller has not received yet. */
  get #mayRefuse (): boolean {
    return this.#awaitsResponse && this.#boundary.isBetween && !this.#hasEnded
  }

  /** True when an orderly close would declare a response complete that broke off. */
  get #isCutOff (): boolean {
    return this.#boundary.endsWithConnection && !this.#hasEnded
  }

  #refuse (refusal: Refusal): void {
    this.#socket.end(rawRefusal(this.#headers, refusal))
    this.#socket.destroySoon()
  }

  #passOn (bytes: Buffer): void {
    if (this.#hasBodilessRequest(bytes)) this.#boundary.stopFollowing()
    this.#sendCredit.consume(bytes.length)
    if (this.#sendCredit.isExhausted) this.#socket.pause()
    if (this.#held !== undefined) this.#held.parts.push(bytes)
    else if (this.#awaitsResponse) this.#send(bytes, 0, this.#clock.now())
    else this.#hold(bytes)
  }

  /** Holds the first bytes of a request until the close of a caller that has left is read, which is in the next poll of its socket. */
  #hold (bytes: Buffer): void {
    this.#awaitsResponse = true
    this.#held = { unreadMs: this.#wait.ms, readAt: this.#clock.now(), parts: [bytes] }
    afterNextPoll(() => {
      const held = this.#held
      this.#held = undefined
      if (held !== undefined && !this.#isClosed) this.#send(Buffer.concat(held.parts), held.unreadMs, held.readAt)
    })
  }

  /** Tells the peer of the connection: together with its first data, as each message on the link costs a write. */
  #open (): void {
    if (this.#isOpen) return
    this.#isOpen = true
    this.#link.send({ kind: 'open', connection: this.#connection })
  }

  /** The caller sends nothing more; a request that is still held is dropped, and with it a connection of which the peer does not know. */
  #endRequests (): void {
    if (this.#held !== undefined) this.#awaitsResponse = false
    this.#held = undefined
    if (this.#isOpen) return this.#link.send({ kind: 'end', connection: this.#connection })
    this.#isClosed = true
    this.#socket.destroy()
  }

  #send (bytes: Buffer, unreadMs: Millis, readAt: Millis): void {
    this.#open()
    this.#link.send({ kind: 'data', connection: this.#connection, bytes, unreadMs, readAt })
  }

  #hasBodilessRequest (bytes: Buffer): boolean {
    const overlap = BODILESS_REQUEST.length - 1
    const isCut = this.#requestEnd !== '' && (this.#requestEnd + bytes.toString('latin1', 0, overlap)).includes(BODILESS_REQUEST)
    const text = this.#requestEnd + bytes.toString('latin1', Math.max(0, bytes.length - overlap))
    const mark = text.lastIndexOf(BODILESS_REQUEST.charAt(0))
    this.#requestEnd = mark === -1 ? '' : text.slice(mark).slice(-overlap)
    return isCut || bytes.includes(BODILESS_REQUEST, 0, 'latin1')
  }

  #returnCredit (bytes: number): void {
    const credit = this.#receiveCredit.release(bytes)
    if (credit > 0 && !this.#isClosed) this.#link.send({ kind: 'credit', connection: this.#connection, bytes: credit })
  }
}
