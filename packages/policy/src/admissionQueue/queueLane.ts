/** Waiting requests of one workspace with one priority, in the order in which they start. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { QueueEntry } from './admissionQueueTypes.js'

/** Added to the time that all late requests need, before the first of them has to start. */
const URGENT_MARGIN_MS: Millis = 100

/**
 * Part of the starts that goes to late requests while others can still meet their target. Without a bound, late requests that have to start take
 * everything under lasting overload, so that all become late.
 */
export const LATE_SHARE = 0.7

type Key = 'startBy' | 'targetBy'

/** Inserts by binary search; entries with equal times keep the order of arrival. */
const insert = <T>(entries: Array<QueueEntry<T>>, entry: QueueEntry<T>, key: Key): void => {
  let [low, high] = [0, entries.length]
  while (low < high) {
    const middle = (low + high) >> 1
    const other = entries[middle]!
    if (other[key] < entry[key] || (other[key] === entry[key] && other.order < entry.order)) low = middle + 1
    else high = middle
  }
  entries.splice(low, 0, entry)
}

const removeFrom = <T>(entries: Array<QueueEntry<T>>, entry: QueueEntry<T>): boolean => {
  const at = entries.indexOf(entry)
  if (at !== -1) entries.splice(at, 1)
  return at !== -1
}

/** Requests within their target by target, and late ones by deadline. */
export class QueueLane<T> {
  readonly #onTime: Array<QueueEntry<T>> = []
  readonly #late: Array<QueueEntry<T>> = []
  #lateUnits = 0
  units = 0

  constructor (readonly priority: number) {}

  get size (): number {
    return this.#onTime.length + this.#late.length
  }

  /** One of the requests, without regard to order. */
  get any (): QueueEntry<T> | undefined {
    return this.#onTime[0] ?? this.#late[0]
  }

  add (entry: QueueEntry<T>): void {
    insert(this.#onTime, entry, 'targetBy')
    this.units += entry.request.units
  }

  remove (entry: QueueEntry<T>): boolean {
    const wasLate = removeFrom(this.#late, entry)
    if (!wasLate && !removeFrom(this.#onTime, entry)) return false
    if (wasLate) this.#lateUnits -= entry.request.units
    this.units -= entry.request.units
    return true
  }

  isLate (entry: QueueEntry<T>): boolean {
    return this.#late.includes(entry)
  }

  /** Removes and returns the requests that can no longer meet their deadline. */
  takeExpired (now: Millis): Array<QueueEntry<T>> {
    this.#moveLate(now)
    const expired: Array<QueueEntry<T>> = []
    while (this.#late.length > 0 && this.#late[0]!.startBy < now) {
      const entry = this.#late[0]!
      this.remove(entry)
      expired.push(entry)
    }
    return expired
  }

  /**
   * Finds the request to start next. Late requests give way to those within their target until they need all of the remaining time.
   *
   * @param rate - units that the lane can start per millisecond
   * @param mayStartLate - whether it is the turn of late requests
   */
  head (rate: number, mayStartLate: boolean, now: Millis): QueueEntry<T> | undefined {
    this.#moveLate(now)
    const [late] = this.#late
    const [onTime] = this.#onTime
    if (late === undefined || onTime === undefined) return late ?? onTime
    return mayStartLate && late.startBy - now <= this.#lateUnits / (rate * LATE_SHARE) + URGENT_MARGIN_MS ? late : onTime
  }

  /** Units of the requests within their target that go before the given time, and of all late ones. */
  unitsByState (targetBy: Millis): { readonly onTime: number, readonly late: number } {
    let onTime = 0
    for (const entry of this.#onTime) if (entry.targetBy <= targetBy) onTime += entry.request.units
    return { onTime, late: this.#lateUnits }
  }

  /** Units of the requests that must start by the given time at the latest. */
  unitsBefore (startBy: Millis): number {
    let units = 0
    for (const entry of this.entries()) if (entry.startBy <= startBy) units += entry.request.units
    return units
  }

  * entries (): Iterable<QueueEntry<T>> {
    yield * this.#onTime
    yield * this.#late
  }

  #moveLate (now: Millis): void {
    while (this.#onTime.length > 0 && this.#onTime[0]!.targetBy < now) {
      const entry = this.#onTime.shift()!
      insert(this.#late, entry, 'startBy')
      this.#lateUnits += entry.request.units
    }
  }
}
