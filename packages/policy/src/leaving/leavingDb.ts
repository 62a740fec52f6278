/**
 * Upstreams that have announced in a response that they shut down. They get no new requests from then on, also while their entry still
 * says that they are ready: the entry may be late, or expire and come back.
 */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import type { LeavingUpstream } from './leavingTypes.js'

/** Time for which an announcement is remembered; an upstream may serve for many seconds after it. */
const RETENTION_MS: Millis = 600_000

interface Announcement extends LeavingUpstream {
  readonly at: Millis
  /** True when this gateway read the announcement itself, and not a report of a peer. */
  readonly isOwn: boolean
}

/** State of the leaving policy. */
export class LeavingDb {
  readonly #announcements = new Map<UpstreamId, Announcement>()
  #unsent: LeavingUpstream[] = []

  /**
   * Records an announcement that this gateway has read in a response.
   *
   * @returns false when it is known
   */
  record (leaving: LeavingUpstream, now: Millis): boolean {
    if (!this.#add(leaving, now, true)) return false
    this.#unsent.push(leaving)
    return true
  }

  /** Applies a report of a peer gateway. */
  applyReport (leaving: LeavingUpstream, now: Millis): void {
    this.#add(leaving, now, false)
  }

  /** @returns whether this process of the upstream shuts down */
  isLeaving (upstream: UpstreamId, startedAt: number | undefined): boolean {
    const known = this.#announcements.get(upstream)
    return known !== undefined && known.startedAt === startedAt
  }

  /** @returns the announcements that this gateway has read since the last call, to be sent to peer gateways */
  takeUnsent (): LeavingUpstream[] {
    const unsent = this.#unsent
    this.#unsent = []
    return unsent
  }

  /** @returns the announcements that this gateway has read, to be sent to a gateway that has just become reachable */
  own (): LeavingUpstream[] {
    return [...this.#announcements.values()].filter(({ isOwn }) => isOwn).map(({ upstream, startedAt }) => ({ upstream, startedAt }))
  }

  /** Forgets old announcements. */
  expire (now: Millis): void {
    for (const [id, { at }] of this.#announcements) if (now - at > RETENTION_MS) this.#announcements.delete(id)
  }

  #add ({ upstream, startedAt }: LeavingUpstream, now: Millis, isOwn: boolean): boolean {
    const known = this.#announcements.get(upstream)
    if (known !== undefined && (known.startedAt === startedAt || (known.startedAt ?? 0) > (startedAt ?? 0))) return false
    this.#announcements.set(upstream, { upstream, startedAt, at: now, isOwn })
    return true
  }
}
