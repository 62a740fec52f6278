/** Lookups of streams at the recorders that are connected to one gateway. */
import type { Clock, Millis } from '@fuchsiaworks/kernel'
import type { StreamHash, VersionHash } from '@fuchsiaworks/policy'
import type { LookupNumber, RecorderAnswer } from './streamRecorderTypes.js'

/** Time within which recorders have to answer. */
const ANSWER_TIMEOUT_MS: Millis = 300

/** Lookups at a time; further ones find nothing. */
const MAX_LOOKUPS = 1024

/** How a lookup ended. */
export type LookupOutcome = 'found' | 'unknown' | 'timeout' | 'no-recorder' | 'too-many'

/** Result of a lookup. */
export interface LookupResult {
  readonly outcome: LookupOutcome
  /** Undefined when no recorder knows it. */
  readonly version: VersionHash | undefined
  /** Host of the recorder that named the version; undefined when none did. */
  readonly recorder: string | undefined
}

interface OpenLookup<Link> {
  readonly stream: StreamHash
  /** Recorders that have not answered. */
  readonly asked: Set<Link>
  hasAsked: boolean
  readonly end: (result: LookupResult) => void
}

/** Open lookups; a link is the connection to one recorder. */
export class RecorderLookups<Link> {
  readonly #clock: Clock
  readonly #sendAsk: (link: Link, lookup: LookupNumber, stream: StreamHash) => void
  readonly #mayMoreConnect: () => boolean
  readonly #open = new Map<LookupNumber, OpenLookup<Link>>()
  #next: LookupNumber = 1

  /**
   * @param clock - source of time
   * @param sendAsk - asks a recorder
   * @param mayMoreConnect - whether recorders may exist that have not connected yet
   */
  constructor (clock: Clock, sendAsk: (link: Link, lookup: LookupNumber, stream: StreamHash) => void, mayMoreConnect: () => boolean) {
    this.#clock = clock
    this.#sendAsk = sendAsk
    this.#mayMoreConnect = mayMoreConnect
  }

  /** Asks recorders for a stream until one names its version, all have answered, or the time is over. */
  async ask (stream: StreamHash, links: Iterable<Link>): Promise<LookupResult> {
    if (this.#open.size >= MAX_LOOKUPS) return { outcome: 'too-many', version: undefined, recorder: undefined }
    return await new Promise(resolve => {
      const lookup = this.#next++
      let timer = this.#clock.after(ANSWER_TIMEOUT_MS, () => {
        // When this process was busy, answers that have arrived meanwhile are read only after its timers have run.
        timer = this.#clock.after(0, () => { open.end({ outcome: open.asked.size > 0 ? 'timeout' : this.#missOf(open), version: undefined, recorder: undefined }) })
      })
      const open: OpenLookup<Link> = {
        stream,
        asked: new Set(),
        hasAsked: false,
        end: result => {
          timer.close()
          if (this.#open.delete(lookup)) resolve(result)
        }
      }
      this.#open.set(lookup, open)
      for (const link of links) this.#ask(link, lookup, open)
      this.#endIfAnswered(open)
    })
  }

  /** Asks a recorder that has just connected for all open streams. */
  addLink (link: Link): void {
    for (const [lookup, open] of this.#open) this.#ask(link, lookup, open)
  }

  /** Expects no more answers of a recorder. */
  removeLink (link: Link): void {
    for (const open of this.#open.values()) if (open.asked.delete(link)) this.#endIfAnswered(open)
  }

  /** Applies an answer; one that comes late has no effect. */
  receive (link: Link, { lookup, version, host }: RecorderAnswer): void {
    const open = this.#open.get(lookup)
    if (open?.asked.delete(link) !== true) return
    if (version !== undefined) return open.end({ outcome: 'found', version, recorder: host })
    this.#endIfAnswered(open)
  }

  close (): void {
    for (const open of this.#open.values()) open.end({ outcome: this.#missOf(open), version: undefined, recorder: undefined })
  }

  #ask (link: Link, lookup: LookupNumber, open: OpenLookup<Link>): void {
    open.asked.add(link)
    open.hasAsked = true
    this.#sendAsk(link, lookup, open.stream)
  }

  #endIfAnswered (open: OpenLookup<Link>): void {
    if (open.asked.size > 0 || this.#mayMoreConnect()) return
    open.end({ outcome: this.#missOf(open), version: undefined, recorder: undefined })
  }

  #missOf ({ hasAsked }: OpenLookup<Link>): LookupOutcome {
    return hasAsked ? 'unknown' : 'no-recorder'
  }
}
