/** Old origins, folded into one base for each account so that state stays bounded. */
import type { Incarnation, Millis } from '@fuchsiaworks/kernel'
import type { AccountTable } from './accountTable.js'
import type { BaseSnapshot } from './fairnessTypes.js'
import { netOf } from './tally.js'

/** Folded origins that are remembered. */
const MAX_FOLDED = 4096

/** The base of one process, and the names of the origins that it holds. */
export class FoldedOrigins {
  readonly names = new Set<Incarnation>()
  /** Reading of the last change of each origin that may be folded. */
  readonly #touched = new Map<Incarnation, Millis>()
  #sum = 0

  /**
   * @param accounts - changed in place
   * @param foldAfter - milliseconds without a change after which an origin is folded
   */
  constructor (readonly accounts: AccountTable, readonly foldAfter: Millis) {}

  /** Notes a change of an origin. */
  touch (origin: Incarnation, now: Millis): void {
    this.#touched.set(origin, now)
  }

  /** @returns whether a base that is larger than the own one was taken over, whole */
  merge (base: BaseSnapshot): boolean {
    if (base.sum <= this.#sum) return false
    for (const account of this.accounts.all()) this.accounts.setBase(account, 0)
    for (const entry of base.entries) this.accounts.setBase(this.accounts.get(entry.service, entry.workspace), entry.total)
    this.names.clear()
    for (const origin of base.folded) this.#fold(origin, false)
    this.note()
    return true
  }

  /** @returns whether any origin was old enough to be moved into the base */
  foldOld (now: Millis): boolean {
    const old = [...this.#touched].filter(([, at]) => now - at > this.foldAfter)
    if (old.length === 0) return false
    for (const [origin] of old) this.#fold(origin, true)
    this.#trim()
    this.note()
    return true
  }

  /** @returns the base as other processes are told it, or undefined while it is empty */
  snapshot (): BaseSnapshot | undefined {
    if (this.names.size === 0) return undefined
    const entries = [...this.accounts.all()].filter(({ base }) => base > 0)
      .map(({ service, workspace, base }) => ({ service, workspace, total: base }))
    return { sum: this.#sum, entries, folded: [...this.names] }
  }

  #fold (origin: Incarnation, keep: boolean): void {
    this.names.add(origin)
    this.#touched.delete(origin)
    for (const account of this.accounts.all()) {
      const net = netOf(this.accounts.drop(account, origin))
      if (keep) this.accounts.setBase(account, account.base + net)
    }
  }

  #trim (): void {
    for (const origin of this.names) {
      if (this.names.size <= MAX_FOLDED) return
      this.names.delete(origin)
    }
  }

  /** Adds the base up anew after accounts were reset. */
  note (): void {
    this.#sum = 0
    for (const { base } of this.accounts.all()) this.#sum += base
  }
}
