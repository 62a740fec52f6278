/** Sends requests to one upstream, each at most once, over connections that carry one request at a time. */
import type { Socket } from 'node:net'
import { FuchsiaError } from '@fuchsiaworks/kernel'
import { buildConnector, Client, type Dispatcher } from 'undici'
import { Exchange } from './exchange.js'
import type { ConnectionOptions, UpstreamEvents, UpstreamExchange, UpstreamRequest } from './upstreamTypes.js'

/** Milliseconds of silence after which the kernel probes a connection; its fixed interval of a second decides the rest. */
const TCP_PROBE_AFTER_MS = 1000

/** Idle connections kept at most; more than an upstream has slots are never of use. */
const MAX_IDLE = 64

/** The connection was reset while an answer without a length came, so what arrived may be a part only. */
export class ResetInBodyError extends FuchsiaError {
  constructor () {
    super('reset-in-body', 'the connection was reset while it carried an answer that ends with the connection')
  }
}

/** One connection, opened again when it was closed. */
class Line {
  readonly client: Client
  /** True when the present connection ended by an error rather than in an orderly way. */
  broken = false
  /** True while a connection is open, so that sending needs no new one. */
  isOpen = false

  constructor (url: string, options: ConnectionOptions) {
    const connect = buildConnector({ timeout: options.connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: TCP_PROBE_AFTER_MS })
    this.client = new Client(url, {
      connect: (target, done) => {
        connect(target, (...result) => {
          if (result[0] === null) this.#watch(result[1])
          done(...result)
        })
      },
      keepAliveTimeout: options.keepAliveMs,
      keepAliveTimeoutThreshold: options.keepAliveMarginMs,
      pipelining: 1,
      bodyTimeout: 0
    })
  }

  /** Notes a reset before the HTTP client sees it, which takes one for the end of an answer without a length. */
  #watch (socket: Socket): void {
    this.broken = false
    this.isOpen = true
    socket.on('error', () => { this.broken = true })
    socket.on('close', () => { this.isOpen = false })
  }
}

/** Connections to one upstream. */
export class UpstreamClient {
  readonly #idle: Line[] = []
  readonly #lines = new Set<Line>()
  #isRetired = false

  /**
   * @param url - origin of the upstream
   * @param options - how connections are kept
   */
  constructor (readonly url: string, readonly options: ConnectionOptions) {}

  /**
   * Sends a request.
   *
   * @param request - what to send
   * @param events - called as the exchange goes on
   * @returns control over the exchange
   */
  send (request: UpstreamRequest, events: UpstreamEvents): UpstreamExchange {
    const isFresh = this.options.freshConnectionForNonIdempotent && !request.idempotent
    const line = isFresh ? this.#open() : this.#takeIdle() ?? this.#open()
    const exchange = new Exchange({
      ...events,
      end: trailers => {
        const { broken } = line
        this.#release(line, isFresh || broken)
        if (broken) events.failed(new ResetInBodyError(), true)
        else events.end(trailers)
      },
      failed: (err, sent) => {
        this.#release(line, true)
        events.failed(err, sent)
      }
    })
    line.client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers.flatMap(([name, value]) => [name, value]),
      body: request.body ?? null,
      idempotent: request.idempotent,
      reset: isFresh,
      headersTimeout: request.headTimeoutMs
    }, exchange)
    return exchange
  }

  /** Closes idle connections now and each other one when its exchange has ended; nothing more is to be sent. */
  retire (): void {
    this.#isRetired = true
    for (const line of this.#idle.splice(0)) this.#drop(line)
  }

  /** Closes every connection; exchanges that still run fail. */
  async close (): Promise<void> {
    await Promise.all([...this.#lines].map(async line => { await line.client.destroy() }))
  }

  /** Prefers the connection that was used last, so that surplus ones time out. */
  #takeIdle (): Line | undefined {
    const open = this.#idle.findLastIndex(line => line.isOpen)
    return open === -1 ? this.#idle.pop() : this.#idle.splice(open, 1)[0]
  }

  #open (): Line {
    const line = new Line(this.url, this.options)
    this.#lines.add(line)
    return line
  }

  #release (line: Line, drop: boolean): void {
    if (drop || this.#isRetired || this.#idle.length >= MAX_IDLE) this.#drop(line)
    else this.#idle.push(line)
  }

  #drop (line: Line): void {
    this.#lines.delete(line)
    // The last callback of the exchange may still be running inside the client.
    setImmediate(() => { line.client.destroy().catch(() => {}) })
  }
}
