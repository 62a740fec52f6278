/** Finds out from the bytes of a connection whether a response is in progress, so that nothing else is written into it. */

/** Bytes and pieces of them that are kept before they are followed: where a connection stands is rarely asked, and short responses need not be followed at all. */
const MAX_UNREAD = { bytes: 4 * 1024, pieces: 8 } as const

/** Longest head or line of a chunk that is followed; nothing is known of a connection with a longer one. */
const MAX_TEXT_BYTES = 128 * 1024

const LINE_END = '\r\n'
const HEAD_END = '\r\n\r\n'

const STATUS_LINE = /^HTTP\/1\.\d (\d{3})/

const CHUNK_SIZE = /^([0-9a-f]{1,12})(?:;|$)/i

/**
 * What the next bytes are: the head of a response, a body of known length, the line with a chunk's size, the chunk with its line end, the lines after the
 * last chunk, a body that ends with the connection, or bytes of which nothing is known.
 */
type Part = 'head' | 'length' | 'size' | 'chunk' | 'trailer' | 'until-close' | 'unknown'

/** Follows the responses on one connection. */
export class ResponseBoundary {
  #part: Part = 'head'
  /** Text that is not complete. */
  #text = ''
  /** Bytes that are left of a body of known length, or of a chunk. */
  #left = 0
  #unread: Buffer[] = []
  #unreadBytes = 0

  /** True before the first response and after the end of each. */
  get isBetween (): boolean {
    this.#follow()
    return this.#part === 'head' && this.#text === ''
  }

  /** True when the body that is in progress has no other end than that of the connection, or may have none. */
  get endsWithConnection (): boolean {
    this.#follow()
    return this.#hasNoEnd
  }

  get #hasNoEnd (): boolean {
    return this.#part === 'until-close' || this.#part === 'unknown'
  }

  /** Nothing is known from here on, as after a request whose response has no body in spite of its head. */
  stopFollowing (): void {
    this.#part = 'unknown'
    this.#text = ''
  }

  /** Adds bytes that were received. */
  push (bytes: Buffer): void {
    if (this.#hasNoEnd) return
    this.#unread.push(bytes)
    this.#unreadBytes += bytes.length
    if (this.#unreadBytes > MAX_UNREAD.bytes || this.#unread.length > MAX_UNREAD.pieces) this.#follow()
  }

  #follow (): void {
    const unread = this.#unread
    if (unread.length === 0) return
    this.#unread = []
    this.#unreadBytes = 0
    for (const bytes of unread) {
      for (let at = 0; at < bytes.length && !this.#hasNoEnd;) at = this.#isSized ? this.#skip(bytes, at) : this.#readText(bytes, at)
    }
  }

  get #isSized (): boolean {
    return this.#part === 'length' || this.#part === 'chunk'
  }

  #skip (bytes: Buffer, at: number): number {
    const skipped = Math.min(this.#left, bytes.length - at)
    this.#left -= skipped
    if (this.#left === 0) this.#part = this.#part === 'length' ? 'head' : 'size'
    return at + skipped
  }

  /** Reads up to the end of the head or line. */
  #readText (bytes: Buffer, at: number): number {
    const mark = this.#part === 'head' ? HEAD_END : LINE_END
    const before = this.#text.length
    // The mark may have begun in the bytes before.
    const overlap = this.#text.slice(-mark.length + 1)
    const found = bytes.indexOf(mark, at, 'latin1')
    const end = (overlap + bytes.toString('latin1', at, at + mark.length - 1)).indexOf(mark)
    if (end === -1 && found === -1) {
      this.#text += bytes.toString('latin1', at)
      if (this.#text.length > MAX_TEXT_BYTES) this.stopFollowing()
      return bytes.length
    }
    const next = end === -1 ? found + mark.length : at + end + mark.length - overlap.length
    const text = (this.#text + bytes.toString('latin1', at, next)).slice(0, before + next - at - mark.length)
    this.#text = ''
    this.#endText(text)
    return next
  }

  #endText (text: string): void {
    switch (this.#part) {
      case 'head': return this.#endHead(text)
      case 'size': return this.#endSize(text)
      case 'trailer':
        if (text === '') this.#part = 'head'
        return
      default: this.stopFollowing()
    }
  }

  #endHead (head: string): void {
    const status = Number(STATUS_LINE.exec(head)?.[1] ?? NaN)
    const length = /\r\ncontent-length: *(\d{1,15}) *(?:\r\n|$)/i.exec(head)?.[1]
    if (Number.isNaN(status)) return this.stopFollowing()
    if (status === 101) this.#part = 'until-close'
    else if (status < 200 || status === 204 || status === 304) this.#part = 'head'
    else if (/\r\ntransfer-encoding: *chunked *(?:\r\n|$)/i.test(head)) this.#part = 'size'
    else if (length === undefined) this.#part = 'until-close'
    else this.#startSized('length', Number(length), 'head')
  }

  #endSize (line: string): void {
    const size = CHUNK_SIZE.exec(line)?.[1]
    if (size === undefined) return this.stopFollowing()
    const bytes = parseInt(size, 16)
    if (bytes === 0) this.#part = 'trailer'
    else this.#startSized('chunk', bytes + LINE_END.length, 'size')
  }

  #startSized (part: Part, bytes: number, after: Part): void {
    this.#left = bytes
    this.#part = bytes === 0 ? after : part
  }
}
