/** The upstream lists of one service over time, and since when this upstream is the home of a key. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import { type HashedMember, rendezvous } from './rendezvous.js'

/** Lists kept for one service; more changes than this within the window count as a move of every key. */
const MAX_LISTS = 8

/** A reading of both clocks. */
export interface ClockReading {
  readonly now: Millis
  readonly wall: Millis
}

interface ListedUpstreams {
  readonly members: ReadonlyArray<HashedMember<UpstreamId>>
  readonly since: ClockReading
  /** Revision with which the list came in force here. */
  readonly from: number
  /** Newest revision that was in force here with this list. */
  to: number
}

/** Where a key had its home before it moved. */
export interface HomeMove {
  readonly upstream: UpstreamId
  /** Revision that moved it. */
  readonly revision: number
  readonly at: ClockReading
}

/** A time in which one upstream was the home of a key. */
export interface HomePeriod {
  /** Undefined when it began longer ago than counts. */
  readonly since: ClockReading | undefined
  /** How the key came; undefined when its home before is not known for certain. */
  readonly move: HomeMove | undefined
}

/** Upstream lists of a service, newest last. */
export class HomeHistory {
  readonly #lists: ListedUpstreams[] = []
  /** Since when nothing is known of earlier lists: the first list, or the oldest that is kept after one was dropped. */
  #knownSince: ClockReading | undefined

  /**
   * Takes a list that came in force.
   *
   * @param members - the upstreams with their hashes
   * @param since - when it came in force here
   * @param revision - the configuration's revision
   */
  add (members: ReadonlyArray<HashedMember<UpstreamId>>, since: ClockReading, revision: number): void {
    const newest = this.#lists.at(-1)
    if (newest !== undefined && sameMembers(newest.members, members)) {
      newest.to = revision
      return
    }
    this.#lists.push({ members, since, from: revision, to: revision })
    if (newest === undefined) this.#knownSince = since
    if (this.#lists.length <= MAX_LISTS) return
    this.#lists.shift()
    this.#knownSince = this.#lists[0]?.since
  }

  /**
   * Names the home of a key under the present list.
   *
   * @param subject - hash of the key
   * @returns the home; undefined when no upstream is listed
   */
  home (subject: number): UpstreamId | undefined {
    const newest = this.#lists.at(-1)
    return newest === undefined ? undefined : rendezvous(newest.members, subject)
  }

  /** Newest revision that came in force here; -1 before the first. */
  get revision (): number {
    return this.#lists.at(-1)?.to ?? -1
  }

  /**
   * Tells since when this upstream was the home of a key at a revision, and where the key had been before.
   *
   * @param subject - hash of the key
   * @param self - this upstream
   * @param revision - the newest revision or a past one
   * @returns the stay; undefined when this is not known to have been the home then
   */
  periodAt (subject: number, self: UpstreamId, revision: number): HomePeriod | undefined {
    const at = this.#lists.findIndex(list => list.from <= revision && revision <= list.to)
    const list = this.#lists[at]
    if (list === undefined || rendezvous(list.members, subject) !== self) return undefined
    const other = this.#lastListWithOtherHome(subject, self, at)
    return { since: this.#since(other), move: this.#moveAfter(other, subject) }
  }

  /** When this process began to know lists; undefined when that is longer ago than counts. */
  get knownSince (): ClockReading | undefined {
    return this.#knownSince
  }

  #since (other: number): ClockReading | undefined {
    return other === -1 ? this.#knownSince : this.#lists[other + 1]?.since
  }

  /** The move away from a list; undefined when revisions are missing between it and the next, so that another home may have been between. */
  #moveAfter (other: number, subject: number): HomeMove | undefined {
    const old = this.#lists[other]
    const next = this.#lists[other + 1]
    if (old === undefined || next === undefined || old.to !== next.from - 1) return undefined
    const upstream = rendezvous(old.members, subject)
    return upstream === undefined ? undefined : { upstream, revision: next.from, at: next.since }
  }

  /** Index of the last list before one that names another home; -1 when there is none. */
  #lastListWithOtherHome (subject: number, self: UpstreamId, before: number): number {
    for (let i = before - 1; i >= 0; i -= 1) {
      const list = this.#lists[i]
      if (list !== undefined && rendezvous(list.members, subject) !== self) return i
    }
    return -1
  }

  /**
   * Forgets lists that were replaced before a time.
   *
   * @param before - monotonic milliseconds
   */
  prune (before: Millis): void {
    while ((this.#lists[1]?.since.now ?? Infinity) < before) this.#lists.shift()
    if (this.#knownSince !== undefined && this.#knownSince.now < before) this.#knownSince = undefined
  }
}

const sameMembers = (a: ReadonlyArray<HashedMember<UpstreamId>>, b: ReadonlyArray<HashedMember<UpstreamId>>): boolean => {
  const names = new Set(a.map(member => member.id))
  return names.size === b.length && b.every(member => names.has(member.id))
}
