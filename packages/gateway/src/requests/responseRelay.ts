/** Passes one answer on to a caller, over one or more runs of the request. */
import type { ServerResponse } from 'node:http'
import { endToEndHeaders, type HeaderList } from '@fuchsiaworks/wire'
import { EventSplitter } from './eventSplitter.js'

/** Bytes of a plain answer that are held until it is whole, so that a broken one can still be replaced. */
const MAX_HELD_BYTES = 64 * 1024

/** Headers that tell where a body ends. */
const FRAMING_HEADERS = new Set(['content-length', 'transfer-encoding'])

/** The answer of one caller. */
export class ResponseRelay {
  readonly #res: ServerResponse
  readonly #isStream: boolean
  #status = 0
  /** True when the body ends with the upstream's connection: whether it is whole cannot be seen. */
  #isUnframed = false
  #headers: HeaderList = []
  #held: Buffer[] = []
  #heldBytes = 0
  #splitter = new EventSplitter()
  #lastEventId: number | undefined

  /**
   * @param res - the caller's response
   * @param isStream - whether the body is a stream of events
   * @param resumedAfter - last event that the caller already has
   */
  constructor (res: ServerResponse, isStream: boolean, resumedAfter: number | undefined) {
    this.#res = res
    this.#isStream = isStream
    this.#lastEventId = resumedAfter
  }

  /** True when a part of the answer has been passed on. */
  get hasBegun (): boolean {
    return this.#res.headersSent
  }

  /** Number of the last event that was passed on. */
  get lastEventId (): number | undefined {
    return this.#lastEventId
  }

  get status (): number {
    return this.#status
  }

  /** Takes the head of a run's answer; the head of the first run stays. */
  head (status: number, headers: HeaderList): void {
    this.#splitter = new EventSplitter()
    this.#held = []
    this.#heldBytes = 0
    if (this.hasBegun) return
    this.#status = status
    this.#isUnframed = !headers.some(([name]) => FRAMING_HEADERS.has(name.toLowerCase()))
    this.#headers = endToEndHeaders(headers)
  }

  /**
   * Takes a part of the body.
   *
   * @returns false when the caller reads too slowly; `onDrain` tells when to go on
   */
  data (chunk: Buffer): boolean {
    if (!this.#isStream) return this.#holdOrWrite(chunk)
    const events = this.#splitter.push(chunk)
    if (events === undefined) return true
    if (events.lastId !== undefined) this.#lastEventId = events.lastId
    return this.#write(events.bytes)
  }

  /**
   * Ends the answer.
   *
   * @returns false when the body stops inside an event, so that it cannot be whole
   */
  end (): boolean {
    if (this.#isStream && this.#splitter.pendingBytes > 0) return false
    if (!this.hasBegun && !this.#isStream && !this.#isUnframed) this.#headers = [...this.#headers.filter(([name]) => name !== 'content-length'), ['content-length', String(this.#heldBytes)]]
    this.#flushHeld()
    this.#writeHead()
    this.#res.end()
    return true
  }

  /** Calls back once when the caller has read what was sent. */
  onDrain (resume: () => void): void {
    this.#res.once('drain', resume)
  }

  #holdOrWrite (chunk: Buffer): boolean {
    if (this.hasBegun) return this.#write(chunk)
    this.#held.push(chunk)
    this.#heldBytes += chunk.length
    return this.#heldBytes <= MAX_HELD_BYTES ? true : this.#flushHeld()
  }

  #flushHeld (): boolean {
    let ready = true
    for (const chunk of this.#held) ready = this.#write(chunk)
    this.#held = []
    return ready
  }

  #write (bytes: Buffer): boolean {
    this.#writeHead()
    return this.#res.write(bytes)
  }

  #writeHead (): void {
    if (this.hasBegun) return
    // A body without a length is passed on without one: a length of ours would vouch for what nobody has seen.
    if (this.#isUnframed) this.#res.useChunkedEncodingByDefault = false
    this.#res.writeHead(this.#status, this.#headers.flatMap(([name, value]) => [name, value]))
  }
}
