/** State of an agent's slots and of the backlog that routers offer to it; all but `limit` changes only through the methods here. */
import { getOrMake, type Millis, type RequestId, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { FloorCredit } from '../fairness/floorCredit.js'
import type { BacklogEntry, DispatchConfig, RouterLink } from './dispatchTypes.js'

/** A pull without a reply so far; it holds a slot. */
export interface PendingPull {
  readonly pull: number
  readonly router: RouterLink
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Estimated cost, in cost units. */
  readonly estimate: number
  readonly sentAt: Millis
}

/** Requests of one workspace that a router offers. */
export interface Offer {
  readonly router: RouterLink
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Offered requests that no pending pull covers. */
  waiting: number
  /** Monotonic time at which the oldest request was queued. */
  readonly oldestQueuedAt: Millis
  readonly headCost: number
}

/** Slots, pulls and offers of one agent. */
export class DispatchDb {
  readonly #offers = new Map<ServiceId, Map<RouterLink, Map<WorkspaceId, Offer>>>()
  readonly #pulls = new Map<number, PendingPull>()
  readonly #running = new Set<RequestId>()
  readonly #floorCredits = new Map<ServiceId, FloorCredit>()
  #nextPull = 1
  limit = 0

  /** @param config - settings */
  constructor (readonly config: DispatchConfig) {}

  /** Slots that neither run a request nor are reserved by a pull; negative after the limit was lowered. */
  get free (): number { return this.limit - this.#running.size - this.#pulls.size }

  get running (): number { return this.#running.size }

  get reserved (): number { return this.#pulls.size }

  /**
   * Checks whether the request of a handover may still be started.
   *
   * @param pull - number of the pull to which the handover replies
   * @returns false when the pull has expired or is unknown, in which case the agent declines the request
   */
  isPending (pull: number): boolean {
    return this.#pulls.has(pull)
  }

  /** @returns the pending pull, or undefined when it has ended */
  pendingPull (pull: number): PendingPull | undefined {
    return this.#pulls.get(pull)
  }

  pendingPulls (): Iterable<PendingPull> {
    return this.#pulls.values()
  }

  services (): Iterable<ServiceId> {
    return this.#offers.keys()
  }

  /** @returns the offers of a service with requests that no pending pull covers */
  offersOf (service: ServiceId): Offer[] {
    const byRouter = [...this.#offers.get(service)?.values() ?? []]
    return byRouter.flatMap(offers => [...offers.values()]).filter(offer => offer.waiting > 0)
  }

  /** @returns the minimum-share credit of the workspaces at a service */
  floorCreditOf (service: ServiceId): FloorCredit {
    return getOrMake(this.#floorCredits, service, () => new FloorCredit())
  }

  /** Replaces a router's offers; requests covered by pending pulls are subtracted. */
  setOffers (router: RouterLink, service: ServiceId, entries: readonly BacklogEntry[], now: Millis): void {
    const byRouter = getOrMake(this.#offers, service, () => new Map<RouterLink, Map<WorkspaceId, Offer>>())
    const offers = entries.map(({ workspace, waiting, oldestWait, headCost }) => {
      const pending = this.#pendingCount(router, service, workspace)
      return { router, service, workspace, waiting: waiting - pending, oldestQueuedAt: now - oldestWait, headCost }
    })
    byRouter.set(router, new Map(offers.map(offer => [offer.workspace, offer])))
  }

  /** Removes the offer of one workspace at a router until the router's next update. */
  dropOffer (router: RouterLink, service: ServiceId, workspace: WorkspaceId): void {
    this.#offers.get(service)?.get(router)?.delete(workspace)
  }

  /** Removes a router and frees the slots that its pulls reserved. */
  dropRouter (router: RouterLink): void {
    for (const byRouter of this.#offers.values()) byRouter.delete(router)
    for (const pull of this.#pulls.values()) {
      if (pull.router === router) this.#pulls.delete(pull.pull)
    }
  }

  /** Reserves a slot for a request of the offer. */
  addPull (offer: Offer, now: Millis): PendingPull {
    const { router, service, workspace, headCost } = offer
    const pull = { pull: this.#nextPull++, router, service, workspace, estimate: headCost, sentAt: now }
    this.#pulls.set(pull.pull, pull)
    offer.waiting -= 1
    return pull
  }

  /** Ends a pull and frees its slot. */
  endPull (pull: number): PendingPull | undefined {
    const ended = this.#pulls.get(pull)
    this.#pulls.delete(pull)
    return ended
  }

  /** Ends the pulls without a reply within the time to live; their routers' offers are dropped until the next update. */
  expirePulls (now: Millis): void {
    for (const { pull, router, sentAt } of this.#pulls.values()) {
      if (now - sentAt < this.config.pullTtl) continue
      this.#pulls.delete(pull)
      for (const byRouter of this.#offers.values()) byRouter.delete(router)
    }
  }

  /** @returns the routers with a pull that has been pending for at least `slowRouterAfter` */
  slowRouters (now: Millis): Set<RouterLink> {
    const slow = [...this.#pulls.values()].filter(pull => now - pull.sentAt >= this.config.slowRouterAfter)
    return new Set(slow.map(pull => pull.router))
  }

  startRequest (request: RequestId): void {
    this.#running.add(request)
  }

  endRequest (request: RequestId): void {
    this.#running.delete(request)
  }

  #pendingCount (router: RouterLink, service: ServiceId, workspace: WorkspaceId): number {
    const same = [...this.#pulls.values()].filter(pull => pull.router === router && pull.service === service && pull.workspace === workspace)
    return same.length
  }
}
