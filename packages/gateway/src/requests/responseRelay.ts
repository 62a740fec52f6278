/** Forwards the response to one caller; a stream may be assembled from the responses of several attempts. */
import type { ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { endToEndHeaders, type HeaderList } from '@fuchsiaworks/wire'
import { EventSplitter } from './eventSplitter.js'
import { EVENT_STREAM, mayContinue, mediaTypeOf, StreamContinuation } from './streamContinuation.js'

/** A response that is not a stream is buffered up to this size until it is complete, so that another attempt can replace it when it breaks off. */
const MAX_BUFFERED_BYTES = 64 * 1024

/** Largest event of a stream; one that has not ended by then is not waited for. */
const MAX_EVENT_BYTES = 256 * 1024

/** Headers that delimit a body. */
const FRAMING_HEADERS = new Set(['content-length', 'transfer-encoding'])

/** Status from which a response is not a success, so that its body is no stream of events. */
const FIRST_NON_SUCCESS_STATUS = 300

const CHUNK_END = '\r\n'

const LAST_CHUNK = '0\r\n\r\n'

/** Frames bytes as one chunk (RFC 9112, section 7.1) in one buffer. */
const frameChunk = (bytes: Buffer): Buffer => {
  const size = `${bytes.length.toString(16)}${CHUNK_END}`
  const framed = Buffer.allocUnsafe(size.length + bytes.length + CHUNK_END.length)
  framed.write(size, 0, 'latin1')
  bytes.copy(framed, size.length)
  framed.write(CHUNK_END, size.length + bytes.length, 'latin1')
  return framed
}

/** A stream that another response may continue. */
export interface ResumableStream {
  /** Names of headers that may be the first line of an event, in lower case. */
  readonly eventHeaders: ReadonlySet<string>
}

/** Response to one caller. */
export class ResponseRelay {
  readonly #res: ServerResponse
  readonly #isStream: boolean
  readonly #resumable: ResumableStream | undefined
  /** True when the caller has a part of the stream from an earlier response. */
  readonly #isTakenUp: boolean
  #status = 0
  /** Media type of the response that was begun last, until a part of one has been forwarded. */
  #mediaType: string | undefined
  #hasEvents = false
  /** Checks the current response, if it has to go on with the stream. */
  #continuation: StreamContinuation | undefined
  /** True when the body is delimited only by the end of the upstream's connection, so that truncation cannot be detected. */
  #isUnframed = false
  #headers: HeaderList = []
  #buffered: Buffer[] = []
  #bufferedBytes = 0
  /** True when this class frames the chunks of the body: Node.js passes each one to the socket in four pieces. */
  #framesChunks = false
  /** True when the caller finds the end of the body by the end of its connection only. */
  #endsWithConnection = false
  /** True once a chunk was written behind the head. */
  #hasWrittenChunk = false
  /** What was written to last, and emits `drain`. */
  #target: ServerResponse | Socket
  #splitter = new EventSplitter()
  #lastEventId: number | undefined
  /** Bytes of the body that have been forwarded. */
  forwardedBytes = 0

  /**
   * @param res - the caller's response
   * @param isStream - whether the body is a stream of server-sent events
   * @param resumedAfter - id of the last event that the caller already has
   * @param resumable - given when another response may continue the stream
   */
  constructor (res: ServerResponse, isStream: boolean, resumedAfter: number | undefined, resumable?: ResumableStream) {
    this.#res = res
    this.#target = res
    this.#isStream = isStream
    this.#resumable = resumable
    this.#isTakenUp = resumable !== undefined && resumedAfter !== undefined
    this.#lastEventId = resumedAfter
  }

  /** True when a part of the response has been forwarded. */
  get hasStarted (): boolean {
    return this.#res.headersSent
  }

  /** Id of the last event that was forwarded. */
  get lastEventId (): number | undefined {
    return this.#lastEventId
  }

  /** True when the last event has not arrived completely. */
  get hasPartialEvent (): boolean {
    return this.#splitter.pendingBytes > 0
  }

  /** True when the upstream has sent more of an event than an event may have. */
  get isEventTooLong (): boolean {
    return this.#splitter.pendingBytes > MAX_EVENT_BYTES
  }

  /** True when another response may follow: nothing has been forwarded, or the events up to a known id. */
  get canResume (): boolean {
    return !this.hasStarted || (this.#hasEvents && (this.#continuation !== undefined || this.#splitter.endsWithId))
  }

  /** True when the current response has sent something that does not go on with the stream. */
  get hasMismatch (): boolean {
    return this.#continuation?.hasMismatch === true
  }

  /** False when the current response has to go on with the stream and has not brought an event. */
  get hasRequiredEvents (): boolean {
    return this.#continuation?.hasEvents !== false
  }

  /** True when the body of the current response is a series of events. */
  get isEventStream (): boolean {
    return this.#hasEvents
  }

  get status (): number {
    return this.#status
  }

  /** Returns why a response must not be forwarded, by its head: one that has to go on with a stream, or to begin one that may be resumed, has events. */
  headProblem (status: number, headers: HeaderList): 'garbled' | 'not-continued' | undefined {
    if (this.#resumable === undefined || (!this.hasStarted && status >= FIRST_NON_SUCCESS_STATUS)) return undefined
    const mediaType = mediaTypeOf(headers)
    if (this.hasStarted || this.#isTakenUp) return mayContinue(status, mediaType, this.hasStarted ? this.#mediaType : undefined) ? undefined : 'not-continued'
    return mediaType === undefined || mediaType === EVENT_STREAM ? undefined : 'garbled'
  }

  /** Starts the response of an attempt; once something has been forwarded, status and headers stay those of the earlier attempt. */
  head (status: number, headers: HeaderList): void {
    this.#splitter = new EventSplitter()
    this.#buffered = []
    this.#bufferedBytes = 0
    this.#hasEvents = this.#isStream && status < FIRST_NON_SUCCESS_STATUS
    const mustContinue = this.#hasEvents && (this.hasStarted || this.#isTakenUp)
    this.#continuation = mustContinue && this.#resumable !== undefined ? new StreamContinuation(this.#lastEventId, this.#resumable.eventHeaders) : undefined
    if (this.hasStarted) return
    this.#status = status
    this.#mediaType = mediaTypeOf(headers)
    this.#isUnframed = !headers.some(([name]) => FRAMING_HEADERS.has(name.toLowerCase()))
    this.#headers = endToEndHeaders(headers)
    // The length is that of one response; the stream may be continued by another one.
    if (this.#hasEvents && this.#resumable !== undefined) this.#headers = this.#headers.filter(([name]) => name.toLowerCase() !== 'content-length')
  }

  /**
   * Forwards a part of the body.
   *
   * @returns false when the caller reads too slowly; `onDrain` calls back when to continue
   */
  data (chunk: Buffer): boolean {
    // An empty part would be framed as the last chunk.
    if (chunk.length === 0) return true
    if (!this.#hasEvents) return this.#bufferOrWrite(chunk)
    const events = this.#splitter.push(chunk)
    if (events === undefined) return true
    if (this.#continuation !== undefined) return this.#writeContinued(this.#continuation, events.bytes)
    if (events.lastId !== undefined) this.#lastEventId = events.lastId
    return this.#write(events.bytes)
  }

  /**
   * Ends the response.
   *
   * @returns false when the body stops inside an event, or has to go on with a stream and has no event, so that it is incomplete
   */
  end (): boolean {
    if (this.#hasEvents && (this.#splitter.pendingBytes > 0 || !this.hasRequiredEvents)) return false
    if (!this.hasStarted && !this.#hasEvents && !this.#isUnframed) this.#headers = [...this.#headers.filter(([name]) => name !== 'content-length'), ['content-length', String(this.#bufferedBytes)]]
    this.#flushBuffer()
    this.#writeHead()
    if (this.#framesChunks) this.#res.end(LAST_CHUNK)
    // The server takes a connection for idle once its response has ended, and may close it before all of it was sent.
    else if (this.#endsWithConnection) this.#res.write('', () => { this.#res.end() })
    else this.#res.end()
    return true
  }

  /** Breaks the response off. Where the body ends with the connection, an orderly close would declare it complete, so that the connection is reset. */
  breakOff (): void {
    const { socket } = this.#res
    if (this.#endsWithConnection && socket instanceof Socket) socket.resetAndDestroy()
    this.#res.destroy()
  }

  /** Calls back once when the caller's send buffer has drained. */
  onDrain (resume: () => void): void {
    this.#target.once('drain', resume)
  }

  #writeContinued (continuation: StreamContinuation, events: Buffer): boolean {
    const bytes = continuation.accept(events)
    this.#lastEventId = continuation.lastId
    return bytes.length === 0 || this.#write(bytes)
  }

  #bufferOrWrite (chunk: Buffer): boolean {
    if (this.hasStarted) return this.#write(chunk)
    this.#buffered.push(chunk)
    this.#bufferedBytes += chunk.length
    return this.#bufferedBytes <= MAX_BUFFERED_BYTES ? true : this.#flushBuffer()
  }

  #flushBuffer (): boolean {
    let ready = true
    for (const chunk of this.#buffered) ready = this.#write(chunk)
    this.#buffered = []
    return ready
  }

  #write (bytes: Buffer): boolean {
    this.#writeHead()
    this.forwardedBytes += bytes.length
    return this.#framesChunks ? this.#writeChunk(frameChunk(bytes)) : this.#res.write(bytes)
  }

  /** Writes the first chunk together with the head, and further ones to the socket directly: the response would cork the socket for each until the next tick. */
  #writeChunk (frame: Buffer): boolean {
    const { socket } = this.#res
    // A response to a pipelined request has no socket until the responses before it have ended.
    this.#target = this.#hasWrittenChunk && socket !== null ? socket : this.#res
    this.#hasWrittenChunk = true
    return this.#target.write(frame)
  }

  #writeHead (): void {
    if (this.hasStarted) return
    // A body without a length is forwarded without one: adding a length would declare a possibly truncated body complete.
    if (this.#isUnframed) this.#res.useChunkedEncodingByDefault = false
    this.#res.writeHead(this.#status, this.#headers.flatMap(([name, value]) => [name, value]))
    this.#endsWithConnection = !this.#res.chunkedEncoding && !this.#headers.some(([name]) => name.toLowerCase() === 'content-length')
    if (this.#endsWithConnection) this.#followConnection()
    // The header announces chunks from here on; a response without a body, as to HEAD, has none.
    if (!this.#res.chunkedEncoding) return
    this.#framesChunks = true
    this.#res.chunkedEncoding = false
  }

  /** The server ends the connection of a caller that has ended its side, which would declare the body complete. */
  #followConnection (): void {
    const follow = (socket: Duplex): void => {
      socket.prependOnceListener('end', () => { if (!this.#res.writableEnded) this.breakOff() })
    }
    if (this.#res.socket === null) this.#res.once('socket', follow)
    else follow(this.#res.socket)
  }
}
