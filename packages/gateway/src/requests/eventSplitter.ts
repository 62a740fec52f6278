/** Splits a byte stream of server-sent events into complete events, so that no partial event is forwarded. */

/** The complete events of one chunk. */
export interface CompleteEvents {
  readonly bytes: Buffer
  /** Id of the last event that has one; undefined when none has. */
  readonly lastId: number | undefined
}

const LF = 0x0a

/** Splits one stream. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0)

  /** Size of the incomplete event at the end. */
  get pendingBytes (): number {
    return this.#pending.length
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
    return { bytes, lastId: lastEventIdOf(bytes) }
  }
}

/** Returns the offset after the last blank line. */
const lastEventEnd = (bytes: Buffer): number => {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== LF) continue
    if (bytes[at - 1] === LF || (at > 2 && bytes[at - 1] === 0x0d && bytes[at - 2] === LF)) return at + 1
  }
  return 0
}

const lastEventIdOf = (bytes: Buffer): number | undefined => {
  const matches = [...bytes.toString('latin1').matchAll(/^id: ?(\d+)\r?$/gm)]
  const last = matches.at(-1)?.[1]
  return last === undefined ? undefined : Number(last)
}
