/**
 * Limits that upstreams announce for the requests of all gateways together. For each limited upstream one gateway, chosen by rendezvous hashing, issues permits to all
 * gateways that have requests for it: they neither exceed the limit together, however many they are, nor leave it unused where few have callers.
 */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import type { GatewayView } from '../coldPace/coldPaceTypes.js'
import type { UpstreamProcess } from '../crashSuspect/crashSuspectTypes.js'
import { hashMembers, rendezvous, type StringHash } from '../keys/rendezvous.js'
import type { PeerId } from '../placement/placementTypes.js'
import { PermitIssuer } from './permitIssuer.js'
import { PermitStock } from './permitStock.js'
import type { RequestLimitReport } from './requestLimitTypes.js'

/** Time after the last response with a limit from which one without a limit ends it; before, responses may have overtaken each other. */
const END_AFTER_MS: Millis = 250

/** Difference in the ages of two reports that may be due to their ways. */
const REPORT_JITTER_MS: Millis = 100

/** Time for which the end of a limit is reported. */
const ENDED_RETENTION_MS: Millis = 10_000

/** Time for which the choice of the issuer is kept; the choice takes time, and membership changes seldom. */
const ISSUER_TTL_MS: Millis = 200

/** Time for which a limit is kept of an upstream that is not listed: its entry may come back, or peers with another list may expect permits. */
const UNLISTED_RETENTION_MS: Millis = 3000

/** Share of the limit that a gateway uses by itself before it has discovered the fleet. */
const UNSETTLED_SHARE = 0.25

interface LimitedUpstream {
  readonly startedAt: number | undefined
  /** Time at which a peer last expected permits of this gateway. */
  claimedAt: Millis
  /** Time at which the upstream was last listed. */
  listedAt: Millis
  /** False for one that only peers have named so far; it is not passed on, lest gateways keep each other's memory of one that is gone. */
  isListed: boolean
  /** Undefined once the limit has ended. */
  limit: number | undefined
  /** Time of the response that the above is taken from. */
  answeredAt: Millis
  readonly stock: PermitStock
  /** Defined while this gateway issues the permits. */
  issuer: PermitIssuer | undefined
  issuerChosenAt: Millis
  /** Share of the limit that this gateway issues: less than 1 when others may issue as well. */
  issuedShare: number
}

/** Share of a limit that a gateway may issue; one that has lost most of the fleet leaves the others their part. */
const issuedShare = ({ settled, reachable, unreachableCount }: GatewayView): number => {
  if (!settled) return UNSETTLED_SHARE
  return unreachableCount > reachable.length ? 1 / (1 + reachable.length + unreachableCount) : 1
}

/** Limits as known to one gateway. */
export class RequestLimitDb {
  readonly #upstreams = new Map<UpstreamId, LimitedUpstream>()
  #selfId: PeerId | undefined

  /**
   * @param hash - hash function shared by the fleet
   * @param view - returns the membership view of this gateway
   */
  constructor (readonly hash: StringHash, readonly view: () => GatewayView) {}

  /**
   * Records what a response says of the limit.
   *
   * @param limit - requests a second; undefined when the response has none
   * @returns true when the limit has changed
   */
  recordAnswer ({ id, startedAt }: UpstreamProcess, limit: number | undefined, now: Millis): boolean {
    const known = this.#find(id, startedAt)
    if (limit !== undefined) return this.#setLimit(id, startedAt, limit, now, true)
    if (known?.limit === undefined || now - known.answeredAt <= END_AFTER_MS) return false
    known.limit = undefined
    known.answeredAt = now
    return true
  }

  /** @returns whether a request may be sent to the upstream now */
  maySend ({ id, startedAt }: UpstreamProcess, now: Millis): boolean {
    const known = this.#find(id, startedAt)
    if (known?.limit === undefined) return true
    this.#chooseIssuer(id, known, now)
    if (!known.stock.has(now) && known.issuer !== undefined) this.#issue(known, now)
    return known.stock.has(now)
  }

  /** Records that a request is sent. */
  recordSend ({ id, startedAt }: UpstreamProcess): void {
    this.#find(id, startedAt)?.stock.take()
  }

