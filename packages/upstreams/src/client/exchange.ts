/** Handler of one exchange for undici's dispatcher. */
import type { IncomingHttpHeaders } from 'node:http'
import { FuchsiaError } from '@fuchsiaworks/kernel'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { Dispatcher } from 'undici'
import type { UpstreamResponseHandler, UpstreamExchange } from './upstreamTypes.js'

const toHeaderList = (headers: IncomingHttpHeaders): HeaderList =>
  Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return []
    return Array.isArray(value) ? value.map(one => [name, one] as const) : [[name, value] as const]
  })

/** Begin of a response. */
const STATUS_LINE = /HTTP\/1\.[01] [1-5]\d\d/

/** The upstream broke a response off inside its head and wrote another one behind it, so that the status of one would be read with headers of the other. */
export class SplicedHeadError extends FuchsiaError {
  constructor () {
    super('spliced-head', 'the head of a response contains the begin of another one')
  }
}

/** The connection of an exchange. */
export interface ExchangeConnection {
  /** Reads how many bytes the connection has received since the request was dispatched. */
  readonly receivedBytes: () => number
  /** Counts a request that is sent on the connection; returns true for its first. */
  readonly recordExchange: () => boolean
}

/** One request in progress. */
export class Exchange implements Dispatcher.DispatchHandler, UpstreamExchange {
  readonly #handler: UpstreamResponseHandler
  #controller: Dispatcher.DispatchController | undefined
  #cancelReason: Error | undefined
  #paused = false
  #isEnded = false
  #bodyBytes = 0
  readonly #connection: ExchangeConnection
  #isFirstOnConnection = false

  /**
   * @param handler - receives the response
   * @param connection - the connection on which the request is sent
   */
  constructor (handler: UpstreamResponseHandler, connection: ExchangeConnection) {
    this.#handler = handler
    this.#connection = connection
  }

  get overheadBytes (): number {
    return this.#connection.receivedBytes() - this.#bodyBytes
  }

  get isFirstOnConnection (): boolean {
    return this.#isFirstOnConnection
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    this.#isFirstOnConnection = this.#connection.recordExchange()
    if (this.#cancelReason !== undefined) controller.abort(this.#cancelReason)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders, statusMessage = ''): void {
    if (status < 200) return
    const list = toHeaderList(headers)
    if (STATUS_LINE.test(statusMessage) || list.some(([, value]) => STATUS_LINE.test(value))) return controller.abort(new SplicedHeadError())
    this.#handler.head(status, list)
    if (this.#paused) controller.pause()
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#bodyBytes += chunk.length
    this.#handler.data(chunk)
    if (this.#paused) controller.pause()
  }

  onResponseEnd (_controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
    this.#isEnded = true
    this.#handler.end(toHeaderList(trailers ?? {}))
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.#isEnded = true
    this.#handler.failed(err, this.#controller !== undefined)
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
    if (this.#isEnded) return
    this.#cancelReason = reason
    this.#controller?.abort(reason)
  }
}
