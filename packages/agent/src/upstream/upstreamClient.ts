/** Sends requests to the upstream beside this agent, each at most once. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type { HeaderList } from '@fuchsiaworks/wire'
import { type Dispatcher, Pool } from 'undici'

/** Milliseconds to connect to the upstream, which is on the same host. */
const CONNECT_TIMEOUT_MS = 2_000

/** Milliseconds for which an idle connection is kept; shorter than what servers commonly use. */
const KEEP_ALIVE_MS = 3_000

/** One request as the upstream receives it. */
export interface UpstreamRequest {
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Uint8Array | Readable | undefined
  /** False for a request that must not be sent over a connection that the upstream may just be closing. */
  readonly idempotent: boolean
  /** Milliseconds to wait for the answer's head. */
  readonly headTimeout: number
}

/** What happens to a request, in order. */
export interface UpstreamEvents {
  /** Status and headers arrived. */
  head: (status: number, headers: HeaderList) => void
  /** A part of the body arrived. */
  data: (data: Buffer) => void
  /** The answer is whole. */
  end: (trailers: HeaderList) => void
  /**
   * There will be no whole answer.
   *
   * @param sent - false when no byte of the request can have reached the upstream
   */
  failed: (err: Error, sent: boolean) => void
}

/** A request on its way. */
export interface UpstreamExchange {
  /** Stops reading the answer. */
  pause: () => void
  /** Goes on reading the answer. */
  resume: () => void
  /** Gives the request up; `failed` follows unless it has ended. */
  cancel: (reason: Error) => void
}

const toHeaderList = (headers: IncomingHttpHeaders): HeaderList =>
  Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return []
    return Array.isArray(value) ? value.map(one => [name, one] as const) : [[name, value] as const]
  })

/** Tracks one exchange for undici. */
class Exchange implements Dispatcher.DispatchHandler, UpstreamExchange {
  readonly #events: UpstreamEvents
  #controller: Dispatcher.DispatchController | undefined
  #cancelled: Error | undefined
  #paused = false

  constructor (events: UpstreamEvents) {
    this.#events = events
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#cancelled !== undefined) controller.abort(this.#cancelled)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200) return
    this.#events.head(status, toHeaderList(headers))
    if (this.#paused) controller.pause()
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#events.data(chunk)
    if (this.#paused) controller.pause()
  }

  onResponseEnd (_controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
    this.#events.end(toHeaderList(trailers ?? {}))
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.#events.failed(err, this.#controller !== undefined)
  }

  pause (): void {
    this.#paused = true
    this.#controller?.pause()
  }

  resume (): void {
    this.#paused = false
    this.#controller?.resume()
  }

  cancel (reason: Error): void {
    this.#cancelled = reason
    this.#controller?.abort(reason)
  }
}

/** Connections to one upstream. */
export class UpstreamClient {
  readonly #pool: Pool
  /** Each connection of this pool carries one request, so that none is sent over one that is being closed. */
  readonly #freshPool: Pool

  /** @param url - origin of the upstream */
  constructor (url: string) {
    const options = {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      pipelining: 1,
      bodyTimeout: 0
    }
    this.#pool = new Pool(url, { ...options, connections: null })
    this.#freshPool = new Pool(url, { ...options, connections: null })
  }

  /**
   * Sends a request.
   *
   * @param request - what to send
   * @param events - called as the exchange goes on
   * @returns control over the exchange
   */
  send (request: UpstreamRequest, events: UpstreamEvents): UpstreamExchange {
    const exchange = new Exchange(events)
    const pool = request.idempotent ? this.#pool : this.#freshPool
    pool.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers.flatMap(([name, value]) => [name, value]),
      body: request.body ?? null,
      idempotent: request.idempotent,
      reset: !request.idempotent,
      headersTimeout: request.headTimeout
    }, exchange)
    return exchange
  }

  /** Closes every connection; exchanges that still run fail. */
  async close (): Promise<void> {
    await Promise.all([this.#pool.destroy(), this.#freshPool.destroy()])
  }
}
