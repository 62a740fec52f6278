/** The time line of one process: a bounded ring of typed events, also offered as a stream. */
import type { Stream } from 'most'
import type { Clock } from '../clock/clock.js'
import type { HostId, Incarnation } from '../ids/ids.js'
import { EventSource } from '../streams/eventSource.js'
import type { TimeLineEntry, TimeLineEvent } from './timeLineTypes.js'

/** Entries that one process keeps. */
const RING_CAPACITY = 20_000

/** Bounded record of what happened in this process. */
export class TimeLine {
  readonly #ring: TimeLineEntry[] = []
  readonly #source = new EventSource<TimeLineEntry>()
  #nextSeq = 0

  /**
   * @param clock - source of the entries' times
   * @param host - host of this process
   * @param incarnation - life of this process
   * @param capacity - entries that are kept
   */
  constructor (
    readonly clock: Clock,
    readonly host: HostId,
    readonly incarnation: Incarnation,
    readonly capacity: number = RING_CAPACITY
  ) {}

  /** Stream of the entries from now on. */
  get entries (): Stream<TimeLineEntry> {
    return this.#source.stream
  }

  /**
   * Records an event.
   *
   * @param event - what happened
   */
  record (event: TimeLineEvent): void {
    const entry = { seq: this.#nextSeq, at: this.clock.wall(), host: this.host, incarnation: this.incarnation, event }
    this.#ring[this.#nextSeq % this.capacity] = entry
    this.#nextSeq += 1
    this.#source.emit(entry)
  }

  /**
   * Reads the ring in order.
   *
   * @param filter - which entries are wanted
   * @returns the entries that are still kept, oldest first
   */
  read (filter: (entry: TimeLineEntry) => boolean): TimeLineEntry[] {
    const oldestIndex = this.#nextSeq > this.capacity ? this.#nextSeq % this.capacity : 0
    return [...this.#ring.slice(oldestIndex), ...this.#ring.slice(0, oldestIndex)].filter(filter)
  }

  close (): void {
    this.#source.close()
  }
}
