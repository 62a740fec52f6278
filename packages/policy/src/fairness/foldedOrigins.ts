/** Folds the tallies of old origins into one base per account, so that state stays bounded. */
import type { Incarnation, Millis } from '@fuchsiaworks/kernel'
import type { AccountTable } from './accountTable.js'
import type { BaseSnapshot } from './fairnessTypes.js'
import { netOf } from './tally.js'

/** Largest number of folded origins that are remembered; the oldest are dropped first. */
const MAX_FOLDED_ORIGINS = 4096

/** The base of one process, and the origins that are part of it. */
export class FoldedOrigins {
  readonly origins = new Set<Incarnation>()
  /** Time of the last change of each origin that may be folded. */
  readonly #changedAt = new Map<Incarnation, Millis>()
  #sum = 0

  /**
   * @param accounts - accounts, which are changed in place
   * @param foldAfter - milliseconds without a change after which an origin is folded
   */
  constructor (readonly accounts: AccountTable, readonly foldAfter: Millis) {}

  /** Restarts the folding delay of an origin. */
  recordChange (origin: Incarnation, now: Millis): void {
    this.#changedAt.set(origin, now)
  }

  /** @returns whether the base was larger than the local one and replaced it */
  merge (base: BaseSnapshot): boolean {
    if (base.sum <= this.#sum) return false
    for (const account of this.accounts.serviceAccounts()) this.accounts.setBase(account, 0)
    for (const entry of base.entries) this.accounts.setBase(this.accounts.get(entry.service, entry.workspace), entry.total)
    this.origins.clear()
    for (const origin of base.folded) this.#fold(origin, false)
    this.recomputeSum()
    return true
  }

  /** @returns whether any origin was old enough to be folded */
  foldOld (now: Millis): boolean {
    const expired = [...this.#changedAt].filter(([, at]) => now - at > this.foldAfter)
    if (expired.length === 0) return false
    for (const [origin] of expired) this.#fold(origin, true)
    this.#trim()
    this.recomputeSum()
    return true
  }

  /** @returns the base in the form that is sent to peers, or undefined while it is empty */
  snapshot (): BaseSnapshot | undefined {
    if (this.origins.size === 0) return undefined
    const entries = [...this.accounts.serviceAccounts()].filter(({ base }) => base > 0)
      .map(({ service, workspace, base }) => ({ service, workspace, total: base }))
    return { sum: this.#sum, entries, folded: [...this.origins] }
  }

  #fold (origin: Incarnation, addToBase: boolean): void {
    this.origins.add(origin)
    this.#changedAt.delete(origin)
    for (const account of this.accounts.serviceAccounts()) {
      const net = netOf(this.accounts.removeTally(account, origin))
      if (addToBase) this.accounts.setBase(account, account.base + net)
    }
  }

  #trim (): void {
    for (const origin of this.origins) {
      if (this.origins.size <= MAX_FOLDED_ORIGINS) return
      this.origins.delete(origin)
    }
  }

  /** Recomputes the sum of the base after accounts were changed. */
  recomputeSum (): void {
    this.#sum = 0
    for (const { base } of this.accounts.serviceAccounts()) this.#sum += base
  }
}
