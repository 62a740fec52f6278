/** Fairness state of one process; tallies, lifts and charges change only through the methods here. */
import { getOrMake, type Incarnation, type Millis, type RequestId, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { AccountTable } from './accountTable.js'
import type { FairnessAccount } from './fairnessAccount.js'
import { FoldedOrigins } from './foldedOrigins.js'
import { OwnOrigins } from './ownOrigins.js'
import { ServiceRate } from './serviceRate.js'
import { ShareEstimate } from './shareEstimate.js'
import { addTally, isZeroTally, netOf, type Tally, tallyFromChange } from './tally.js'
import type { BaseSnapshot, CounterEntry, FairnessConfig, LiftEntry } from './fairnessTypes.js'

/** Resolution of virtual cost. Multiples of a power of two add up exactly, so sums do not depend on the order of addition. */
const STEPS_PER_UNIT = 1024

/** Weight of a workspace without a configured one. */
const DEFAULT_WEIGHT = 1

/** Smallest idle grace as a multiple of the propagation delay. */
const MIN_GRACE_PER_DELAY = 4

/** Stands in for the link as the source of an own tally that another process has already included in its sums. */
const COUNTED_ELSEWHERE = 'counted'

interface Charge {
  readonly account: FairnessAccount
  readonly weight: number
  /** Virtual cost charged so far. */
  charged: number
}

const roundToStep = (cost: number): number => Math.round(cost * STEPS_PER_UNIT) / STEPS_PER_UNIT

/** Service totals, lifts, weights and charges of running requests. */
export class FairnessDb {
  readonly #accounts = new AccountTable()
  readonly #folded: FoldedOrigins
  /** Origins of this process. */
  readonly ownOrigins: OwnOrigins
  readonly #charges = new Map<RequestId, Charge>()
  readonly #shares = new Map<ServiceId, ShareEstimate>()
  readonly #rates = new Map<ServiceId, ServiceRate>()
  #weights: ReadonlyMap<WorkspaceId, number> = new Map()
  #baseSeq = 0
  #seq = 0
  /** Delay in milliseconds with which other processes' updates arrive. */
  propagationDelay: Millis
  /** Monotonic time since which this process has received updates about the whole fleet without a long gap. */
  observingSince: Millis

  /**
   * @param incarnation - incarnation of this process, which prefixes its origins
   * @param config - settings
   * @param now - monotonic time at the start
   */
  constructor (readonly incarnation: Incarnation, readonly config: FairnessConfig, now: Millis) {
    this.observingSince = now
    this.propagationDelay = config.propagationDelay
    this.ownOrigins = new OwnOrigins(incarnation, config.foldAfter / 2)
    this.#folded = new FoldedOrigins(this.#accounts, config.foldAfter)
  }

  /** Sequence number of the last change that is sent to peers. */
  get seq (): number { return this.#seq }

  /** Sequence number of the last change of the base. */
  get baseSeq (): number { return this.#baseSeq }

  /** Milliseconds without a reported backlog after which a workspace counts as idle; at least a few propagation delays. */
  get idleGrace (): Millis {
    return Math.max(this.config.idleGrace, MIN_GRACE_PER_DELAY * this.propagationDelay)
  }

  /** @returns the origin under which this process currently charges a service */
  originOf (service: ServiceId): Incarnation {
    return this.ownOrigins.current(service)
  }

  /** @returns the accounts of a service */
  accountsOf (service: ServiceId): Iterable<FairnessAccount> {
    return this.#accounts.accountsOf(service)
  }

  /** @returns the accounts of a service whose workspaces have a backlog anywhere, or had one within the idle grace */
  backloggedAt (service: ServiceId, now: Millis): FairnessAccount[] {
    return [...this.accountsOf(service)].filter(account => now - account.backloggedAt <= this.idleGrace)
  }

  /** @returns every service that has an account, including FLEET */
  services (): Iterable<ServiceId> {
    return this.#accounts.services()
  }

  /** @returns the account, created when missing */
  account (service: ServiceId, workspace: WorkspaceId): FairnessAccount {
    return this.#accounts.get(service, workspace)
  }

  /** @returns virtual time of a workspace at a service, or over all services for FLEET */
  virtualTime (service: ServiceId, workspace: WorkspaceId): number {
    return this.#accounts.find(service, workspace)?.virtualTime ?? 0
  }

  weightOf (workspace: WorkspaceId): number {
    return this.#weights.get(workspace) ?? DEFAULT_WEIGHT
  }

  setWeights (weights: ReadonlyMap<WorkspaceId, number>): void {
    this.#weights = weights
  }

  /** @returns the rate of a service in virtual cost per second */
  rateOf (service: ServiceId): ServiceRate {
    return getOrMake(this.#rates, service, () => new ServiceRate())
  }

  /** @returns the estimate of what other processes have served at a service but not reported yet */
  shareEstimateOf (service: ServiceId): ShareEstimate {
    return getOrMake(this.#shares, service, () => new ShareEstimate())
  }

  /** Charges the estimated cost of a request. */
  startCharge (request: RequestId, service: ServiceId, workspace: WorkspaceId, estimate: number, now: Millis): void {
    if (this.#charges.has(request)) return
    const charge = { account: this.account(service, workspace), weight: this.weightOf(workspace), charged: 0 }
    this.#charges.set(request, charge)
    this.#correct(charge, estimate, now)
  }

  /** Replaces the charge of a running request by its cost so far. */
  correctCharge (request: RequestId, cost: number, now: Millis): void {
    const charge = this.#charges.get(request)
    if (charge !== undefined) this.#correct(charge, cost, now)
  }

  /** Replaces the charge of a request by its final cost. */
  endCharge (request: RequestId, cost: number, now: Millis): void {
    this.correctCharge(request, cost, now)
    this.#charges.delete(request)
  }

  /** Adds service given by a child process to this process's own origin. */
  addChildService (service: ServiceId, workspace: WorkspaceId, tally: Tally, now: Millis): void {
    this.#addService(this.account(service, workspace), tally, now)
  }

  /**
   * Merges a received tally by the maximum of each part.
   *
   * @param entry - the tally
   * @param link - link over which the tally was received
   * @param now - monotonic time in milliseconds
   * @param source - `recent` is false when the service may have been given long ago; `isParentSum` is true for a sum received
   *   from a parent
   */
  mergeTotal (entry: CounterEntry, link: string, now: Millis, source: { readonly recent: boolean, readonly isParentSum: boolean }): void {
    if (this.#folded.origins.has(entry.origin)) return
    const account = this.account(entry.service, entry.workspace)
    const increase = this.#accounts.mergeTally(account, entry.origin, { tally: entry, seq: this.#seq + 1, source: link })
    if (isZeroTally(increase)) return
    this.#seq += 1
    if (!source.isParentSum) this.#folded.recordChange(entry.origin, now)
    if (!source.recent) return
    this.#recordRecentService(account, increase, now)
    this.shareEstimateOf(entry.service).addOthers(netOf(increase), now)
  }

  /** Merges a lift by the maximum; returns whether the lift grew. */
  mergeLift (entry: LiftEntry, link: string | undefined): boolean {
    const account = this.account(entry.service, entry.workspace)
    if (entry.lift <= account.lift) return false
    this.#seq += 1
    account.lift = entry.lift
    account.liftSeq = this.#seq
    account.liftSource = link
    return true
  }

  /** Replaces the base when the received one is larger. */
  mergeBase (base: BaseSnapshot): void {
    if (this.#folded.merge(base)) this.#recordBaseChange()
  }

  /** Folds origins that have not changed within `foldAfter` into the base. */
  foldOldOrigins (now: Millis): void {
    if (this.#folded.foldOld(now)) this.#recordBaseChange()
  }

  /** @returns the base in the form that is sent to peers, or undefined while it is empty */
  baseSnapshot (): BaseSnapshot | undefined {
    return this.#folded.snapshot()
  }

  /**
   * Starts a new own origin for a service, so that the next process to include this one's service in its sums counts nothing
   * twice.
   *
   * @param uncountedOf - returns the part of an own tally that no process has counted yet, which moves to the new origin
   */
  moveUncounted (service: ServiceId, uncountedOf: (account: FairnessAccount) => Tally, now: Millis): void {
    const previousOrigin = this.ownOrigins.current(service)
    this.ownOrigins.renew(service, now)
    for (const account of this.accountsOf(service)) {
      for (const known of account.origins.values()) {
        if (known.source === undefined) known.source = COUNTED_ELSEWHERE
      }
      this.#addToOwnOrigin(account, this.#accounts.removeTally(account, previousOrigin, uncountedOf(account)), now)
    }
  }

  /** Drops all tallies of a service that the received sums include: all but the own ones that no other process has counted. */
  dropRemoteTallies (service: ServiceId): void {
    for (const account of this.accountsOf(service)) {
      for (const [origin, { source }] of [...account.origins]) {
        if (source !== undefined) this.#accounts.removeTally(account, origin)
      }
      this.#accounts.setBase(account, 0)
    }
    this.#folded.recomputeSum()
  }

  #correct (charge: Charge, cost: number, now: Millis): void {
    const target = roundToStep(cost / charge.weight)
    const adjustment = target - charge.charged
    if (adjustment === 0) return
    charge.charged = target
    this.#addService(charge.account, tallyFromChange(adjustment), now)
    this.shareEstimateOf(charge.account.service).addOwn(charge.account, adjustment, now)
  }

  #addService (account: FairnessAccount, increase: Tally, now: Millis): void {
    this.#addToOwnOrigin(account, increase, now)
    this.#recordRecentService(account, increase, now)
  }

  /** Adds to the own origin without counting the amount as recent service. */
  #addToOwnOrigin (account: FairnessAccount, increase: Tally, now: Millis): void {
    if (isZeroTally(increase)) return
    const origin = this.ownOrigins.originForCharge(account.service, this.#folded.origins, now)
    if (!this.ownOrigins.isCountedByParent(account.service)) this.#folded.recordChange(origin, now)
    this.#seq += 1
    this.#accounts.mergeTally(account, origin, { tally: addTally(account.tallyOf(origin), increase), seq: this.#seq, source: undefined })
  }

  #recordRecentService (account: FairnessAccount, increase: Tally, now: Millis): void {
    this.rateOf(account.service).add(netOf(increase), now)
    account.recentService.add(netOf(increase), now)
  }

  #recordBaseChange (): void {
    this.#seq += 1
    this.#baseSeq = this.#seq
  }
}
