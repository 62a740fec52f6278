/** HTTP client of one upstream: sends each request at most once, without pipelining. */
import type { Socket } from 'node:net'
import { FuchsiaError, toError } from '@fuchsiaworks/kernel'
import { buildConnector, Client, type Dispatcher } from 'undici'
import { Exchange } from './exchange.js'
import type { ConnectionOptions, UpstreamResponseHandler, UpstreamExchange, UpstreamRequest } from './upstreamTypes.js'

/** Idle time before TCP keep-alive probes start; Node.js fixes the interval between probes at one second. */
const TCP_KEEP_ALIVE_DELAY_MS = 1000

/** Maximum number of idle connections; more than an upstream has slots are of no use. */
const MAX_IDLE_CONNECTIONS = 64

/** Size of the headers of a response up to which it is read. The default of Node.js, 16 KiB, fails a response with one useless header of that length. */
const MAX_HEADER_BYTES = 64 * 1024

/** Lowest status of a response that is an error. */
const FIRST_ERROR_STATUS = 400

/** Maximum number of requests with an error response whose ids a connection remembers. */
const MAX_FAILED_IDS = 128

/** The connection was reset during a response that is delimited by the end of the connection, so the body may be truncated. */
export class ResetInBodyError extends FuchsiaError {
  constructor () {
    super('reset-in-body', 'the connection was reset while it carried an answer that ends with the connection')
  }
}

/** The client library has rejected a request, so that nothing was sent; that says nothing of the upstream. */
export class UnsendableRequestError extends FuchsiaError {
  /** @param cause - why it was rejected */
  constructor (cause: Error) {
    super('unsendable-request', `the request cannot be sent: ${cause.message}`, { cause })
  }
}

/** Exchange of a request for which there is no connection; its handler is told in a later iteration of the event loop, as for any other failure. */
const failUnsent = (err: Error, handler: UpstreamResponseHandler): UpstreamExchange => {
  setImmediate(() => { handler.failed(err, false) })
  return { pause: () => {}, resume: () => {}, overheadBytes: 0, isFirstOnConnection: false, cancel: () => {} }
}

/** A pooled connection, reopened by its client after it was closed. */
class PooledConnection {
  readonly client: Client
  /** True when the current connection ended with an error rather than an orderly close. */
  wasReset = false
  /** True while a connection is open, so that a request can be sent without connecting first. */
  isOpen = false
  #socket: Socket | undefined
  /** Requests that were sent over the current connection. */
  #exchanges = 0
  /** Ids of requests that got an error response over the current connection, oldest first; created when there is one. */
  #failedIds: Set<string> | undefined

  constructor (url: string, options: ConnectionOptions) {
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

  /** Bytes received over the current connection. */
  get bytesRead (): number {
    return this.#socket?.bytesRead ?? 0
  }

  /** Counts a request that is sent; returns true for the first one of the current connection. */
  recordExchange (): boolean {
    this.#exchanges += 1
    return this.#exchanges === 1
  }

  /** Remembers the id of a request that got an error response. */
  recordFailedId (id: string): void {
    this.#failedIds ??= new Set()
    this.#failedIds.add(id)
    const [oldest] = this.#failedIds
    if (this.#failedIds.size > MAX_FAILED_IDS && oldest !== undefined) this.#failedIds.delete(oldest)
  }

  /** True when a request with that id may be sent without connecting first: an error response to an earlier request with the id, repeated, would pass for its own. */
  isOpenFor (id: string | undefined): boolean {
    return this.isOpen && (id === undefined || this.#failedIds?.has(id) !== true)
  }

  /** Detects resets on the socket, as undici treats a reset as the end of a response without a length. */
  #trackSocket (socket: Socket): void {
    this.#socket = socket
    this.#exchanges = 0
    this.#failedIds = undefined
    this.wasReset = false
    this.isOpen = true
    socket.on('error', () => { this.wasReset = true })
    socket.on('close', () => { this.isOpen = false })
  }
}

/** Connection pool for one upstream. */
export class UpstreamClient {
  readonly #idle: PooledConnection[] = []
  readonly #connections = new Set<PooledConnection>()
  #isRetired = false

  /**
   * @param url - origin of the upstream
   * @param options - options of the connections
   */
  constructor (readonly url: string, readonly options: ConnectionOptions) {}

  /**
   * Sends a request. One that cannot be sent, to an address that is none or with a header that the client library rejects, fails as any other.
   *
   * @param handler - receives the response
   * @returns control over the exchange
   */
  send (request: UpstreamRequest, handler: UpstreamResponseHandler): UpstreamExchange {
    const isFresh = this.options.freshConnectionForNonIdempotent && !request.idempotent
    let connection: PooledConnection
    try {
      connection = isFresh ? this.#open() : this.#takeIdle(request.id) ?? this.#open()
    } catch (err) {
      return failUnsent(toError(err), handler)
    }
    return this.#dispatch(connection, isFresh, request, handler)
  }

  #dispatch (connection: PooledConnection, isFresh: boolean, request: UpstreamRequest, handler: UpstreamResponseHandler): UpstreamExchange {
    let isDispatching = true
    const bytesBefore = connection.isOpen ? connection.bytesRead : 0
    const exchange = new Exchange({
      ...handler,
      head: (status, headers) => {
        if (status >= FIRST_ERROR_STATUS && request.id !== undefined) connection.recordFailedId(request.id)
        handler.head(status, headers)
      },
      end: trailers => {
        const { wasReset } = connection
        this.#release(connection, isFresh || wasReset)
        if (wasReset) handler.failed(new ResetInBodyError(), true)
        else handler.end(trailers)
      },
      failed: (err, sent) => {
        this.#release(connection, true)
        if (isDispatching && !sent) setImmediate(() => { handler.failed(new UnsendableRequestError(err), false) })
        else handler.failed(err, sent)
      }
    }, { receivedBytes: () => connection.bytesRead - bytesBefore, recordExchange: () => connection.recordExchange() })
    connection.client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers.flatMap(([name, value]) => [name, value]),
      body: request.body ?? null,
      idempotent: request.idempotent,
      reset: isFresh,
      headersTimeout: request.headTimeoutMs
    }, exchange)
    isDispatching = false
    return exchange
  }

  /** Closes idle connections now and the others when their exchanges end; no more requests may be sent. */
  retire (): void {
    this.#isRetired = true
    for (const connection of this.#idle.splice(0)) this.#discard(connection)
  }

  /** Closes all connections; open exchanges fail. */
  async close (): Promise<void> {
    await Promise.all([...this.#connections].map(async connection => { await connection.client.destroy() }))
  }

  /** Prefers the most recently used open connection, so that surplus ones reach their idle timeout. */
  #takeIdle (id: string | undefined): PooledConnection | undefined {
    const open = this.#idle.findLastIndex(connection => connection.isOpenFor(id))
    const index = open === -1 ? this.#idle.findLastIndex(({ isOpen }) => !isOpen) : open
    return index === -1 ? undefined : this.#idle.splice(index, 1)[0]
  }

  #open (): PooledConnection {
    const connection = new PooledConnection(this.url, this.options)
    this.#connections.add(connection)
    return connection
  }

  #release (connection: PooledConnection, discard: boolean): void {
    if (discard || this.#isRetired || this.#idle.length >= MAX_IDLE_CONNECTIONS) this.#discard(connection)
    else this.#idle.push(connection)
  }

  #discard (connection: PooledConnection): void {
    this.#connections.delete(connection)
    // The exchange's last callback may still be running inside undici.
    setImmediate(() => { connection.client.destroy().catch(() => {}) })
  }
}
