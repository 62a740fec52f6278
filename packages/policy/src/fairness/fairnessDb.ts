/** State of fair service in one process, and the only functions that change it. */
import { asId, getOrMake, type Incarnation, type Millis, type RequestId, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { FairnessAccount } from './fairnessAccount.js'
import { ServiceRate } from './serviceRate.js'
import { ShareEstimate } from './shareEstimate.js'
import { addTally, isNothing, netOf, type Tally, tallyOf } from './tally.js'
import type { BaseSnapshot, CounterEntry, FairnessConfig, LiftEntry } from './fairnessTypes.js'

/** Stands for the whole fleet where a lift names a service. */
export const FLEET: ServiceId = asId<ServiceId>('*')

/** Steps of virtual cost to one cost unit; sums of whole steps do not depend on their order. */
const STEPS_PER_UNIT = 1024

/** Weight of a workspace that none is configured for. */
const DEFAULT_WEIGHT = 1

/** Folded origins that are remembered. */
const MAX_FOLDED = 4096

/** Ages of news in the least grace. */
const GRACE_PER_AGE = 4

/** Source of own totals that another process has counted as part of its sums. */
const COUNTED = 'counted'

interface OwnOrigin {
  origin: Incarnation
  epoch: number
  touchedAt: Millis
}

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
  readonly #shares = new Map<ServiceId, ShareEstimate>()
  readonly #rates = new Map<ServiceId, ServiceRate>()
  readonly #folded = new Set<Incarnation>()
  readonly #touched = new Map<Incarnation, Millis>()
  #weights: ReadonlyMap<WorkspaceId, number> = new Map()
  #baseSum = 0
  #baseSeq = 0
  #seq = 0
  /** Own origins by service. */
  readonly #own = new Map<ServiceId, OwnOrigin>()
  /** Milliseconds by which what others tell is late. */
  newsAge: Millis
  /** Reading since which this process has heard of the whole fleet without a long gap. */
  observingSince: Millis

  /**
   * @param incarnation - life of this process; its origins are named after it
   * @param config - settings
   * @param now - monotonic reading at the start
   */
  constructor (readonly incarnation: Incarnation, readonly config: FairnessConfig, now: Millis) {
    this.observingSince = now
    this.newsAge = config.newsAge
  }

  /** Number of the last change of what other processes are told. */
  get seq (): number { return this.#seq }

  /** Number of the last change of the base. */
  get baseSeq (): number { return this.#baseSeq }

  /** Milliseconds without news of a backlog after which there is none; never less than a few ages of news. */
  get grace (): Millis {
    return Math.max(this.config.idleGrace, GRACE_PER_AGE * this.newsAge)
  }

  /** @returns the origin that this process charges a service under now */
  originOf (service: ServiceId): Incarnation {
    return this.#own.get(service)?.origin ?? this.incarnation
  }

  /** @returns the accounts of a service */
  accountsOf (service: ServiceId): Iterable<FairnessAccount> {
    return this.#accounts.get(service)?.values() ?? []
  }

  /** @returns the accounts of a service whose workspaces wait somewhere, or did a moment ago */
  backloggedAt (service: ServiceId, now: Millis): FairnessAccount[] {
    return [...this.accountsOf(service)].filter(account => now - account.backloggedAt <= this.grace)
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

  /** @returns what others are assumed to do at a service for each thing that this process does */
  shareOf (service: ServiceId): ShareEstimate {
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
  addOwn (service: ServiceId, workspace: WorkspaceId, tally: Tally, now: Millis): void {
    this.#publish(this.account(service, workspace), tally, now)
  }

  /**
   * Merges a tally by the largest values.
   *
   * @param entry - the tally
   * @param link - link that told it
   * @param now - monotonic reading
   * @param recent - false when it may have been served long ago, so that it says nothing on the rate
   */
  mergeTotal (entry: CounterEntry, link: string, now: Millis, recent: boolean): void {
    if (this.#folded.has(entry.origin)) return
    const account = this.account(entry.service, entry.workspace)
    const grown = account.raise(entry.origin, { tally: entry, seq: this.#seq + 1, source: link })
    if (isNothing(grown)) return
    this.#seq += 1
    this.#touched.set(entry.origin, now)
    this.#addToFleet(entry.workspace, grown)
    if (!recent) return
    this.rateOf(entry.service).add(netOf(grown), now)
    this.shareOf(entry.service).addOthers(netOf(grown), now)
    account.flow.add(netOf(grown), now)
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
    const old = [...this.#touched].filter(([, at]) => now - at > this.config.foldAfter)
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

  /**
   * Begins a new own origin for a service, so that whoever counts this process from now on counts nothing twice.
   *
   * @param untold - what of the own tally nobody has counted yet; it goes over to the new origin
   */
  moveUntold (service: ServiceId, untold: (account: FairnessAccount) => Tally, now: Millis): void {
    const former = this.#touchOwn(service, now)
    const own = this.#own.get(service)
    if (own !== undefined) this.#renew(own)
    for (const account of this.accountsOf(service)) {
      const kept = account.origins.get(former)
      if (kept === undefined) continue
      kept.source = COUNTED
      const moved = account.drop(former, untold(account))
      this.#addToFleet(account.workspace, tallyOf(-netOf(moved)))
      this.#publish(account, moved, now)
    }
  }

  /** Forgets every tally of a service but those of the own origin, for sums that hold them all. */
  keepOwn (service: ServiceId): void {
    const own = this.originOf(service)
    for (const account of this.accountsOf(service)) {
      for (const origin of [...account.origins.keys()]) {
        if (origin !== own) this.#dropOrigin(account, origin)
      }
      this.#setBase(account, 0)
    }
  }

  #correct (charge: Charge, cost: number, now: Millis): void {
    const target = toSteps(cost / charge.weight)
    const change = target - charge.charged
    if (change === 0) return
    charge.charged = target
    this.#publish(charge.account, tallyOf(change), now)
    this.shareOf(charge.account.service).addOwn(charge.account, change, now)
  }

  #publish (account: FairnessAccount, grown: Tally, now: Millis): void {
    if (isNothing(grown)) return
    const origin = this.#touchOwn(account.service, now)
    this.#seq += 1
    account.raise(origin, { tally: addTally(account.tallyOf(origin), grown), seq: this.#seq, source: undefined })
    this.#addToFleet(account.workspace, grown)
    this.rateOf(account.service).add(netOf(grown), now)
    account.flow.add(netOf(grown), now)
  }

  #addToFleet (workspace: WorkspaceId, grown: Tally): void {
    const fleet = this.account(FLEET, workspace)
    fleet.sum = addTally(fleet.sum, grown)
  }

  #dropOrigin (account: FairnessAccount, origin: Incarnation): number {
    const net = netOf(account.drop(origin))
    this.#addToFleet(account.workspace, tallyOf(-net))
    return net
  }

  /** Begins a new origin after a long rest, since others may have folded the old one. */
  #touchOwn (service: ServiceId, now: Millis): Incarnation {
    const own = getOrMake(this.#own, service, () => ({ origin: this.incarnation, epoch: 0, touchedAt: now }))
    const rested = now - own.touchedAt > this.config.foldAfter / 2
    if (rested || this.#folded.has(own.origin)) this.#renew(own)
    own.touchedAt = now
    this.#touched.set(own.origin, now)
    return own.origin
  }

  #renew (own: OwnOrigin): void {
    own.epoch += 1
    own.origin = asId<Incarnation>(`${this.incarnation}.${own.epoch}`)
  }

  #setBase (account: FairnessAccount, base: number): void {
    this.account(FLEET, account.workspace).base += base - account.base
    account.base = base
  }

  #forget (origin: Incarnation, keep = false): void {
    this.#folded.add(origin)
    this.#touched.delete(origin)
    for (const account of this.#realAccounts()) {
      const net = this.#dropOrigin(account, origin)
      if (keep) this.#setBase(account, account.base + net)
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
