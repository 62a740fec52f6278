/** State of the exchange of counters in one process, and the only functions that change it. */
import { asId, getOrMake, type HostId, type Incarnation, type Millis, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FairnessAccount } from '../fairness/fairnessAccount.js'
import type { Tally } from '../fairness/tally.js'
import type { BackloggedEntry, Counters, ExchangeConfig, OwnBacklogEntry, Relation } from './exchangeTypes.js'

/** Milliseconds after which backlog that nobody repeated is forgotten. */
export const BACKLOGGED_TTL_MS = 3_000

/** Stands for the roots of all trees, which count each other by origin. */
export const MESH: Incarnation = asId<Incarnation>('mesh')

/** Bounds of what is kept for links whose sender has not joined yet. */
const MAX_EARLY_MESSAGES = 8
const MAX_EARLY_LINKS = 64

/** Routers that are told for one workspace and service. */
const ROUTERS_PER_ENTRY = 2

/** One linked process. */
export interface Peer {
  readonly link: string
  readonly relation: Relation
  readonly incarnation: Incarnation
  readonly services: ReadonlySet<ServiceId> | undefined
  /** Change up to which it was told of backlogged workspaces. */
  lastSentSeq: number
  /** Change up to which it was told of all workspaces. */
  lastFullSeq: number
  lastSentAt: Millis
  lastReceivedAt: Millis | undefined
  /** Smoothed milliseconds between its messages; undefined until two came. */
  messageInterval: Millis | undefined
}

/** What one child has had counted. */
export interface ChildTotals {
  /** Last tally by origin and account. */
  readonly totals: Map<Incarnation, Map<FairnessAccount, Tally>>
  /** Sum of what was counted under its present origin, by account. */
  readonly sums: Map<FairnessAccount, { origin: Incarnation, sum: Tally }>
  /** Reading at which its link ended; undefined while linked. */
  disconnectedAt: Millis | undefined
}

interface BacklogReport {
  readonly waiting: number
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly router: HostId
  /** Reading at which the router said so. */
  readonly at: Millis
}

/** Peers, what they were told, and where workspaces wait. */
export class ExchangeDb {
  readonly #peers = new Map<string, Peer[]>()
  readonly #children = new Map<Incarnation, ChildTotals>()
  readonly #early = new Map<string, Counters[]>()
  readonly #backlogReports = new Map<string, BacklogReport>()
  /** Routers dialled for their backlog, with the reading of the last use. */
  readonly extraLinks = new Map<HostId, Millis>()
  /** Process that counts this one's service, or MESH, by service. */
  readonly countedBy = new Map<ServiceId, Incarnation>()
  /** Name of the sums that hold the service given elsewhere, or MESH; another name means other sums. */
  readonly restOrigins = new Map<ServiceId, Incarnation>()
  /** Number of the sums that this process tells its children, by service. */
  readonly sumGenerations = new Map<ServiceId, number>()
  /** Own tally that a process which counts it was told last. */
  readonly lastSentUp = new Map<FairnessAccount, Tally>()
  round = 0
  nextRoundAt: Millis = 0

  /** @param config - settings */
  constructor (readonly config: ExchangeConfig) {}

  peers (): Peer[] {
    return [...this.#peers.values()].flat()
  }

  /** @returns what the process at the other end of a link is; more than one when it differs by service */
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

  /** @returns whether a parent counts this process's service, also while its link is down */
  isCountedByParent (service: ServiceId): boolean {
    const counter = this.countedBy.get(service)
    if (counter !== undefined) return counter !== MESH
    return this.peers().some(({ relation, services }) => relation === 'parent' && (services === undefined || services.has(service)))
  }

  /** Keeps a message that came before its sender joined. */
  holdEarlyMessage (link: string, counters: Counters): void {
    const held = getOrMake(this.#early, link, () => [])
    if (held.length < MAX_EARLY_MESSAGES) held.push(counters)
    const oldest = this.#early.keys().next().value
    if (this.#early.size > MAX_EARLY_LINKS && oldest !== undefined) this.#early.delete(oldest)
  }

  /** @returns the messages that came early, which are then forgotten */
  takeEarlyMessages (link: string): Counters[] {
    const held = this.#early.get(link) ?? []
    this.#early.delete(link)
    return held
  }

  /** Forgets what was told of the own totals of a service. */
  forgetSentUp (service: ServiceId): void {
    for (const account of [...this.lastSentUp.keys()]) {
      if (account.service === service) this.lastSentUp.delete(account)
    }
  }

  /** Begins new sums of a service for the children, which are then told all of them. */
  startNewSums (service: ServiceId): void {
    this.sumGenerations.set(service, (this.sumGenerations.get(service) ?? 0) + 1)
    for (const peer of this.peers()) {
      if (peer.relation === 'child') peer.lastFullSeq = 0
    }
  }

  /** @returns what a child has had counted */
  childTotals (incarnation: Incarnation): ChildTotals {
    return getOrMake(this.#children, incarnation, () => ({ totals: new Map(), sums: new Map(), disconnectedAt: undefined }))
  }

  /** Forgets children that have been away for long. */
  expireChildren (before: Millis): void {
    for (const [incarnation, { disconnectedAt }] of this.#children) {
      if (disconnectedAt !== undefined && disconnectedAt < before) this.#children.delete(incarnation)
    }
  }

  /** Notes that a workspace waits at a router. */
  recordBacklog (entry: BackloggedEntry, now: Millis): void {
    const { service, workspace, router, waiting, age } = entry
    const key = `${service} ${workspace} ${router}`
    const at = now - age
    if ((this.#backlogReports.get(key)?.at ?? Number.NEGATIVE_INFINITY) >= at) return
    this.#backlogReports.delete(key)
    this.#backlogReports.set(key, { service, workspace, router, waiting, at })
  }

  /** Replaces what waits at this router for a service. */
  setOwnBacklog (service: ServiceId, entries: readonly OwnBacklogEntry[], now: Millis): void {
    for (const [key, sighting] of this.#backlogReports) {
      if (sighting.router === this.config.host && sighting.service === service) this.#backlogReports.delete(key)
    }
    for (const { workspace, waiting } of entries) this.recordBacklog({ service, workspace, router: this.config.host, waiting, age: 0 }, now)
  }

  /** Keeps this router's own backlog from growing old between changes, and forgets what nobody repeated. */
  refreshBacklog (now: Millis): void {
    for (const [key, sighting] of this.#backlogReports) {
      if (sighting.router === this.config.host) this.#backlogReports.set(key, { ...sighting, at: now })
      else if (now - sighting.at > BACKLOGGED_TTL_MS) this.#backlogReports.delete(key)
    }
  }

  /** @returns where workspaces wait, the newest few routers for each */
  backlogged (now: Millis): BackloggedEntry[] {
    const counts = new Map<string, number>()
    const newest = [...this.#backlogReports.values()].sort((a, b) => b.at - a.at)
    return newest.flatMap(({ at, ...sighting }) => {
      const key = `${sighting.service} ${sighting.workspace}`
      const count = counts.get(key) ?? 0
      counts.set(key, count + 1)
      return count < ROUTERS_PER_ENTRY ? [{ ...sighting, age: now - at }] : []
    })
  }
}
