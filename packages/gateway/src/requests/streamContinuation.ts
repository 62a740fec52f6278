/** Checks that a response goes on with a stream of server-sent events of which the caller has received a part. */
import type { HeaderList } from '@fuchsiaworks/wire'

export const EVENT_STREAM = 'text/event-stream'

const OK_STATUS = 200

/** A line and its end. */
const LINE = /([^\r\n]*)(?:\r\n|\n|\r)/g

/** Up to 15 digits, which a number holds exactly. */
const ID_LINE = /^id: ?(\d{1,15})$/

const FIELD_LINE = /^(?:data|event|retry)(?::|$)/

const HEADER_LINE = /^([a-z-]+): ?\d+$/

/** @returns the media type in lower case, without parameters; undefined when the headers name none */
export const mediaTypeOf = (headers: HeaderList): string | undefined =>
  headers.find(([name]) => name.toLowerCase() === 'content-type')?.[1].split(';', 1)[0]?.trim().toLowerCase()

/**
 * Tells whether a response may go on with a stream, by its head.
 *
 * @param mediaType - media type of the response
 * @param began - media type of the response with which the stream began, if that is known
 */
export const mayContinue = (status: number, mediaType: string | undefined, began: string | undefined): boolean =>
  status === OK_STATUS && (mediaType === EVENT_STREAM || (mediaType === undefined && began === undefined))

/** One event while it is read. */
interface EventState {
  hasLines: boolean
  hasFields: boolean
  id: number | undefined
  /** False when the lines are not those of an event. */
  isValid: boolean
}

const startEvent = (): EventState => ({ hasLines: false, hasFields: false, id: undefined, isValid: true })

/**
 * Checks the events of one response. Ids of a stream increase, not always by one, so that an event must have a higher id than the one before it; a
 * gap cannot be told. Comments before the first event are dropped, as they do not show that the stream goes on.
 */
export class StreamContinuation {
  #lastId: number | undefined
  #hasEvents = false
  #hasMismatch = false

  /**
   * @param lastId - id of the last event that the caller has; undefined when it has none
   * @param eventHeaders - names of headers that may be the first line of an event, in lower case
   */
  constructor (lastId: number | undefined, readonly eventHeaders: ReadonlySet<string>) {
    this.#lastId = lastId
  }

  /** Id of the last event that was accepted, or of the one before the first. */
  get lastId (): number | undefined {
    return this.#lastId
  }

  /** True when an event was accepted. */
  get hasEvents (): boolean {
    return this.#hasEvents
  }

  /** True when something else followed than an event that goes on; nothing is accepted from there on. */
  get hasMismatch (): boolean {
    return this.#hasMismatch
  }

  /**
   * Checks further events.
   *
   * @param bytes - complete events
   * @returns the events up to the first one that does not go on with the stream
   */
  accept (bytes: Buffer): Buffer {
    let start = 0
    let end = 0
    let event = startEvent()
    if (this.#hasMismatch) return bytes.subarray(0, 0)
    for (const line of bytes.toString('latin1').matchAll(LINE)) {
      const [text, content = ''] = line
      if (content !== '') {
        this.#readLine(event, content)
        continue
      }
      if (!this.#endEvent(event)) {
        this.#hasMismatch = true
        break
      }
      end = line.index + text.length
      if (!this.#hasEvents) start = end
      event = startEvent()
    }
    return bytes.subarray(start, end)
  }

  #readLine (event: EventState, line: string): void {
    const isFirst = !event.hasLines
    event.hasLines = true
    if (line.startsWith(':')) return
    event.hasFields = true
    const id = ID_LINE.exec(line)?.[1]
    if (id !== undefined && event.id === undefined) event.id = Number(id)
    else if (!FIELD_LINE.test(line) && !(isFirst && this.#isHeader(line))) event.isValid = false
  }

  #isHeader (line: string): boolean {
    const name = HEADER_LINE.exec(line)?.[1]
    return name !== undefined && this.eventHeaders.has(name)
  }

  /** @returns false when the event does not go on with the stream */
  #endEvent ({ hasFields, id, isValid }: EventState): boolean {
    if (!hasFields) return true
    if (!isValid || id === undefined || id <= (this.#lastId ?? -1)) return false
    this.#lastId = id
    this.#hasEvents = true
    return true
  }
}
