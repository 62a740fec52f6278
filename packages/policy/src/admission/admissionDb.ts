/** State of a router's queues by service and workspace; queues change only through the methods here. */
import { getOrMake, type Millis, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import { Lane } from './lane.js'
import type { AdmissionConfig, WaitingRequest } from './admissionTypes.js'

/** Queued requests of one workspace for one service: a lane for those that any upstream may run, and one per home upstream. */
export class WorkspaceQueue {
  readonly #lanes = new Map<UpstreamId | undefined, Lane>()

  constructor (readonly service: ServiceId, readonly workspace: WorkspaceId) {}

  get size (): number {
    let size = 0
    for (const lane of this.#lanes.values()) size += lane.size
    return size
  }

  lanes (): Iterable<Lane> {
    return this.#lanes.values()
  }

  /** @returns the lane of requests with this home upstream, or of those without one */
  lane (home: UpstreamId | undefined): Lane {
    return getOrMake(this.#lanes, home, () => new Lane())
  }

  /** @returns the lanes whose requests the upstream may run */
  lanesFor (upstream: UpstreamId): Lane[] {
    return [this.#lanes.get(undefined), this.#lanes.get(upstream)].filter(lane => lane !== undefined)
  }

  /** @returns the oldest request that the upstream may run */
  oldestFor (upstream: UpstreamId): WaitingRequest | undefined {
    return oldestOf(this.lanesFor(upstream).map(lane => lane.oldestFor(upstream)))
  }
}

/** @returns the request that arrived first */
export const oldestOf = (heads: Iterable<WaitingRequest | undefined>): WaitingRequest | undefined => {
  let oldest: WaitingRequest | undefined
  for (const head of heads) {
    if (head !== undefined && (oldest === undefined || head.order < oldest.order)) oldest = head
  }
  return oldest
}

/** The queues of one router. */
export class AdmissionDb {
  readonly #queues = new Map<ServiceId, Map<WorkspaceId, WorkspaceQueue>>()
  readonly #waiting = new Map<RequestId, WaitingRequest>()
  #nextOrder = 1
  weights: ReadonlyMap<WorkspaceId, number> = new Map()
  zonesOut: ReadonlySet<ZoneId> = new Set()

  /** @param config - settings */
  constructor (readonly config: AdmissionConfig) {}

  /** @returns a new sequence number that orders requests by arrival */
  nextArrivalOrder (): number {
    return this.#nextOrder++
  }

  queue (service: ServiceId, workspace: WorkspaceId): WorkspaceQueue {
    const byWorkspace = getOrMake(this.#queues, service, () => new Map<WorkspaceId, WorkspaceQueue>())
    return getOrMake(byWorkspace, workspace, () => new WorkspaceQueue(service, workspace))
  }

  queuesOf (service: ServiceId): Iterable<WorkspaceQueue> {
    return this.#queues.get(service)?.values() ?? []
  }

  services (): Iterable<ServiceId> {
    return this.#queues.keys()
  }

  /** Number of queued requests. */
  get size (): number {
    return this.#waiting.size
  }

  /** @returns the number of requests queued for a service */
  queuedCount (service: ServiceId): number {
    let findRequest = 0
    for (const queue of this.queuesOf(service)) findRequest += queue.size
    return findRequest
  }

  /** @returns services that have queued requests */
  servicesWithBacklog (): ServiceId[] {
    return [...this.#queues].filter(([, queues]) => [...queues.values()].some(queue => queue.size > 0)).map(([service]) => service)
  }

  /** @returns the request, or undefined when it is not queued */
  waiting (request: RequestId): WaitingRequest | undefined {
    return this.#waiting.get(request)
  }

  add (waiting: WaitingRequest, now: Millis): void {
    this.laneOf(waiting).insert(waiting, now)
    this.#waiting.set(waiting.request, waiting)
  }

  remove (waiting: WaitingRequest, now: Millis): void {
    this.laneOf(waiting).remove(waiting.request, now)
    this.#waiting.delete(waiting.request)
  }

  laneOf ({ service, workspace, home }: WaitingRequest): Lane {
    return this.queue(service, workspace).lane(home)
  }
}
