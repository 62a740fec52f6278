/** State of fair service in one process, and the only functions that change it. */
import { asId, getOrMake, type Incarnation, type Millis, type RequestId, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { FairnessAccount } from './fairnessAccount.js'
import { ServiceRate } from './serviceRate.js'
import type { BaseSnapshot, CounterEntry, FairnessConfig, LiftEntry } from './fairnessTypes.js'

/** Stands for the whole fleet where a lift names a service. */
export const FLEET: ServiceId = asId<ServiceId>('*')

/** Steps of virtual cost to one cost unit; sums of whole steps do not depend on their order. */
const STEPS_PER_UNIT = 1024

/** Weight of a workspace that none is configured for. */
const DEFAULT_WEIGHT = 1

/** Folded origins that are remembered. */
const MAX_FOLDED = 4096

interface Charge {
  readonly account: FairnessAccount
  readonly weight: number
  /** Virtual cost charged so far. */
  charged: number
}

const toSteps = (cost: number): number => Math.round(cost * STEPS_PER_UNIT) / STEPS_PER_UNIT

/** Totals, lifts, weights and running charges. */
export class FairnessDb {
  readonly #accounts = new Map<ServiceId, Map<WorkspaceId, FairnessAccount>>()
  readonly #charges = new Map<RequestId, Charge>()
  readonly #rates = new Map<ServiceId, ServiceRate>()
  readonly #folded = new Set<Incarnation>()
  readonly #touched = new Map<Incarnation, Millis>()
  #weights: ReadonlyMap<WorkspaceId, number> = new Map()
  #baseSum = 0
  #baseSeq = 0
  #seq = 0
  #epoch = 0
  #ownTouched: Millis
  #origin: Incarnation
  /** Reading since which this process has heard of the whole fleet without a long gap. */
  observingSince: Millis

  /**
   * @param incarnation - life of this process; its origins are named after it
   * @param config - settings
   * @param now - monotonic reading at the start
   */
  constructor (readonly incarnation: Incarnation, readonly config: FairnessConfig, now: Millis) {
    this.#origin = incarnation
    this.#ownTouched = now
    this.observingSince = now
  }

  /** Number of the last change of what other processes are told. */
  get seq (): number { return this.#seq }

  /** Number of the last change of the base. */
  get baseSeq (): number { return this.#baseSeq }

  /** Origin that this process charges under now. */
  get origin (): Incarnation { return this.#origin }

  /** @returns the accounts of a service */
  accountsOf (service: ServiceId): Iterable<FairnessAccount> {
    return this.#accounts.get(service)?.values() ?? []
  }

  /** @returns every service that has an account; the whole fleet counts as one */
  services (): Iterable<ServiceId> {
    return this.#accounts.keys()
  }

  /** @returns the account, made when missing */
  account (service: ServiceId, workspace: WorkspaceId): FairnessAccount {
    const byWorkspace = getOrMake(this.#accounts, service, () => new Map<WorkspaceId, FairnessAccount>())
    return getOrMake(byWorkspace, workspace, () => new FairnessAccount(service, workspace))
  }

  /** @returns virtual time of a workspace at a service, or over the fleet for FLEET */
  virtualTime (service: ServiceId, workspace: WorkspaceId): number {
    return this.#accounts.get(service)?.get(workspace)?.virtualTime ?? 0
  }

  weightOf (workspace: WorkspaceId): number {
    return this.#weights.get(workspace) ?? DEFAULT_WEIGHT
  }

  setWeights (weights: ReadonlyMap<WorkspaceId, number>): void {
    this.#weights = weights
  }

  /** @returns the rate of a service in virtual cost a second */
  rateOf (service: ServiceId): ServiceRate {
    return getOrMake(this.#rates, service, () => new ServiceRate())
  }

  /** Charges a request's estimate. */
  startCharge (request: RequestId, service: ServiceId, workspace: WorkspaceId, estimate: number, now: Millis): void {
    if (this.#charges.has(request)) return
    const charge = { account: this.account(service, workspace), weight: this.weightOf(workspace), charged: 0 }
    this.#charges.set(request, charge)
    this.#correct(charge, estimate, now)
  }

  /** Corrects what a request is charged. */
  correctCharge (request: RequestId, cost: number, now: Millis): void {
    const charge = this.#charges.get(request)
    if (charge !== undefined) this.#correct(charge, cost, now)
  }

  /** Corrects a charge for the last time. */
  endCharge (request: RequestId, cost: number, now: Millis): void {
    this.correctCharge(request, cost, now)
    this.#charges.delete(request)
  }

  /**
   * Adds service that was given elsewhere to this process's own origin.
   *
   * @param amount - virtual cost
   */
  addOwn (service: ServiceId, workspace: WorkspaceId, amount: number, now: Millis): void {
    this.#publish(this.account(service, workspace), amount, now)
  }

  /**
   * Merges a total by the largest value.
   *
   * @param entry - the total
   * @param link - link that told it
   * @param now - monotonic reading
   * @param recent - false when it may have been served long ago, so that it says nothing on the rate
   */
  mergeTotal (entry: CounterEntry, link: string, now: Millis, recent: boolean): void {
    if (this.#folded.has(entry.origin)) return
    const account = this.account(entry.service, entry.workspace)
    const grown = account.raise(entry.origin, { total: entry.total, seq: this.#seq + 1, source: link })
    if (grown === 0) return
    this.#seq += 1
    this.#touched.set(entry.origin, now)
    this.account(FLEET, entry.workspace).served += grown
    if (recent) this.rateOf(entry.service).add(grown, now)
  }

  /** Merges a lift by the largest value. */
  mergeLift (entry: LiftEntry, link: string | undefined): boolean {
    const account = this.account(entry.service, entry.workspace)
    if (entry.lift <= account.lift) return false
    this.#seq += 1
    account.lift = entry.lift
    account.liftSeq = this.#seq
    account.liftSource = link
    return true
  }

  /** Takes over a base that is larger than the own one, whole. */
  mergeBase (base: BaseSnapshot): void {
    if (base.sum <= this.#baseSum) return
    for (const account of this.#realAccounts()) this.#setBase(account, 0)
    for (const entry of base.entries) this.#setBase(this.account(entry.service, entry.workspace), entry.total)
    this.#folded.clear()
    for (const origin of base.folded) this.#forget(origin)
    this.#noteBase()
  }

  /** Moves origins that have not changed for long into the base. */
  foldOldOrigins (now: Millis): void {
    const old = [...this.#touched].filter(([origin, at]) => origin !== this.#origin && now - at > this.config.foldAfter)
    if (old.length === 0) return
    for (const [origin] of old) this.#forget(origin, true)
    this.#trimFolded()
    this.#noteBase()
  }

  /** @returns the base as other processes are told it, or undefined while it is empty */
  baseSnapshot (): BaseSnapshot | undefined {
    if (this.#folded.size === 0) return undefined
    const entries = [...this.#realAccounts()].filter(account => account.base > 0)
      .map(({ service, workspace, base }) => ({ service, workspace, total: base }))
    return { sum: this.#baseSum, entries, folded: [...this.#folded] }
  }

  #correct (charge: Charge, cost: number, now: Millis): void {
    const target = toSteps(cost / charge.weight)
    const change = target - charge.charged
    charge.charged = target
    const { account } = charge
    const grown = change - account.debt
    this.#owe(account, Math.max(0, -grown))
    if (grown > 0) this.#publish(account, grown, now)
  }

  #owe (account: FairnessAccount, debt: number): void {
    this.account(FLEET, account.workspace).debt += debt - account.debt
    account.debt = debt
  }

  #publish (account: FairnessAccount, amount: number, now: Millis): void {
    this.#renewOrigin(now)
    const known = account.origins.get(this.#origin)?.total ?? 0
    this.#seq += 1
    account.raise(this.#origin, { total: known + amount, seq: this.#seq, source: undefined })
    this.account(FLEET, account.workspace).served += amount
    this.rateOf(account.service).add(amount, now)
  }

  /** Begins a new origin after a long rest, since others may have folded the old one. */
  #renewOrigin (now: Millis): void {
    const rested = now - this.#ownTouched > this.config.foldAfter / 2
    if (rested || this.#folded.has(this.#origin)) {
      this.#epoch += 1
      this.#origin = asId<Incarnation>(`${this.incarnation}.${this.#epoch}`)
    }
    this.#ownTouched = now
    this.#touched.set(this.#origin, now)
  }

  #setBase (account: FairnessAccount, base: number): void {
    this.account(FLEET, account.workspace).served += base - account.base
    account.setBase(base)
  }

  #forget (origin: Incarnation, keep = false): void {
    this.#folded.add(origin)
    this.#touched.delete(origin)
    for (const account of this.#realAccounts()) {
      const total = account.drop(origin)
      if (keep) account.setBase(account.base + total)
      else this.account(FLEET, account.workspace).served -= total
    }
  }

  #trimFolded (): void {
    for (const origin of this.#folded) {
      if (this.#folded.size <= MAX_FOLDED) return
      this.#folded.delete(origin)
    }
  }

  #noteBase (): void {
    this.#seq += 1
    this.#baseSeq = this.#seq
    this.#baseSum = 0
    for (const account of this.#realAccounts()) this.#baseSum += account.base
  }

  * #realAccounts (): Iterable<FairnessAccount> {
    for (const [service, byWorkspace] of this.#accounts) {
      if (service !== FLEET) yield * byWorkspace.values()
    }
  }
}
