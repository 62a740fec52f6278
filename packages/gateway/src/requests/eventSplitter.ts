/** Cuts a byte stream of server-sent events into whole events, so that a part of one is never passed on. */

/** Whole events of one chunk. */
export interface WholeEvents {
  readonly bytes: Buffer
  /** Number of the last event in them; undefined when none has one. */
  readonly lastId: number | undefined
}

/** Line feed. */
const LF = 0x0a

/** Splits one stream. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0)

  /** Bytes of an event that has not ended. */
  get pendingBytes (): number {
    return this.#rest.length
  }

  /**
   * Takes the next chunk.
   *
   * @param chunk - bytes as they arrived
   * @returns the events that are whole now; undefined when none is
   */
  take (chunk: Buffer): WholeEvents | undefined {
    const all = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const end = lastEventEnd(all)
    if (end === 0) {
      this.#rest = all
      return undefined
    }
    this.#rest = all.subarray(end)
    const bytes = all.subarray(0, end)
    return { bytes, lastId: lastIdOf(bytes) }
  }
}

/** @returns the offset after the last blank line */
const lastEventEnd = (bytes: Buffer): number => {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== LF) continue
    if (bytes[at - 1] === LF || (at > 2 && bytes[at - 1] === 0x0d && bytes[at - 2] === LF)) return at + 1
  }
  return 0
}

const lastIdOf = (bytes: Buffer): number | undefined => {
  const matches = [...bytes.toString('latin1').matchAll(/^id: ?(\d+)\r?$/gm)]
  const last = matches.at(-1)?.[1]
  return last === undefined ? undefined : Number(last)
}
