/** HTTP client of one upstream: sends each request at most once, without pipelining. */
import { FuchsiaError, toError } from '@fuchsiaworks/kernel'
import type { Dispatcher } from 'undici'
import { Exchange } from './exchange.js'
import { PooledConnection } from './pooledConnection.js'
import type { ConnectionOptions, UpstreamResponseHandler, UpstreamExchange, UpstreamRequest } from './upstreamTypes.js'

/** Maximum number of idle connections; more than an upstream has slots are of no use. */
const MAX_IDLE_CONNECTIONS = 64

/** Lowest status of a response that is an error. */
const FIRST_ERROR_STATUS = 400

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
  const report = { connection: undefined, position: 0, delimiter: undefined, bodyBytes: 0, bytesBehind: 0, embeddedHeads: 0 }
  return { pause: () => {}, resume: () => {}, overheadBytes: 0, isFirstOnConnection: false, report, hasCarried: () => false, cancel: () => {} }
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
    const exchange = new Exchange({
      ...handler,
      head: (status, headers) => {
        if (status >= FIRST_ERROR_STATUS && request.id !== undefined) connection.recordFailedId(request.id)
        handler.head(status, headers)
      },
      end: trailers => {
        this.#release(connection, isFresh)
        handler.end(trailers)
      },
      failed: (err, sent) => {
        this.#release(connection, true)
        if (isDispatching && !sent) setImmediate(() => { handler.failed(new UnsendableRequestError(err), false) })
        else handler.failed(err, sent)
      }
    }, connection, request)
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
