/** Handler of one exchange for undici's dispatcher. */
import type { IncomingHttpHeaders } from 'node:http'
import { FuchsiaError, type Millis, systemClock, type Timer, toError } from '@fuchsiaworks/kernel'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { Dispatcher } from 'undici'
import type { PartialHead } from './embeddedHeads.js'
import type { PooledConnection } from './pooledConnection.js'
import { type BodyFraming, ResponseBody } from './responseBody.js'
import type { ExchangeReport, UpstreamExchange, UpstreamRequest, UpstreamResponseHandler } from './upstreamTypes.js'

const toHeaderList = (headers: IncomingHttpHeaders): HeaderList =>
  Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return []
    return Array.isArray(value) ? value.map(one => [name, one] as const) : [[name, value] as const]
  })

const CHUNKED = /(?:^|[ ,])chunked *$/i

const CLOSE = /(?:^|[ ,])close *(?:,|$)/i

const findFraming = (headers: IncomingHttpHeaders): BodyFraming => {
  const coding = [headers['transfer-encoding'] ?? []].flat().at(-1)
  const length = headers['content-length']
  const isLast = CLOSE.test([headers.connection ?? []].flat().join(','))
  if (coding !== undefined) return { delimiter: CHUNKED.test(coding) ? 'chunks' : 'close', length: undefined, isLast }
  return length === undefined ? { delimiter: 'close', length: undefined, isLast } : { delimiter: 'length', length: Number(length), isLast }
}

/** Begin of a response. */
const STATUS_LINE = /HTTP\/1\.[01] [1-5]\d\d/

/** The upstream broke a response off inside its head and wrote another one behind it, so that the status of one would be read with headers of the other. */
export class SplicedHeadError extends FuchsiaError {
  constructor () {
    super('spliced-head', 'the head of a response contains the begin of another one')
  }
}

/** The upstream broke a response off inside its body and wrote another one behind it, which was taken for the rest of the body. */
export class SplicedBodyError extends FuchsiaError {
  constructor () {
    super('spliced-body', 'the body of a response contains another one')
  }
}

/** The connection was reset during a response that is delimited by the end of the connection, so the body may be truncated. */
export class ResetInBodyError extends FuchsiaError {
  constructor () {
    super('reset-in-body', 'the connection was reset while it carried an answer that ends with the connection')
  }
}

/**
 * Time for which the end of a body is held back that may be the begin of another response; the rest of that follows at once, but not always in one read.
 * Other text ends with some letters of a status line, too.
 */
const BYTES_BEHIND_WAIT_MS: Readonly<Record<PartialHead, Millis>> = { none: 50, likely: 50, possible: 5 }

/** The end of a body that is held back. */
interface HeldEnd {
  readonly part: Buffer
  readonly timer: Timer
  /** Trailers; undefined while the client has not found the end. */
  trailers: HeaderList | undefined
}

/** One request in progress. */
export class Exchange implements Dispatcher.DispatchHandler, UpstreamExchange {
  readonly #handler: UpstreamResponseHandler
  #controller: Dispatcher.DispatchController | undefined
  #cancelReason: Error | undefined
  #paused = false
  /** True once the connection brings no more bytes, so that there is nothing to pause. */
  #isInputEnded = false
  #isEnded = false
  readonly #connection: PooledConnection
  readonly #requestId: string | undefined
  readonly #bytesBefore: number
  /** Position of the request among those of its connection; 0 while it has not been sent. */
  #position = 0
  /** Undefined before the head of the response has arrived. */
  #body: ResponseBody | undefined
  #held: HeldEnd | undefined

  /**
   * @param handler - receives the response
   * @param connection - the connection on which the request is sent
   * @param request - the request
   */
  constructor (handler: UpstreamResponseHandler, connection: PooledConnection, { id }: Pick<UpstreamRequest, 'id'>) {
    this.#handler = handler
    this.#connection = connection
    this.#requestId = id
    this.#bytesBefore = connection.isOpen ? connection.bytesRead : 0
  }

  get overheadBytes (): number {
    return this.#connection.bytesRead - this.#bytesBefore - (this.#body?.bytes ?? 0)
  }

  get isFirstOnConnection (): boolean {
    return this.#position === 1
  }