  /** @returns what this gateway tells its peers */
  reports (now: Millis): RequestLimitReport[] {
    return [...this.#upstreams].filter(([, { isListed, issuer }]) => isListed || issuer !== undefined).map(([id, known]) => {
      const { startedAt, limit, answeredAt, stock } = known
      this.#chooseIssuer(id, known, now)
      if (known.issuer !== undefined) this.#issue(known, now)
      const claim = stock.claim(limit ?? 0, now)
      return { id, startedAt, limit, ageMs: now - answeredAt, granter: stock.issuer, ...claim, granted: known.issuer?.unconfirmed() ?? new Map() }
    })
  }

  /**
   * Applies a report of a peer gateway.
   *
   * @returns true when permits were issued that the peers have to be told
   */
  applyReport (peer: PeerId, report: RequestLimitReport, now: Millis): boolean {
    this.#applyAnnouncement(report, now - report.ageMs)
    const known = this.#find(report.id, report.startedAt)
    if (known?.limit === undefined) return false
    this.#chooseIssuer(report.id, known, now)
    const self = this.#self
    known.stock.receive(peer, report.granted.get(self) ?? 0, now)
    if (report.granter !== self) return false
    known.claimedAt = now
    if (known.issuer === undefined) return false
    known.issuer.applyClaim(peer, report)
    return this.#issue(known, now)
  }

  /** Chooses issuers again after a change of membership. */
  onMembershipChanged (): void {
    for (const known of this.#upstreams.values()) known.issuerChosenAt = -Infinity
  }

  /** Forgets the upstreams that have not been listed for a while, unless a peer with another list expects permits of this gateway, and limits that have ended. */
  retainUpstreams (listed: ReadonlySet<UpstreamId>, now: Millis): void {
    for (const [id, known] of this.#upstreams) {
      known.isListed = listed.has(id)
      if (known.isListed) known.listedAt = now
      const isNeeded = now - Math.max(known.listedAt, known.claimedAt) <= UNLISTED_RETENTION_MS
      const hasEnded = known.limit === undefined && now - known.answeredAt > ENDED_RETENTION_MS
      if (!isNeeded || hasEnded) this.#upstreams.delete(id)
    }
  }

  get #self (): PeerId {
    this.#selfId ??= this.view().self
    return this.#selfId
  }

  #find (id: UpstreamId, startedAt: number | undefined): LimitedUpstream | undefined {
    const known = this.#upstreams.get(id)
    return known?.startedAt === startedAt ? known : undefined
  }

  #setLimit (id: UpstreamId, startedAt: number | undefined, limit: number, at: Millis, isListed: boolean): boolean {
    const known = this.#find(id, startedAt)
    if (known === undefined) {
      this.#upstreams.set(id, { startedAt, claimedAt: -Infinity, listedAt: isListed ? at : -Infinity, isListed, limit, answeredAt: at, stock: new PermitStock(), issuer: undefined, issuerChosenAt: -Infinity, issuedShare: 1 })
      return true
    }
    const isChanged = known.limit !== limit
    known.limit = limit
    known.answeredAt = at
    return isChanged
  }

  #applyAnnouncement ({ id, startedAt, limit }: RequestLimitReport, at: Millis): void {
    const current = this.#upstreams.get(id)
    if (current !== undefined && current.startedAt !== startedAt && (startedAt ?? 0) < (current.startedAt ?? 0)) return
    const known = this.#find(id, startedAt)
    if (known === undefined) {
      if (limit !== undefined) this.#setLimit(id, startedAt, limit, at, false)
      return
    }
    const hasEnded = known.limit === undefined
    if (at <= known.answeredAt + (hasEnded && limit !== undefined ? REPORT_JITTER_MS : 0)) return
    known.limit = limit
    known.answeredAt = at
  }

  #chooseIssuer (id: UpstreamId, known: LimitedUpstream, now: Millis): void {
    if (now - known.issuerChosenAt < ISSUER_TTL_MS) return
    known.issuerChosenAt = now
    const view = this.view()
    const members = [view.self, ...view.reachable]
    known.stock.issuer = rendezvous(hashMembers(this.hash, members), this.hash(id))
    if (known.stock.issuer !== view.self) known.issuer = undefined
    else known.issuer ??= new PermitIssuer(now)
    known.issuer?.retainPeers(new Set(members))
    known.issuedShare = issuedShare(view)
  }

  /** Issues permits, to this gateway as well. */
  #issue ({ limit, issuer, issuedShare, stock }: LimitedUpstream, now: Millis): boolean {
    if (limit === undefined || issuer === undefined) return false
    const self = this.#self
    issuer.applyClaim(self, stock.claim(limit, now))
    const hasGranted = issuer.issue(limit * issuedShare, now)
    stock.receive(self, issuer.granted(self), now)
    return hasGranted
  }
}
