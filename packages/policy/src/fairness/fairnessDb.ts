/** State of fair service in one process, and the only functions that change it. */
import { getOrMake, type Incarnation, type Millis, type RequestId, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { AccountTable } from './accountTable.js'
import type { FairnessAccount } from './fairnessAccount.js'
import { FoldedOrigins } from './foldedOrigins.js'
import { OwnOrigins } from './ownOrigins.js'
import { ServiceRate } from './serviceRate.js'
import { ShareEstimate } from './shareEstimate.js'
import { addTally, isZeroTally, netOf, type Tally, tallyFromChange } from './tally.js'
import type { BaseSnapshot, CounterEntry, FairnessConfig, LiftEntry } from './fairnessTypes.js'

/** Steps of virtual cost to one cost unit; sums of whole steps do not depend on their order. */
const STEPS_PER_UNIT = 1024

/** Weight of a workspace that none is configured for. */
const DEFAULT_WEIGHT = 1

/** Ages of news in the least grace. */
const MIN_GRACE_PER_DELAY = 4

/** Source of own totals that another process has counted as part of its sums. */
const COUNTED_ELSEWHERE = 'counted'

interface Charge {
  readonly account: FairnessAccount
  readonly weight: number
  /** Virtual cost charged so far. */
  charged: number
}

const roundToStep = (cost: number): number => Math.round(cost * STEPS_PER_UNIT) / STEPS_PER_UNIT

/** Totals, lifts, weights and running charges. */
export class FairnessDb {
  readonly #accounts = new AccountTable()
  readonly #folded: FoldedOrigins
  /** Names of the own origins. */
  readonly ownOrigins: OwnOrigins
  readonly #charges = new Map<RequestId, Charge>()
  readonly #shares = new Map<ServiceId, ShareEstimate>()
  readonly #rates = new Map<ServiceId, ServiceRate>()
  #weights: ReadonlyMap<WorkspaceId, number> = new Map()
  #baseSeq = 0
  #seq = 0
  /** Milliseconds by which what others tell is late. */
  propagationDelay: Millis
  /** Reading since which this process has heard of the whole fleet without a long gap. */
  observingSince: Millis

  /**
   * @param incarnation - life of this process; its origins are named after it
   * @param config - settings
   * @param now - monotonic reading at the start
   */
  constructor (readonly incarnation: Incarnation, readonly config: FairnessConfig, now: Millis) {
    this.observingSince = now
    this.propagationDelay = config.propagationDelay
    this.ownOrigins = new OwnOrigins(incarnation, config.foldAfter / 2)
    this.#folded = new FoldedOrigins(this.#accounts, config.foldAfter)
  }

  /** Number of the last change of what other processes are told. */
  get seq (): number { return this.#seq }

  /** Number of the last change of the base. */
  get baseSeq (): number { return this.#baseSeq }

  /** Milliseconds without news of a backlog after which there is none; never less than a few ages of news. */
  get idleGrace (): Millis {
    return Math.max(this.config.idleGrace, MIN_GRACE_PER_DELAY * this.propagationDelay)
  }

  /** @returns the origin that this process charges a service under now */
  originOf (service: ServiceId): Incarnation {
    return this.ownOrigins.current(service)
  }

  /** @returns the accounts of a service */
  accountsOf (service: ServiceId): Iterable<FairnessAccount> {
    return this.#accounts.accountsOf(service)
  }

  /** @returns the accounts of a service whose workspaces wait somewhere, or did a moment ago */
  backloggedAt (service: ServiceId, now: Millis): FairnessAccount[] {
    return [...this.accountsOf(service)].filter(account => now - account.backloggedAt <= this.idleGrace)
  }

  /** @returns every service that has an account; the whole fleet counts as one */
  services (): Iterable<ServiceId> {
    return this.#accounts.services()
  }

  /** @returns the account, made when missing */
  account (service: ServiceId, workspace: WorkspaceId): FairnessAccount {
    return this.#accounts.get(service, workspace)
  }

  /** @returns virtual time of a workspace at a service, or over the fleet for FLEET */
  virtualTime (service: ServiceId, workspace: WorkspaceId): number {
    return this.#accounts.find(service, workspace)?.virtualTime ?? 0
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

  /** @returns what others are assumed to do at a service for each thing that this process does */
  shareEstimateOf (service: ServiceId): ShareEstimate {
    return getOrMake(this.#shares, service, () => new ShareEstimate())
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

  /** Adds service that was given elsewhere to this process's own origin. */
  addChildService (service: ServiceId, workspace: WorkspaceId, tally: Tally, now: Millis): void {
    this.#addService(this.account(service, workspace), tally, now)
  }

  /**
   * Merges a tally by the largest values.
   *
   * @param entry - the tally
   * @param link - link that told it
   * @param now - monotonic reading
   * @param source - whether it may have been served long ago, and whether it is a parent's sum
   */
  mergeTotal (entry: CounterEntry, link: string, now: Millis, source: { readonly recent: boolean, readonly sums: boolean }): void {
    if (this.#folded.origins.has(entry.origin)) return
    const account = this.account(entry.service, entry.workspace)
    const grown = this.#accounts.mergeTally(account, entry.origin, { tally: entry, seq: this.#seq + 1, source: link })
    if (isZeroTally(grown)) return
    this.#seq += 1
    if (!source.sums) this.#folded.recordChange(entry.origin, now)
    if (!source.recent) return
    this.#recordRecentService(account, grown, now)
    this.shareEstimateOf(entry.service).addOthers(netOf(grown), now)
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
    if (this.#folded.merge(base)) this.#recordBaseChange()
  }

  /** Moves origins that have not changed for long into the base. */
  foldOldOrigins (now: Millis): void {
    if (this.#folded.foldOld(now)) this.#recordBaseChange()
  }

  /** @returns the base as other processes are told it, or undefined while it is empty */
  baseSnapshot (): BaseSnapshot | undefined {
    return this.#folded.snapshot()
  }

  /**
   * Begins a new own origin for a service, so that whoever counts this process from now on counts nothing twice.
   *
   * @param uncountedOf - what of the own tally nobody has counted yet; it goes over to the new origin
   */
  moveUncounted (service: ServiceId, uncountedOf: (account: FairnessAccount) => Tally, now: Millis): void {
    const former = this.ownOrigins.current(service)
    this.ownOrigins.renew(service, now)
    for (const account of this.accountsOf(service)) {
      for (const known of account.origins.values()) {
        if (known.source === undefined) known.source = COUNTED_ELSEWHERE
      }
      this.#addToOwnOrigin(account, this.#accounts.removeTally(account, former, uncountedOf(account)), now)
    }
  }

  /** Forgets every tally of a service but the own ones that nobody else has counted, for sums that hold the rest. */
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
    const change = target - charge.charged
    if (change === 0) return
    charge.charged = target
    this.#addService(charge.account, tallyFromChange(change), now)
    this.shareEstimateOf(charge.account.service).addOwn(charge.account, change, now)
  }

  #addService (account: FairnessAccount, grown: Tally, now: Millis): void {
    this.#addToOwnOrigin(account, grown, now)
    this.#recordRecentService(account, grown, now)
  }

  /** Adds to the own origin. */
  #addToOwnOrigin (account: FairnessAccount, grown: Tally, now: Millis): void {
    if (isZeroTally(grown)) return
    const origin = this.ownOrigins.originForCharge(account.service, this.#folded.origins, now)
    if (!this.ownOrigins.isCountedByParent(account.service)) this.#folded.recordChange(origin, now)
    this.#seq += 1
    this.#accounts.mergeTally(account, origin, { tally: addTally(account.tallyOf(origin), grown), seq: this.#seq, source: undefined })
  }

  #recordRecentService (account: FairnessAccount, grown: Tally, now: Millis): void {
    this.rateOf(account.service).add(netOf(grown), now)
    account.recentService.add(netOf(grown), now)
  }

  #recordBaseChange (): void {
    this.#seq += 1
    this.#baseSeq = this.#seq
  }
}
