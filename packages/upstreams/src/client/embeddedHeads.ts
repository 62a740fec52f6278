/** Finds heads of responses inside the body of a response, where an upstream has broken one off and written another one behind. */
import type { HeaderList } from '@fuchsiaworks/wire'

/** The head of a response inside a body. */
export interface EmbeddedHead {
  readonly status: number
  /** Headers that have arrived completely. */
  readonly headers: HeaderList
  /** What ends it; `nothing`: it stops where the bytes that have arrived stop. */
  readonly endedBy: 'blank-line' | 'other-text' | 'nothing'
  /** True when it stops behind the name of a header, or behind a whole header. */
  readonly stopsInHeaders: boolean
  /** Offset in the body of the first byte behind the head. */
  readonly endsAt: number
  /** Offset in the body at which its response ends by the length that it names; undefined when it names none. */
  readonly responseEndsAt: number | undefined
}

/** How far a body ends with something that may go on as the head of another response. */
export type PartialHead = 'none' | 'possible' | 'likely'

/** Begin of each status line. */
const VERSION = Buffer.from('HTTP/1.')

const FIRST_BYTE = VERSION[0]

const PROTOCOL_NAME = 'HTTP'

/** Bytes of a status line up to its code. */
const STATUS_START_BYTES = 12

/** Ends the begin of a status line with the bytes that it misses, to be matched as a whole one. */
const STATUS_PATTERN = 'HTTP/1.1 200'

