/** The upstream lists of one service over time, and since when this upstream is the home of a key. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import { type HashedMember, rendezvous } from './rendezvous.js'

/** Lists kept for one service; more changes than this within the window count as a move of every key. */
const MAX_LISTS = 8

/** A reading of both clocks. */
export interface Moment {
  readonly now: Millis
  readonly wall: Millis
}

interface ListedUpstreams {
  readonly members: ReadonlyArray<HashedMember<UpstreamId>>
  readonly since: Moment
}

/** Upstream lists of a service, newest last. */
export class HomeHistory {
  readonly #lists: ListedUpstreams[] = []
  /** Since when nothing is known of earlier lists: the first list, or the oldest that is kept after one was dropped. */
  #dropped: Moment | undefined

  /**
   * Takes a list that came in force.
   *
   * @param members - the upstreams with their hashes
   * @param since - when it came in force here
   */
  add (members: ReadonlyArray<HashedMember<UpstreamId>>, since: Moment): void {
    const newest = this.#lists.at(-1)
    if (newest !== undefined && sameMembers(newest.members, members)) return
    this.#lists.push({ members, since })
    if (newest === undefined) this.#dropped = since
    if (this.#lists.length <= MAX_LISTS) return
    this.#lists.shift()
    this.#dropped = this.#lists[0]?.since
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

  /**
   * Tells when a key last moved to this upstream.
   *
   * @param subject - hash of the key
   * @param self - this upstream
   * @returns the moment; undefined when it was the home all the time that counts
   */
  movedAt (subject: number, self: UpstreamId): Moment | undefined {
    for (let i = this.#lists.length - 2; i >= 0; i -= 1) {
      const list = this.#lists[i]
      if (list !== undefined && rendezvous(list.members, subject) !== self) return this.#lists[i + 1]?.since
    }
    return this.#dropped
  }

  /**
   * Forgets lists that were replaced before a time.
   *
   * @param before - monotonic milliseconds
   */
  prune (before: Millis): void {
    while ((this.#lists[1]?.since.now ?? Infinity) < before) this.#lists.shift()
    if (this.#dropped !== undefined && this.#dropped.now < before) this.#dropped = undefined
  }
}

const sameMembers = (a: ReadonlyArray<HashedMember<UpstreamId>>, b: ReadonlyArray<HashedMember<UpstreamId>>): boolean => {
  const names = new Set(a.map(member => member.id))
  return names.size === b.length && b.every(member => names.has(member.id))
}
