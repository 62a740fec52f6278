/** One connection of a client's pool, and what is remembered of the requests that it has carried. */
import type { Socket } from 'node:net'
import { type Millis, newId, systemClock } from '@fuchsiaworks/kernel'
import { buildConnector, Client, errors } from 'undici'
import type { ConnectionId, ConnectionOptions, UnsolicitedBytes } from './upstreamTypes.js'

/** Idle time before TCP keep-alive probes start; Node.js fixes the interval between probes at one second. */
const TCP_KEEP_ALIVE_DELAY_MS = 1000

/** Size of the headers of a response up to which it is read. The default of Node.js, 16 KiB, fails a response with one useless header of that length. */
const MAX_HEADER_BYTES = 64 * 1024

/** Maximum number of requests with an error response whose ids a connection remembers. */
const MAX_FAILED_IDS = 128

/** Maximum number of requests whose ids a connection remembers. */
const MAX_CARRIED_IDS = 64

const RESPONSE_START = 'HTTP/1.'

/** Error of the client about bytes that arrive while no response is expected. */
const UNEXPECTED_BYTES = 'bad response'

const EMPTY = Buffer.alloc(0)

/** Bytes that belong to no response. */
type Surplus = Pick<UnsolicitedBytes, 'bytes' | 'isResponse'>

const describeSurplus = (bytes: Buffer): Surplus => ({ bytes: bytes.length, isResponse: bytes.includes(RESPONSE_START) })

const addBounded = (ids: Set<string>, id: string, max: number): void => {
  ids.add(id)
  const [oldest] = ids
  if (ids.size > max && oldest !== undefined) ids.delete(oldest)
}

/** A pooled connection, reopened by its client after it was closed. */
export class PooledConnection {
  readonly client: Client
  /** True when the current connection ended with an error rather than an orderly close. */
  wasReset = false
  /** True while a connection is open, so that a request can be sent without connecting first. */
  isOpen = false
  readonly #options: ConnectionOptions
  #socket: Socket | undefined
  #id: ConnectionId | undefined
  /** Requests that were sent over the current connection. */
  #requests = 0
  /** True while a response is expected. */
  #isBusy = false
  #lastEndAt: Millis = 0
  /** Ids of requests that got an error response over the current connection, oldest first; created when there is one. */
  #failedIds: Set<string> | undefined
  /** Ids of the requests that were sent over the current connection, oldest first. */
  #carriedIds = new Set<string>()
  /** What was read last for the response in flight; empty when there is none, so that an idle connection holds no memory. */
  #read: Buffer = EMPTY
  /** Offset in them behind the last part of a body. */
  #partEnd = 0
  /** What was read behind the last response. */
  #surplus: Surplus | undefined
  #onNextRead: ((bytes: Buffer) => void) | undefined
  #onInputEnd: (() => void) | undefined

  constructor (url: string, options: ConnectionOptions) {
    this.#options = options
    const connect = buildConnector({ timeout: options.connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS })
    this.client = new Client(url, {
      connect: (target, done) => {
        connect(target, (...result) => {
          if (result[0] === null) this.#trackSocket(result[1])
          done(...result)
        })
      },
      keepAliveTimeout: options.keepAliveMs,
      keepAliveTimeoutThreshold: options.keepAliveMarginMs,
      pipelining: 1,
      maxHeaderSize: MAX_HEADER_BYTES,
      bodyTimeout: 0
    })
  }

  /** The current connection; undefined before the first one. */
  get id (): ConnectionId | undefined {
    return this.#id
  }

  /** Bytes received over the current connection. */
  get bytesRead (): number {
    return this.#socket?.bytesRead ?? 0
  }

  /**
   * Counts a request that is sent.
   *
   * @param onInputEnd - called when the connection brings no more bytes, before the client handles that
   * @returns its position among those of the current connection; 1 for the first
   */
  recordRequest (id: string | undefined, onInputEnd: () => void): number {
    this.#requests += 1
    this.#onInputEnd = onInputEnd
    this.#isBusy = true
    if (id !== undefined) addBounded(this.#carriedIds, id, MAX_CARRIED_IDS)
    // Listening for `data` beside the client's `readable` observes what the client reads, and must not start the flow before the client listens.
    if (this.#requests === 1) this.#socket?.on('data', (bytes: Buffer) => { this.#keepRead(bytes) })
    return this.#requests
  }

  /** Records that the response to the request in flight has ended. */
  recordEnd (): void {
    this.#isBusy = false
    this.#onInputEnd = undefined
    this.#lastEndAt = systemClock.now()
    this.#surplus = describeSurplus(this.#read.subarray(this.#partEnd))
    this.#read = EMPTY
  }

  /** Remembers the id of a request that got an error response. */
  recordFailedId (id: string): void {
    this.#failedIds ??= new Set()
    addBounded(this.#failedIds, id, MAX_FAILED_IDS)
  }

  /** True when a request with that id was sent over the current connection. */
  hasCarried (id: string): boolean {
    return this.#carriedIds.has(id)
  }

  /** True when a request with that id may be sent without connecting first: an error response to an earlier request with the id, repeated, would pass for its own. */
  isOpenFor (id: string | undefined): boolean {
    return this.isOpen && (id === undefined || this.#failedIds?.has(id) !== true)
  }

  /**
   * Returns what was read together with a part of a body and follows it.
   *
   * @param part - as the client passes it on, in the memory into which it was read
   */
  bytesBehind (part: Buffer): Buffer {
    if (part.buffer !== this.#read.buffer) return EMPTY
    this.#partEnd = part.byteOffset + part.length - this.#read.byteOffset
    return this.#read.subarray(this.#partEnd)
  }

  /** Calls back once with what is read next over the current connection, before the client parses it. */
  onNextRead (run: (bytes: Buffer) => void): void {
    this.#onNextRead = run
  }

  #keepRead (bytes: Buffer): void {
    if (this.#isBusy) this.#read = bytes
    else this.#surplus = describeSurplus(bytes)
    this.#partEnd = 0
    const run = this.#onNextRead
    this.#onNextRead = undefined
    run?.(bytes)
  }

  /** Detects resets on the socket, as undici treats a reset as the end of a response without a length. */
  #trackSocket (socket: Socket): void {
    this.#socket = socket
    this.#id = newId<ConnectionId>()
    this.#requests = 0
    this.#isBusy = false
    this.#failedIds = undefined
    this.#carriedIds = new Set()
    this.#onNextRead = undefined
    this.#read = EMPTY
    this.#partEnd = 0
    this.#surplus = undefined
    this.wasReset = false
    this.isOpen = true
    socket.on('error', err => {
      this.wasReset = true
      this.#onInputEnd?.()
      if (err instanceof errors.SocketError && err.message === UNEXPECTED_BYTES) this.#reportUnsolicited()
    })
    socket.on('end', () => {
      // Node.js reports an orderly end also where a reset is read together with the last bytes; the connection has no peer then.
      if (socket.remoteAddress === undefined) this.wasReset = true
      this.#onInputEnd?.()
    })
    socket.on('close', () => { this.isOpen = false })
  }

  #reportUnsolicited (): void {
    if (this.#isBusy || this.#id === undefined || this.#surplus === undefined) return
    this.#options.onUnsolicitedBytes?.({ connection: this.#id, requests: this.#requests, afterMs: systemClock.now() - this.#lastEndAt, ...this.#surplus })
  }
}
