/** Issues the permits of one limited upstream to all gateways, in turn, at the rate that the upstream announces. */
import { getOrMake, type Millis } from '@fuchsiaworks/kernel'
import type { PeerId } from '../placement/placementTypes.js'

/** Share of the announced rate that is issued; while gateways disagree on who issues, two of them together stay below twice this. */
const RATE_SHARE = 0.9

/** Lowest rate, so that the end of a limit is noticed. */
const MIN_PER_SECOND = 0.2

/** Time for which permits accumulate while nobody wants them. */
const MAX_ACCUMULATED_MS: Millis = 500

interface Account {
  granted: number
  /** As the gateway last reported. */
  wanted: number
  received: number
  returned: number
  /** Turn in which it was last granted a permit. */
  turn: number
}

/** What a gateway reports of its permits. */
export interface PermitClaim {
  readonly wanted: number
  readonly received: number
  readonly returned: number
}

/** Permits of one upstream, as the gateway that issues them counts them. */
export class PermitIssuer {
  readonly #accounts = new Map<PeerId, Account>()
  #available = 0
  #turn = 0
  #issuedAt: Millis

  /** @param now - monotonic milliseconds; no permits have accumulated by then */
  constructor (now: Millis) {
    this.#issuedAt = now
  }

  /** Applies what a gateway reports; permits that it returns are issued again. */
  applyClaim (peer: PeerId, { wanted, received, returned }: PermitClaim): void {
    const account = getOrMake(this.#accounts, peer, () => ({ granted: received, wanted, received, returned, turn: 0 }))
    this.#available += Math.max(0, returned - account.returned)
    // A gateway that counts from another basis, as it has taken another one for the issuer in between, is believed.
    if (received < account.received || received > account.granted) account.granted = received
    Object.assign(account, { wanted, received, returned })
  }

  /**
   * Issues the permits that have become available, least recently served gateway first.
   *
   * @param perSecond - requests a second that this gateway may issue permits for
   * @returns true when any was granted
   */
  issue (perSecond: number, now: Millis): boolean {
    const rate = Math.max(MIN_PER_SECOND, perSecond * RATE_SHARE) / 1000
    this.#available = Math.min(Math.max(1, rate * MAX_ACCUMULATED_MS), this.#available + (now - this.#issuedAt) * rate)
    this.#issuedAt = now
    let hasGranted = false
    while (this.#available >= 1) {
      const [next] = [...this.#accounts.values()].filter(({ granted, received, wanted }) => granted - received < wanted).sort((a, b) => a.turn - b.turn)
      if (next === undefined) return hasGranted
      this.#turn += 1
      this.#available -= 1
      Object.assign(next, { granted: next.granted + 1, turn: this.#turn })
      hasGranted = true
    }
    return hasGranted
  }

  /** @returns the permits granted to a gateway so far */
  granted (peer: PeerId): number {
    return this.#accounts.get(peer)?.granted ?? 0
  }

  /** @returns the permits granted so far to each gateway that has not confirmed all of them */
  unconfirmed (): Map<PeerId, number> {
    return new Map([...this.#accounts].filter(([, { granted, received }]) => granted > received).map(([peer, { granted }]) => [peer, granted]))
  }

  /** Removes the accounts of all gateways but the given ones; permits that they had are not issued again. */
  retainPeers (peers: ReadonlySet<PeerId>): void {
    for (const peer of this.#accounts.keys()) if (!peers.has(peer)) this.#accounts.delete(peer)
  }
}
