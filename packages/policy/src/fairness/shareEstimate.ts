/** Estimates what other agents have served since their last update, assuming that they choose by the same rule as this one. */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import { DecayingSum } from './decayingSum.js'
import type { FairnessAccount } from './fairnessAccount.js'

/** Half-life of service in the ratio, in milliseconds. */
const RATIO_HALF_LIFE_MS = 5_000

/** Upper bound of the ratio. */
const MAX_RATIO = 1_000

interface RecentCharge {
  readonly at: Millis
  readonly account: FairnessAccount
  readonly amount: number
}

/**
 * Recent charges of this process at one service. Multiplied by the ratio of other processes' service to its own, they estimate
 * what the others have served but not reported yet.
 */
export class ShareEstimate {
  readonly #unmatched: RecentCharge[] = []
  readonly #own = new DecayingSum(RATIO_HALF_LIFE_MS)
  readonly #others = new DecayingSum(RATIO_HALF_LIFE_MS)

  /** @returns the ratio of other processes' service to this process's service */
  ratioAt (now: Millis): number {
    const own = this.#own.at(now)
    return own <= 0 ? 0 : clamp(this.#others.at(now) / own, 0, MAX_RATIO)
  }

  /** Adds a charge of this process. */
  addOwn (account: FairnessAccount, amount: number, now: Millis): void {
    this.#own.add(amount, now)
    this.#unmatched.push({ at: now, account, amount })
    account.unmatchedCharges += amount
  }

  /** Adds service that other processes have reported. */
  addOthers (amount: number, now: Millis): void {
    this.#others.add(amount, now)
  }

  /** Drops charges made before a point in time; the charges of other processes up to then have arrived. */
  expire (before: Millis): void {
    const firstKept = this.#unmatched.findIndex(({ at }) => at >= before)
    for (const { account, amount } of this.#unmatched.splice(0, firstKept === -1 ? this.#unmatched.length : firstKept)) account.unmatchedCharges -= amount
  }
}
