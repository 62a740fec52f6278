/** Upstream lists of one service by revision, from which the home of a key at a revision is computed. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import { type HashedMember, rendezvous } from './rendezvous.js'

/** Lists retained per service. With more changes than this within the window, every key is treated as moved. */
const MAX_LISTS = 8

/** Reading of the monotonic clock (`now`) and of the wall clock (`wall`), in milliseconds. */
export interface ClockReading {
  readonly now: Millis
  readonly wall: Millis
}

interface ListedUpstreams {
  readonly members: ReadonlyArray<HashedMember<UpstreamId>>
  readonly since: ClockReading
  /** Oldest revision applied here with this list. */
  readonly from: number
  /** Newest revision applied here with this list. */
  to: number
}

/** The change of a key's home from a previous upstream. */
export interface HomeMove {
  /** Home before the move. */
  readonly upstream: UpstreamId
  /** Revision that moved the key. */
  readonly revision: number
  readonly at: ClockReading
}

/** A period in which one upstream was the home of a key. */
export interface HomePeriod {
  /** Start of the period; undefined when it lies before the retained history and too long ago to matter. */
  readonly since: ClockReading | undefined
  /** The move that started the period; undefined when the previous home is not known for certain. */
  readonly move: HomeMove | undefined
}

/** Upstream lists of a service, oldest first. */
export class HomeHistory {
  readonly #lists: ListedUpstreams[] = []
  /**
   * Start of the oldest retained list: lists before it are unknown, because the process had not started or they were
   * dropped at MAX_LISTS. Undefined once that start is too long ago to matter.
   */
  #knownSince: ClockReading | undefined

  /**
   * Adds the list of a newly applied configuration; an unchanged list only extends the newest entry.
   *
   * @param members - the upstreams with their hashes
   * @param since - when the configuration was applied here
   * @param revision - revision of the configuration
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
   * Returns the home of a key under the newest list.
   *
   * @param subject - hash of the key
   * @returns the home; undefined when no upstream is listed
   */
  home (subject: number): UpstreamId | undefined {
    const newest = this.#lists.at(-1)
    return newest === undefined ? undefined : rendezvous(newest.members, subject)
  }

  /** Newest revision applied here; -1 before the first. */
  get revision (): number {
    return this.#lists.at(-1)?.to ?? -1
  }

  /**
   * Finds the period around a revision in which this upstream was the home of a key, and the move that started it.
   *
   * @param subject - hash of the key
   * @param self - this upstream
   * @param revision - the newest revision or a past one
   * @returns undefined when this upstream is not known to have been the home at that revision
   */
  periodAt (subject: number, self: UpstreamId, revision: number): HomePeriod | undefined {
    const index = this.#lists.findIndex(list => list.from <= revision && revision <= list.to)
    const list = this.#lists[index]
    if (list === undefined || rendezvous(list.members, subject) !== self) return undefined
    const otherHomeIndex = this.#lastListWithOtherHome(subject, self, index)
    return { since: this.#since(otherHomeIndex), move: this.#moveAfter(otherHomeIndex, subject) }
  }

  /** Start of the known history; undefined when it is too long ago to matter. */
  get knownSince (): ClockReading | undefined {
    return this.#knownSince
  }

  #since (otherHomeIndex: number): ClockReading | undefined {
    return otherHomeIndex === -1 ? this.#knownSince : this.#lists[otherHomeIndex + 1]?.since
  }

  /** The move from the list at an index to the next one; undefined when this process missed a revision in between, which may have named another home. */
  #moveAfter (otherHomeIndex: number, subject: number): HomeMove | undefined {
    const previous = this.#lists[otherHomeIndex]
    const next = this.#lists[otherHomeIndex + 1]
    if (previous === undefined || next === undefined || previous.to !== next.from - 1) return undefined
    const upstream = rendezvous(previous.members, subject)
    return upstream === undefined ? undefined : { upstream, revision: next.from, at: next.since }
  }

  /** Index of the last list before `before` under which the key had another home; -1 when there is none. */
  #lastListWithOtherHome (subject: number, self: UpstreamId, before: number): number {
    for (let i = before - 1; i >= 0; i -= 1) {
      const list = this.#lists[i]
      if (list !== undefined && rendezvous(list.members, subject) !== self) return i
    }
    return -1
  }

  /**
   * Removes lists that were replaced before a time. The list that was current at that time stays.
   *
   * @param before - monotonic milliseconds
   */
  prune (before: Millis): void {
    while ((this.#lists[1]?.since.now ?? Infinity) < before) this.#lists.shift()
    if (this.#knownSince !== undefined && this.#knownSince.now < before) this.#knownSince = undefined
  }
}

const sameMembers = (a: ReadonlyArray<HashedMember<UpstreamId>>, b: ReadonlyArray<HashedMember<UpstreamId>>): boolean => {
  const ids = new Set(a.map(member => member.id))
  return ids.size === b.length && b.every(member => ids.has(member.id))
}
