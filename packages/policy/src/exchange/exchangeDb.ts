/** State of the counter exchange in one process; peers, children and backlog reports are added and removed only here. */
import { asId, getOrMake, type HostId, type Incarnation, type Millis, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FairnessAccount } from '../fairness/fairnessAccount.js'
import type { Tally } from '../fairness/tally.js'
import type { BackloggedEntry, Counters, ExchangeConfig, OwnBacklogEntry, Relation } from './exchangeTypes.js'

/** Time to live of a backlog report in milliseconds. */
export const BACKLOGGED_TTL_MS = 3_000

/** Pseudo-incarnation of the roots of all trees, which exchange counters by origin. */
export const MESH: Incarnation = asId<Incarnation>('mesh')

/** Bounds of the buffer for messages received before the peer of their link has joined. */
const MAX_EARLY_MESSAGES = 8
const MAX_EARLY_LINKS = 64

/** Largest number of routers reported per workspace and service. */
const ROUTERS_PER_ENTRY = 2

/** A process at the other end of a link. */
export interface Peer {
  readonly link: string
  readonly relation: Relation
  readonly incarnation: Incarnation
  readonly services: ReadonlySet<ServiceId> | undefined
  /** Sequence number up to which changes of backlogged workspaces were sent to the peer. */
  lastSentSeq: number
  /** Sequence number up to which changes of all workspaces were sent; 0 until the first complete update. */
  lastFullSeq: number
  lastSentAt: Millis
  lastReceivedAt: Millis | undefined
  /** Smoothed interval between the peer's messages in milliseconds; undefined until two were received. */
  messageInterval: Millis | undefined
}

/** Service of one child that this process has counted as its own. */
export interface ChildTotals {
  /** Last received tally by origin and account. */
  readonly totals: Map<Incarnation, Map<FairnessAccount, Tally>>
  /** Sum counted under the child's current origin, by account. */
  readonly sums: Map<FairnessAccount, { origin: Incarnation, sum: Tally }>
  /** Monotonic time at which the link ended; undefined while linked. */
  disconnectedAt: Millis | undefined
}

interface BacklogReport {
  readonly waiting: number
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly router: HostId
  /** Monotonic time at which the router reported the backlog. */
  readonly at: Millis
}

/** Peers, what was sent to them, and the routers at which workspaces have a backlog. */
export class ExchangeDb {
  readonly #peers = new Map<string, Peer[]>()
  readonly #children = new Map<Incarnation, ChildTotals>()
  readonly #early = new Map<string, Counters[]>()
  readonly #backlogReports = new Map<string, BacklogReport>()
  /** Routers dialled for their backlog, with the time of the last use. */
  readonly extraLinks = new Map<HostId, Millis>()
  /** By service, the process that includes the service given by this one in its own sums, or MESH. */
  readonly countedBy = new Map<ServiceId, Incarnation>()
  /**
   * By service, the origin of the parent's sums of what all other processes have served, or MESH. A different origin means that
   * the sums were restarted.
   */
  readonly receivedSumOrigins = new Map<ServiceId, Incarnation>()
  /** Generation of the sums that this process sends to its children, by service. */
  readonly childSumGenerations = new Map<ServiceId, number>()
  /** Own tally last sent to the process that counts this one. */
  readonly lastSentOwnTallies = new Map<FairnessAccount, Tally>()
  round = 0
  nextRoundAt: Millis = 0

  /** @param config - settings */
  constructor (readonly config: ExchangeConfig) {}

