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

/** Digits that a number holds exactly. */
const MAX_ID_DIGITS = 15

/** Splits one stream. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0)
  /** The last events with an id. */
  #numbered: CompleteEvents | undefined
  /** True when an event without an id came in a later chunk. */
  #hasUnnumbered = false

  /** Size of the incomplete event at the end. */
  get pendingBytes (): number {
    return this.#pending.length
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
    const buffered = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk])
    const end = lastEventEnd(buffered)
    if (end === 0) {
      this.#pending = buffered
      return undefined
    }
    this.#pending = buffered.subarray(end)
    const bytes = buffered.subarray(0, end)
    const events = readLastId(bytes)
    if (events.lastId === undefined) this.#hasUnnumbered ||= !hasOnlyComments(bytes, 0)
    else {
      this.#numbered = events
      this.#hasUnnumbered = false
    }
    return events
  }
}

/** Returns the offset after the last blank line. */
const lastEventEnd = (bytes: Buffer): number => {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== LF) continue
    if (bytes[at - 1] === LF || (at > 2 && bytes[at - 1] === CR && bytes[at - 2] === LF)) return at + 1
  }
  return 0
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
