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
  #seq = 0

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
    const entry = { seq: this.#seq, at: this.clock.wall(), host: this.host, incarnation: this.incarnation, event }
    this.#ring[this.#seq % this.capacity] = entry
    this.#seq += 1
    this.#source.emit(entry)
  }

  /**
   * Reads the ring in order.
   *
   * @param accept - which entries are wanted
   * @returns the entries that are still kept, oldest first
   */
  read (accept: (entry: TimeLineEntry) => boolean): TimeLineEntry[] {
    const split = this.#seq > this.capacity ? this.#seq % this.capacity : 0
    return [...this.#ring.slice(split), ...this.#ring.slice(0, split)].filter(accept)
  }

  close (): void {
    this.#source.close()
  }
}
