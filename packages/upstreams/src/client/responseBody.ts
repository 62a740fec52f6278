/** Follows the body of one response and finds out whether it is joined from several responses. */
import { type EmbeddedHead, EmbeddedHeads, type PartialHead } from './embeddedHeads.js'
import type { BodyDelimiter, BodyEnd, EmbeddedHeadJudge } from './upstreamTypes.js'

/** Heads of one body, the last ones, that are judged again at its end; a body may quote any number of them. */
const MAX_OPEN_HEADS = 32

/** `open`: the bytes that arrive behind the body decide. */
export type BodyState = 'sound' | 'spliced' | 'open'

/** How the body of a response is delimited. */
export interface BodyFraming {
  readonly delimiter: BodyDelimiter
  /** Length in bytes; undefined when another delimiter tells the end. */
  readonly length: number | undefined
  /** True when the connection is closed with the end of the response, so that nothing behind it is read. */
  readonly isLast: boolean
}

/** The body of one response. */
export class ResponseBody {
  readonly #heads = new EmbeddedHeads()
  #bytes = 0
  #headCount = 0
  #bytesBehind = 0
  /** Heads that are judged again when the body has ended. */
  #open: EmbeddedHead[] | undefined

  /**
   * @param framing - how the body is delimited
   * @param judge - decides what a head inside the body means; undefined to take each for a quotation
   */
  constructor (readonly framing: BodyFraming, readonly judge: EmbeddedHeadJudge | undefined) {}

  get bytes (): number {
    return this.#bytes
  }

  /** Heads of responses inside the body. */
  get headCount (): number {
    return this.#headCount
  }

  /** Bytes that were read together with the end of a body with a length and are no part of it. */
  get bytesBehind (): number {
    return this.#bytesBehind
  }

  /** Whether the body ends, so far, with something that may go on as the head of another response. */
  get partialHead (): PartialHead {
    return this.#heads.partial
  }

  /**
   * Adds a part of the body.
   *
   * @param behind - what was read together with the part and follows it
   */
  push (part: Buffer, behind: Buffer): BodyState {
    this.#bytes += part.length
    for (const head of this.#heads.push(part)) {
      this.#headCount += 1
      const verdict = this.judge?.(head, undefined)
      if (verdict === 'spliced') return 'spliced'
      if (verdict === 'open') this.#keepOpen(head)
    }
    if (this.#bytes !== this.framing.length) return 'sound'
    this.#bytesBehind = behind.length
    if (this.judge === undefined) return 'sound'
    if (behind.length > 0) return this.judgeBehind(behind)
    if (this.#isSpliced('none')) return 'spliced'
    if (this.framing.isLast) return this.#isSpliced('unknown') ? 'spliced' : 'sound'
    return this.#heads.partial !== 'none' || this.#isSpliced('some') ? 'open' : 'sound'
  }

  /** Decides on a body with a length by the bytes that follow it. */
  judgeBehind (behind: Buffer): 'sound' | 'spliced' {
    return this.#heads.isContinuedBy(behind) || this.#isSpliced('some') ? 'spliced' : 'sound'
  }

  /** Decides on a body whose end the client has found. */
  judgeEnd (): 'sound' | 'spliced' {
    return this.#bytes !== this.framing.length && this.#isSpliced('none') ? 'spliced' : 'sound'
  }

  #keepOpen (head: EmbeddedHead): void {
    this.#open ??= []
    if (this.#open.length === MAX_OPEN_HEADS) this.#open.shift()
    this.#open.push(head)
  }

  /** True when a head inside the body, or the one with which it stops, shows that it is joined, with these bytes behind it. */
  #isSpliced (bytesBehind: BodyEnd['bytesBehind']): boolean {
    const { partialHead } = this.#heads
    const end = { bytes: this.#bytes, bytesBehind }
    return this.#open?.some(head => this.judge?.(head, end) === 'spliced') === true || (partialHead !== undefined && this.judge?.(partialHead, end) === 'spliced')
  }
}
