/** Permits of one gateway to send requests to one limited upstream. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { PeerId } from '../placement/placementTypes.js'
import type { PermitClaim } from './permitIssuer.js'

/** Time for which a permit may be used; then it is returned for others. */
const PERMIT_TTL_MS: Millis = 1500

/** Time since the last request that could have used the upstream, after which a gateway wants no permits. */
const WANTED_FOR_MS: Millis = 1000

/** Share of a second's permits that one gateway may hold at most. */
const MAX_STOCK_S = 0.5

/** Issuers whose counts are remembered, as two gateways may take turns. */
const MAX_ISSUERS = 8

/** Permits that one gateway holds and wants. */
export class PermitStock {
  /** Gateway that issues the permits, as this gateway sees it. */
  #issuer: PeerId | undefined
  /** Times at which the permits expire, in order. */
  #expiries: Millis[] = []
  /** Permits received so far from each of the last issuers, the latest last. */
  readonly #received = new Map<PeerId, number>()
  #returned = 0
  #target = 0
  #wantedAt: Millis = -Infinity
  #hasRunOut = false

  get issuer (): PeerId | undefined {
    return this.#issuer
  }

  /** Changes the issuer; permits of the former one stay valid. */
  set issuer (issuer: PeerId | undefined) {
    if (issuer === this.#issuer) return
    this.#issuer = issuer
    if (issuer !== undefined) this.#setReceived(issuer, this.#receivedFrom(issuer))
  }

  /** Checks whether there is a permit for a request. */
  has (now: Millis): boolean {
    this.#expire(now)
    this.#wantedAt = now
    if (this.#expiries.length === 0) this.#hasRunOut = true
    return this.#expiries.length > 0
  }

  /** Uses the permit that expires first. */
  take (): void {
    this.#expiries.shift()
  }

  /** Receives the permits that the issuer has granted so far. */
  receive (issuer: PeerId, granted: number, now: Millis): void {
    if (issuer !== this.#issuer) return
    for (let nth = this.#receivedFrom(issuer); nth < granted; nth++) this.#expiries.push(now + PERMIT_TTL_MS)
    this.#setReceived(issuer, Math.max(granted, this.#receivedFrom(issuer)))
  }

  /**
   * Computes how many permits this gateway lacks: more the faster it uses them, as new ones take a while to arrive.
   *
   * @param limit - requests a second that the upstream takes
   */
  claim (limit: number, now: Millis): PermitClaim {
    this.#expire(now)
    if (now - this.#wantedAt > WANTED_FOR_MS) this.#target = 0
    else this.#target = Math.min(Math.max(1, limit * MAX_STOCK_S), Math.max(1, this.#target + (this.#hasRunOut ? 1 : 0)))
    this.#hasRunOut = false
    return { wanted: Math.max(0, Math.ceil(this.#target) - this.#expiries.length), received: this.#issuer === undefined ? 0 : this.#receivedFrom(this.#issuer), returned: this.#returned }
  }

  #receivedFrom (issuer: PeerId): number {
    return this.#received.get(issuer) ?? 0
  }

  #setReceived (issuer: PeerId, received: number): void {
    this.#received.delete(issuer)
    this.#received.set(issuer, received)
    const [oldest] = this.#received.keys()
    if (this.#received.size > MAX_ISSUERS && oldest !== undefined) this.#received.delete(oldest)
  }

  #expire (now: Millis): void {
    const valid = this.#expiries.filter(expiry => expiry > now)
    if (valid.length === this.#expiries.length) return
    this.#returned += this.#expiries.length - valid.length
    this.#target = 1
    this.#expiries = valid
  }
}
