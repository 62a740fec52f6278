/** Splits a byte stream of server-sent events into complete events, so that no partial event is forwarded. */

/** The complete events of one chunk. */
export interface CompleteEvents {
  readonly bytes: Buffer
  /** Id of the last event that has one; undefined when none has. */
  readonly lastId: number | undefined
  /** Offset of that id; -1 when there is none. */
  readonly lastIdAt: number
}

const LF = 0x0a
const CR = 0x0d
const SPACE = 0x20
const ZERO = 0x30
const NINE = 0x39
const COLON = 0x3a

/** Bytes of the end of a line with the blank line that follows it, at most. */
const BLANK_LINE_BYTES = 3

/** Digits that a number holds exactly. */
const MAX_ID_DIGITS = 15

/** Bytes for which memory is reserved when an event begins to arrive in part. */
const MIN_PARTIAL_BYTES = 1024

/** The event at the end of a stream that has not arrived completely. Its memory doubles as it grows, so that each byte is copied a bounded number of times. */
class PartialEvent {
  #memory: Buffer = Buffer.alloc(0)
  #length = 0
  /** Bytes that were copied so far. */
  copiedBytes = 0

  get length (): number {
    return this.#length
  }

  append (bytes: Buffer): void {
    const length = this.#length + bytes.length
    if (length > this.#memory.length) {
      const grown = Buffer.allocUnsafe(Math.max(MIN_PARTIAL_BYTES, 2 * length))
      this.copiedBytes += this.#memory.copy(grown, 0, 0, this.#length)
      this.#memory = grown
    }
    this.copiedBytes += bytes.copy(this.#memory, this.#length)
    this.#length = length
  }

  /** Returns the bytes, and starts the next event. */
  take (): Buffer {
    const bytes = this.#memory.subarray(0, this.#length)
    this.#memory = Buffer.alloc(0)
    this.#length = 0
    return bytes
  }

  /** Returns the last bytes, at most `count`. */
  last (count: number): Buffer {
    return this.#memory.subarray(Math.max(0, this.#length - count), this.#length)
  }
}

/** Splits one stream. */
export class EventSplitter {
  readonly #partial = new PartialEvent()
  #searchedBytes = 0
  /** The last events with an id. */
  #numbered: CompleteEvents | undefined
  /** True when an event without an id came in a later chunk. */
  #hasUnnumbered = false

  /** Size of the incomplete event at the end. */
  get pendingBytes (): number {
    return this.#partial.length
  }

  /** Bytes that were searched for the end of an event or copied so far, by which a test can tell how the work grows with the number of chunks. */
  get processedBytes (): number {
    return this.#searchedBytes + this.#partial.copiedBytes
  }

  /** False when the last event has no id, so that the position in the stream is not known; read from the last chunk only when it is asked for. */
  get endsWithId (): boolean {
    if (this.#hasUnnumbered) return false
    if (this.#numbered === undefined) return true
    const { bytes, lastIdAt } = this.#numbered
    return hasOnlyComments(bytes, eventEndAfter(bytes, lastIdAt))
  }

  /**
   * Adds the next chunk.
   *
   * @returns the events that are now complete; undefined when there are none
   */
  push (chunk: Buffer): CompleteEvents | undefined {
    const end = this.#lastEventEnd(chunk)
    if (end === 0) {
      this.#partial.append(chunk)
      return undefined
    }
    const bytes = this.#takeEvents(chunk, end)
    const events = readLastId(bytes)
    if (events.lastId === undefined) this.#hasUnnumbered ||= !hasOnlyComments(bytes, 0)
    else {
      this.#numbered = events
      this.#hasUnnumbered = false
    }
    return events
  }

  /** Returns the offset in the chunk after the last blank line, which may have begun before the chunk; 0 when no event ends in it. */
  #lastEventEnd (chunk: Buffer): number {
    const before = this.#partial.last(BLANK_LINE_BYTES - 1)
    const byteAt = (at: number): number | undefined => at < 0 ? before[before.length + at] : chunk[at]
    for (let end = chunk.lastIndexOf(LF); end !== -1; end = end === 0 ? -1 : chunk.lastIndexOf(LF, end - 1)) {
      if (byteAt(end - 1) !== LF && (byteAt(end - 1) !== CR || byteAt(end - 2) !== LF)) continue
      this.#searchedBytes += chunk.length - end
      return end + 1
    }
    this.#searchedBytes += chunk.length
    return 0
  }

  /** Returns the incomplete event together with the chunk up to an offset, and keeps the rest of the chunk. */
  #takeEvents (chunk: Buffer, end: number): Buffer {
    let bytes = chunk.subarray(0, end)
    if (this.#partial.length > 0) {
      this.#partial.append(bytes)
      bytes = this.#partial.take()
    }
    if (end < chunk.length) this.#partial.append(chunk.subarray(end))
    return bytes
  }
}

const ID_FIELD = Buffer.from('id:')

/** Reads the id of the last event that has one, from the end, so that the data before it is not searched. */
const readLastId = (bytes: Buffer): CompleteEvents => {
  for (let at = bytes.lastIndexOf(ID_FIELD); at !== -1; at = at === 0 ? -1 : bytes.lastIndexOf(ID_FIELD, at - 1)) {
    const lastId = at === 0 || bytes[at - 1] === LF ? eventIdAt(bytes, at + ID_FIELD.length) : undefined
    if (lastId !== undefined) return { bytes, lastId, lastIdAt: at }
  }
  return { bytes, lastId: undefined, lastIdAt: -1 }
}

/** Returns the offset after the first blank line from an offset on. */
const eventEndAfter = (bytes: Buffer, start: number): number => {
  for (let at = bytes.indexOf(LF, start); at !== -1; at = bytes.indexOf(LF, at + 1)) {
    if (bytes[at + 1] === LF) return at + 2
    if (bytes[at + 1] === CR && bytes[at + 2] === LF) return at + 3
  }
  return bytes.length
}

/** True when no line from an offset on, which is the start of a line, is a field of an event. */
const hasOnlyComments = (bytes: Buffer, start: number): boolean => {
  let at = start
  while (at < bytes.length) {
    const first = bytes[at]
    if (first !== COLON && first !== LF && first !== CR) return false
    const end = bytes.indexOf(LF, at)
    if (end === -1) return true
    at = end + 1
  }
  return true
}

/** Reads the digits up to the end of a line, after at most one space; undefined when there is something else. */
const eventIdAt = (bytes: Buffer, start: number): number | undefined => {
  const first = bytes[start] === SPACE ? start + 1 : start
  let id = 0
  let at = first
  for (; isDigit(bytes[at]); at++) id = id * 10 + (bytes[at] ?? ZERO) - ZERO
  if (at === first || at - first > MAX_ID_DIGITS) return undefined
  const end = bytes[at] === CR ? at + 1 : at
  return bytes[end] === LF ? id : undefined
}

const isDigit = (byte: number | undefined): boolean => byte !== undefined && byte >= ZERO && byte <= NINE