/** A status line without its line feed. Reason phrases are short; a longer text is none. */
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d\d)(?: [\w '().,-]{0,48})?\r?$/

/** Longest text that can be a status line without its line feed. */
const MAX_STATUS_LINE_BYTES = STATUS_START_BYTES + 50

const HEADER_LINE = /^([!#$%&'*+.^`|~\w-]+):[ \t]*(.*?)[ \t]*\r?$/

/** A line that a header, or the blank line behind the headers, may begin with. */
const HEADER_LINE_BEGIN = /^(?:[!#$%&'*+.^`|~\w-]+(?::.*)?)?\r?$/

/** Longest line of headers. */
const MAX_HEADER_LINE_BYTES = 16 * 1024

const MAX_HEADERS = 256

/** Digits of a length that a number holds exactly. */
const LENGTH = /^\d{1,15}$/

const LF = 0x0a

const CR = '\r'

const NONE: readonly EmbeddedHead[] = []

/** True for the begin of a status line, up to a whole one without its line feed. */
const isStatusLineBegin = (text: string): boolean => STATUS_LINE.test(text + STATUS_PATTERN.slice(text.length))

/** Returns the last begin of a status line in a text that goes on up to its end; empty when there is none. */
const lastStatusLineBegin = (text: string): string => {
  const begin = text.slice(Math.max(0, text.length - MAX_STATUS_LINE_BYTES))
  for (let at = begin.lastIndexOf('H'); at !== -1; at = at === 0 ? -1 : begin.lastIndexOf('H', at - 1)) {
    if (isStatusLineBegin(begin.slice(at))) return begin.slice(at)
  }
  return ''
}

/** A head while it is read. */
type HeadState = Pick<EmbeddedHead, 'status'> & { readonly headers: Array<readonly [string, string]> }

const describeHead = (head: HeadState, endedBy: EmbeddedHead['endedBy'], stopsInHeaders: boolean, endsAt: number): EmbeddedHead => {
  const length = head.headers.find(([name]) => name.toLowerCase() === 'content-length')?.[1]
  return { ...head, endedBy, stopsInHeaders, endsAt, responseEndsAt: length !== undefined && LENGTH.test(length) ? endsAt + Number(length) : undefined }
}

/**
 * Searches one body. Lines of a head end with CR LF, as the HTTP client requires of the head of the response itself. Each byte is searched once for the
 * begin of a head, and once more as part of one.
 */
export class EmbeddedHeads {
  /** Bytes of the body before the chunk that is searched. */
  #offset = 0
  /** A line that may be a status line, or one of the headers behind it, as far as it has arrived; undefined in other text. */
  #line: string | undefined
  /** The head that is being read; undefined before the end of its status line. */
  #head: HeadState | undefined

  /** Whether the bytes searched so far end with the begin of a status line, or inside a head. */
  get partial (): PartialHead {
    if (this.#line === undefined) return 'none'
    return this.#head !== undefined || this.#line.length >= PROTOCOL_NAME.length ? 'likely' : 'possible'
  }

  /** The head that has not ended, as far as it has arrived; undefined when there is none, or its status line has not ended. */
  get partialHead (): EmbeddedHead | undefined {
    if (this.#head === undefined) return undefined
    const line = this.#line ?? ''
    if (!HEADER_LINE_BEGIN.test(line)) return describeHead(this.#head, 'other-text', false, this.#offset - line.length)
    return describeHead(this.#head, 'nothing', this.#head.headers.length > 0 || HEADER_LINE.test(line), this.#offset)
  }

  /**
   * Searches further bytes.
   *
   * @returns the heads that have ended in them
   */
  push (chunk: Buffer): readonly EmbeddedHead[] {
    let found: EmbeddedHead[] | undefined
    let at = 0
    while (at < chunk.length) {
      if (this.#line === undefined) {
        at = this.#findStatusLine(chunk, at)
        continue
      }
      if (this.#head === undefined) {
        at = this.#readStatusLine(this.#line, chunk, at)
        continue
      }
      const lineEnd = chunk.indexOf(LF, at)
      const end = lineEnd === -1 ? chunk.length : lineEnd
      const line: string = this.#line + chunk.toString('latin1', at, end)
      at = lineEnd === -1 ? end : end + 1
      const head = this.#readHeader(this.#head, line, lineEnd !== -1, this.#offset + at)
      if (head !== undefined) (found ??= []).push(head)
    }
    this.#offset += chunk.length
    return found ?? NONE
  }

  /** True when bytes that follow the searched ones go on with the head, or the begin of a status line, with which those end. */
  isContinuedBy (bytes: Buffer): boolean {
    if (this.#line === undefined || bytes.length === 0) return false
    const lineEnd = bytes.indexOf(LF)
    const line = this.#line + bytes.toString('latin1', 0, lineEnd === -1 ? Math.min(bytes.length, MAX_HEADER_LINE_BYTES) : lineEnd)
    if (this.#head === undefined) return lineEnd === -1 ? line.length <= STATUS_START_BYTES && isStatusLineBegin(line) : line.endsWith(CR) && STATUS_LINE.test(line)
    if (lineEnd === -1) return HEADER_LINE_BEGIN.test(line) && !isStatusLineBegin(line)
    return line === CR || (line.endsWith(CR) && HEADER_LINE.test(line))
  }

  /** Returns the offset behind the begin of the next status line, and keeps what has arrived of it. */
  #findStatusLine (chunk: Buffer, from: number): number {
    for (let at = chunk.indexOf(VERSION, from); at !== -1; at = chunk.indexOf(VERSION, at + VERSION.length)) {
      const begin = chunk.toString('latin1', at, at + STATUS_START_BYTES)
      if (!isStatusLineBegin(begin)) continue
      this.#line = begin
      return at + begin.length
    }
    for (let at = Math.max(from, chunk.length - VERSION.length + 1); at < chunk.length; at++) {
      if (chunk[at] !== FIRST_BYTE || !isStatusLineBegin(chunk.toString('latin1', at))) continue
      this.#line = chunk.toString('latin1', at)
      break
    }
    return chunk.length
  }

  /** Goes on with a status line; returns the offset from which on the chunk is searched further. */
  #readStatusLine (begun: string, chunk: Buffer, from: number): number {
    const next = chunk.subarray(from, from + MAX_STATUS_LINE_BYTES + 1 - begun.length)
    const lineEnd = next.indexOf(LF)
    const line = begun + next.toString('latin1', 0, lineEnd === -1 ? next.length : lineEnd)
    if (line.length <= MAX_STATUS_LINE_BYTES && isStatusLineBegin(line) && (lineEnd === -1 || line.endsWith(CR))) {
      this.#line = lineEnd === -1 ? line : ''
      if (lineEnd !== -1) this.#head = { status: Number(STATUS_LINE.exec(line)?.[1]), headers: [] }
      return from + (lineEnd === -1 ? next.length : lineEnd + 1)
    }
    // Another status line may begin inside this one, with bytes that came before the chunk.
    const ahead = begun.slice(1) + next.toString('latin1', 0, STATUS_START_BYTES)
    for (let at = ahead.indexOf('H'); at !== -1 && at < begun.length - 1; at = ahead.indexOf('H', at + 1)) {
      const begin = ahead.slice(at, at + STATUS_START_BYTES)
      if (!isStatusLineBegin(begin) || (begin.length < STATUS_START_BYTES && from + next.length < chunk.length)) continue
      this.#line = begin.length > begun.length - 1 - at ? begin : ahead.slice(at, begun.length - 1)
      return from + at + this.#line.length - (begun.length - 1)
    }
    this.#line = undefined
    return from
  }

  /** Goes on with a line of headers; returns the head that it ends. */
  #readHeader (head: HeadState, line: string, isWhole: boolean, endsAt: number): EmbeddedHead | undefined {
    if (!isWhole && line.length <= MAX_HEADER_LINE_BYTES) {
      this.#line = line
      return undefined
    }
    if (isWhole && line === CR) return this.#endHead(head, 'blank-line', endsAt, undefined)
    // One head may break off inside a line and be followed by another one.
    const begin = lastStatusLineBegin(line)
    const header = isWhole && begin === '' && line.endsWith(CR) && head.headers.length < MAX_HEADERS ? HEADER_LINE.exec(line) : null
    if (header === null) return this.#endHead(head, 'other-text', endsAt - (begin === '' ? line : begin).length - (isWhole ? 1 : 0), begin === '' ? undefined : { line: begin, isWhole })
    head.headers.push([header[1] ?? '', header[2] ?? ''])
    this.#line = ''
    return undefined
  }

  /** @param next - a status line with which another head begins */
  #endHead (head: HeadState, endedBy: 'blank-line' | 'other-text', endsAt: number, next: { readonly line: string, readonly isWhole: boolean } | undefined): EmbeddedHead | undefined {
    const status = next?.isWhole === true && next.line.endsWith(CR) ? STATUS_LINE.exec(next.line)?.[1] : undefined
    this.#head = status === undefined ? undefined : { status: Number(status), headers: [] }
    this.#line = status === undefined ? (next?.isWhole === true ? undefined : next?.line) : ''
    // A status line alone names nothing.
    return endedBy === 'other-text' && head.headers.length === 0 ? undefined : describeHead(head, endedBy, false, endsAt)
  }
}
