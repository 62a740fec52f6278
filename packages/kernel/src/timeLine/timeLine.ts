/** The time line of one process: a ring buffer of typed events, also available as a stream. */
import type { Stream } from 'most'
import type { Clock } from '../clock/clock.js'
import type { HostId, Incarnation } from '../ids/ids.js'
import { EventSource } from '../streams/eventSource.js'
import type { TimeLineEntry, TimeLineEvent } from './timeLineTypes.js'

/** Default capacity of the ring buffer, in entries. */
const RING_CAPACITY = 20_000

/** Bounded event log of this process; the newest entries overwrite the oldest. */
export class TimeLine {
  readonly #ring: TimeLineEntry[] = []
  readonly #source = new EventSource<TimeLineEntry>()
  #nextSeq = 0

  /**
   * @param clock - source of the timestamps
   * @param host - host of this process
   * @param incarnation - incarnation of this process
   * @param capacity - maximum number of entries kept
   */
  constructor (
    readonly clock: Clock,
    readonly host: HostId,
    readonly incarnation: Incarnation,
    readonly capacity: number = RING_CAPACITY
  ) {}

  /** Stream of the entries recorded after subscription. */
  get entries (): Stream<TimeLineEntry> {
    return this.#source.stream
  }

  /**
   * Records an event with the current wall-clock time.
   *
   * @param event - the event
   */
  record (event: TimeLineEvent): void {
    const entry = { seq: this.#nextSeq, at: this.clock.wall(), host: this.host, incarnation: this.incarnation, event }
    this.#ring[this.#nextSeq % this.capacity] = entry
    this.#nextSeq += 1
    this.#source.emit(entry)
  }

  /**
   * Reads the entries still in the ring buffer.
   *
   * @param filter - returns true for entries to include
   * @returns matching entries, oldest first
   */
  read (filter: (entry: TimeLineEntry) => boolean): TimeLineEntry[] {
    const oldestIndex = this.#nextSeq > this.capacity ? this.#nextSeq % this.capacity : 0
    return [...this.#ring.slice(oldestIndex), ...this.#ring.slice(0, oldestIndex)].filter(filter)
  }

  close (): void {
    this.#source.close()
  }
}
