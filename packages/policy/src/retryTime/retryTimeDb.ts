/** Places kept for callers that were told to come back, by service, workspace and route. */
import { getOrMake, type Millis, type ServiceId } from '@fuchsiaworks/kernel'
import type { AdmissionRequest } from '../admissionQueue/admissionQueueTypes.js'
import type { Place, RetryTimeConfig } from './retryTimeTypes.js'

/** Time after the time told for which a place is kept. */
export const PLACE_KEPT_MS: Millis = 1000

/** Largest difference between two readings of one caller's deadline; covers the network and a busy gateway. Shorter than the shortest time told. */
const DEADLINE_TOLERANCE_MS: Millis = 200

/** What is known of the callers of one workspace at one route. */
interface Group {
  readonly places: Place[]
  /** Longest time until the deadline that a request had on arrival. */
  longestMs: Millis
  /** True once a request had clearly less time left than others: its callers state the time that remains, and so tell a repeated request from a new one. */
  statesTimeLeft: boolean
}

/** State of the retry time policy. */
export class RetryTimeDb {
  readonly #groups = new Map<ServiceId, Map<string, Group>>()
  #size = 0

  /** @param config - limits */
  constructor (readonly config: RetryTimeConfig) {}

  /** Number of places. */
  get size (): number {
    return this.#size
  }

  /** Adds a place, unless the limit is reached. */
  add (place: Place): boolean {
    if (this.#size >= this.config.maxPlaces) return false
    this.#group(place.request).places.push(place)
    this.#size += 1
    return true
  }

  remove (place: Place): void {
    const { places } = this.#group(place.request)
    const at = places.indexOf(place)
    if (at === -1) return
    places.splice(at, 1)
    this.#size -= 1
  }

  /** @returns the place of the same caller: one with the deadline of the request */
  findOwn (request: AdmissionRequest): Place | undefined {
    return this.#group(request).places.find(({ request: { deadlineAt } }) => Math.abs(deadlineAt - request.deadlineAt) <= DEADLINE_TOLERANCE_MS)
  }

  /**
   * Finds a place that the request may use in place of a caller that went to another gateway, which is as frequent as the reverse.
   *
   * @returns the oldest place that is due; undefined for a request that is known to be new
   */
  findDue (request: AdmissionRequest, now: Millis): Place | undefined {
    const group = this.#group(request)
    const isNew = group.longestMs - (request.deadlineAt - request.arrivedAt) <= DEADLINE_TOLERANCE_MS
    if (isNew && group.statesTimeLeft) return undefined
    return group.places.find(({ dueAt }) => dueAt <= now)
  }

  /** Records the time that a request has on arrival. */
  recordArrival (request: AdmissionRequest): void {
    const group = this.#group(request)
    const leftMs = request.deadlineAt - request.arrivedAt
    if (group.longestMs - leftMs > DEADLINE_TOLERANCE_MS) group.statesTimeLeft = true
    group.longestMs = Math.max(group.longestMs, leftMs)
  }

  /** Releases the places whose callers have not come back. @returns how many */
  expire (now: Millis): number {
    const before = this.#size
    for (const groups of this.#groups.values()) {
      for (const { places } of groups.values()) {
        for (const place of places.filter(({ dueAt }) => dueAt + PLACE_KEPT_MS < now)) this.remove(place)
      }
    }
    return before - this.#size
  }

  * placesOf (service: ServiceId): Iterable<Place> {
    for (const { places } of this.#groups.get(service)?.values() ?? []) yield * places
  }

  #group ({ service, workspace, route }: AdmissionRequest): Group {
    const groups = getOrMake(this.#groups, service, () => new Map<string, Group>())
    return getOrMake(groups, `${workspace} ${route}`, () => ({ places: [], longestMs: 0, statesTimeLeft: false }))
  }
}