  get report (): ExchangeReport {
    const isSent = this.#position > 0
    return {
      connection: isSent ? this.#connection.id : undefined,
      position: this.#position,
      delimiter: this.#body?.framing.delimiter,
      bodyBytes: this.#body?.bytes ?? 0,
      bytesBehind: this.#body?.bytesBehind ?? 0,
      embeddedHeads: this.#body?.headCount ?? 0
    }
  }

  hasCarried (id: string): boolean {
    return id !== this.#requestId && this.#connection.hasCarried(id)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    this.#position = this.#connection.recordRequest(this.#requestId, () => { this.#readRest() })
    if (this.#cancelReason !== undefined) controller.abort(this.#cancelReason)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders, statusMessage = ''): void {
    if (status < 200) return
    const list = toHeaderList(headers)
    if (STATUS_LINE.test(statusMessage) || list.some(([, value]) => STATUS_LINE.test(value))) return controller.abort(new SplicedHeadError())
    this.#body = new ResponseBody(findFraming(headers), this.#handler.judgeHead)
    this.#handler.head(status, list)
    if (this.#isPaused) controller.pause()
  }

  onResponseData (controller: Dispatcher.DispatchController, part: Buffer): void {
    switch (this.#body?.push(part, this.#connection.bytesBehind(part))) {
      case 'spliced': return controller.abort(new SplicedBodyError())
      case 'open': return this.#holdEnd(part)
      case 'sound':
      case undefined:
    }
    this.#handler.data(part)
    if (this.#isPaused) controller.pause()
  }

  onResponseEnd (_controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
    this.#connection.recordEnd()
    const list = toHeaderList(trailers ?? {})
    if (this.#held !== undefined) {
      this.#held.trailers = list
      return
    }
    this.#isEnded = true
    if (this.#connection.wasReset) this.#handler.failed(new ResetInBodyError(), true)
    else if (this.#body?.judgeEnd() === 'spliced') this.#handler.failed(new SplicedBodyError(), true)
    else this.#handler.end(list)
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.#isEnded = true
    this.#connection.recordEnd()
    this.#releaseHeld()
    this.#handler.failed(err, this.#controller !== undefined)
  }

  pause (): void {
    this.#paused = true
    if (this.#isPaused) this.#controller?.pause()
  }

  resume (): void {
    this.#paused = false
    this.#controller?.resume()
  }

  cancel (reason: Error): void {
    if (this.#isEnded) return
    this.#cancelReason = reason
    // The client has found the end already, and does not report that the exchange is aborted.
    if (this.#held?.trailers !== undefined) this.#failHeld(reason)
    else this.#controller?.abort(reason)
  }

  get #isPaused (): boolean {
    return this.#paused && !this.#isInputEnded
  }

  /** Reads what has arrived although the reader is slow: the client requires that a response whose end is that of its connection is not paused then. */
  #readRest (): void {
    this.#isInputEnded = true
    if (this.#paused) this.#controller?.resume()
  }

  #holdEnd (part: Buffer): void {
    const waitMs = BYTES_BEHIND_WAIT_MS[this.#body?.partialHead ?? 'none']
    // Bytes that arrived while the event loop was busy are read after its timers.
    const timer = systemClock.after(waitMs, () => { setImmediate(() => { this.#passHeld() }) })
    this.#held = { part, timer, trailers: undefined }
    this.#connection.onNextRead(bytes => {
      if (this.#held === undefined) return
      if (this.#body?.judgeBehind(bytes) === 'spliced') this.#failHeld(new SplicedBodyError())
      else this.#passHeld()
    })
  }

  /** Passes the end of the body on, as nothing behind it shows that it belongs to another response. */
  #passHeld (): void {
    const held = this.#releaseHeld()
    if (held === undefined) return
    try {
      this.#handler.data(held.part)
      if (held.trailers === undefined) return
      this.#isEnded = true
      this.#handler.end(held.trailers)
    } catch (err) {
      // As the client does with an error of a handler that it calls itself.
      this.#handler.failed(toError(err), true)
    }
  }

  #failHeld (err: Error): void {
    const held = this.#releaseHeld()
    if (held === undefined) return
    if (held.trailers === undefined) return this.#controller?.abort(err)
    this.#isEnded = true
    this.#handler.failed(err, true)
  }

  #releaseHeld (): HeldEnd | undefined {
    const held = this.#held
    this.#held = undefined
    held?.timer.close()
    return held
  }
}