  peers (): Peer[] {
    return [...this.#peers.values()].flat()
  }

  /** @returns the peer entries of a link; more than one when the relation differs by service */
  peersOf (link: string): readonly Peer[] {
    return this.#peers.get(link) ?? []
  }

  addPeer (peer: Peer): void {
    getOrMake(this.#peers, peer.link, () => []).push(peer)
    if (peer.relation === 'child') this.childTotals(peer.incarnation).disconnectedAt = undefined
  }

  dropPeer (link: string, now: Millis): void {
    for (const { relation, incarnation } of this.peersOf(link)) {
      if (relation === 'child') this.childTotals(incarnation).disconnectedAt = now
    }
    this.#peers.delete(link)
    this.#early.delete(link)
  }

  /** @returns whether a parent counts the service given by this process, also while the link to the parent is down */
  isCountedByParent (service: ServiceId): boolean {
    const countingProcess = this.countedBy.get(service)
    if (countingProcess !== undefined) return countingProcess !== MESH
    return this.peers().some(({ relation, services }) => relation === 'parent' && (services === undefined || services.has(service)))
  }

  /** Buffers a message received before its sender has joined. */
  holdEarlyMessage (link: string, counters: Counters): void {
    const held = getOrMake(this.#early, link, () => [])
    if (held.length < MAX_EARLY_MESSAGES) held.push(counters)
    const oldest = this.#early.keys().next().value
    if (this.#early.size > MAX_EARLY_LINKS && oldest !== undefined) this.#early.delete(oldest)
  }

  /** @returns the buffered messages of a link, which are removed from the buffer */
  takeEarlyMessages (link: string): Counters[] {
    const held = this.#early.get(link) ?? []
    this.#early.delete(link)
    return held
  }

  /** Clears the record of the own tallies sent for a service. */
  clearSentOwnTallies (service: ServiceId): void {
    for (const account of [...this.lastSentOwnTallies.keys()]) {
      if (account.service === service) this.lastSentOwnTallies.delete(account)
    }
  }

  /** Starts a new generation of the sums for the children, which receive a complete update next. */
  startChildSumGeneration (service: ServiceId): void {
    this.childSumGenerations.set(service, (this.childSumGenerations.get(service) ?? 0) + 1)
    for (const peer of this.peers()) {
      if (peer.relation === 'child') peer.lastFullSeq = 0
    }
  }

  /** @returns the totals counted for a child, created when missing */
  childTotals (incarnation: Incarnation): ChildTotals {
    return getOrMake(this.#children, incarnation, () => ({ totals: new Map(), sums: new Map(), disconnectedAt: undefined }))
  }

  /** Removes children that disconnected before a point in time. */
  expireChildren (before: Millis): void {
    for (const [incarnation, { disconnectedAt }] of this.#children) {
      if (disconnectedAt !== undefined && disconnectedAt < before) this.#children.delete(incarnation)
    }
  }

  /** Records the backlog of a workspace at a router unless a newer report is known. */
  recordBacklog (entry: BackloggedEntry, now: Millis): void {
    const { service, workspace, router, waiting, age } = entry
    const key = `${service} ${workspace} ${router}`
    const at = now - age
    if ((this.#backlogReports.get(key)?.at ?? Number.NEGATIVE_INFINITY) >= at) return
    this.#backlogReports.delete(key)
    this.#backlogReports.set(key, { service, workspace, router, waiting, at })
  }

  /** Replaces the backlog of this router for a service. */
  setOwnBacklog (service: ServiceId, entries: readonly OwnBacklogEntry[], now: Millis): void {
    for (const [key, report] of this.#backlogReports) {
      if (report.router === this.config.host && report.service === service) this.#backlogReports.delete(key)
    }
    for (const { workspace, waiting } of entries) this.recordBacklog({ service, workspace, router: this.config.host, waiting, age: 0 }, now)
  }

  /** Refreshes the age of this router's own backlog and removes reports past their time to live. */
  refreshBacklog (now: Millis): void {
    for (const [key, report] of this.#backlogReports) {
      if (report.router === this.config.host) this.#backlogReports.set(key, { ...report, at: now })
      else if (now - report.at > BACKLOGGED_TTL_MS) this.#backlogReports.delete(key)
    }
  }

  /** @returns the routers with a backlog, at most the ROUTERS_PER_ENTRY newest per workspace and service */
  backlogged (now: Millis): BackloggedEntry[] {
    const counts = new Map<string, number>()
    const newest = [...this.#backlogReports.values()].sort((a, b) => b.at - a.at)
    return newest.flatMap(({ at, ...report }) => {
      const key = `${report.service} ${report.workspace}`
      const count = counts.get(key) ?? 0
      counts.set(key, count + 1)
      return count < ROUTERS_PER_ENTRY ? [{ ...report, age: now - at }] : []
    })
  }
}
