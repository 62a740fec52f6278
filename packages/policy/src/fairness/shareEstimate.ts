/** Assumes that other agents have chosen since their last news as this one has, since they pick by the same rule. */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import { DecayingSum } from './decayingSum.js'
import type { FairnessAccount } from './fairnessAccount.js'

/** Milliseconds after which service counts half in the ratio of all service to the own. */
const RATIO_HALF_LIFE_MS = 5_000

/** Largest ratio that is assumed. */
const MAX_RATIO = 1_000

interface RecentCharge {
  readonly at: Millis
  readonly account: FairnessAccount
  readonly amount: number
}

/** Own charges at one service that others cannot have matched yet in what this process knows. */
export class ShareEstimate {
  readonly #unmatched: RecentCharge[] = []
  readonly #own = new DecayingSum(RATIO_HALF_LIFE_MS)
  readonly #others = new DecayingSum(RATIO_HALF_LIFE_MS)

  /** @returns service that others give for each unit that this process gives */
  ratioAt (now: Millis): number {
    const own = this.#own.at(now)
    return own <= 0 ? 0 : clamp(this.#others.at(now) / own, 0, MAX_RATIO)
  }

  /** Counts a charge of this process. */
  addOwn (account: FairnessAccount, amount: number, now: Millis): void {
    this.#own.add(amount, now)
    this.#unmatched.push({ at: now, account, amount })
    account.unmatchedCharges += amount
  }

  /** Counts service that others have told of. */
  addOthers (amount: number, now: Millis): void {
    this.#others.add(amount, now)
  }

  /** Forgets own charges that are older than what others have told by now. */
  expire (before: Millis): void {
    const firstKept = this.#unmatched.findIndex(({ at }) => at >= before)
    for (const { account, amount } of this.#unmatched.splice(0, firstKept === -1 ? this.#unmatched.length : firstKept)) account.unmatchedCharges -= amount
  }
}
