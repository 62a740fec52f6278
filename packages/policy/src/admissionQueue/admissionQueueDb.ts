/** Requests that wait at one gateway, by service, priority and workspace, with the rates at which they arrive and start. */
import { getOrMake, type Millis, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { PeerId } from '../placement/placementTypes.js'
import type { AdmissionQueueConfig, AdmissionRequest, QueueEntry } from './admissionQueueTypes.js'
import { ArrivalRate } from './arrivalRate.js'
import { LATE_SHARE, QueueLane } from './queueLane.js'
import { StartCredit } from './startCredit.js'
import { StartRate } from './startRate.js'

/** Time of arrivals that counts like waiting work: gateways divide capacity mainly by demand, as one that got little has refused more and has less waiting. */
const DEMAND_MS: Millis = 1000

/** Turns that late requests can save up. */
const MAX_LATE_CREDIT = 3

/** A lane with its workspace. */
export interface WorkspaceLane<T> {
  readonly workspace: WorkspaceId
  readonly lane: QueueLane<T>
  readonly arrivals: ArrivalRate
  readonly starts: ArrivalRate
}

/** State of one service. */
export class ServiceQueue<T> {
  readonly lanes = new Map<string, WorkspaceLane<T>>()
  readonly startRate = new StartRate()
  readonly arrivals = new ArrivalRate()
  readonly credit = new StartCredit()
  #lateCredit = 1
  size = 0
  units = 0

  /** Whether a late request may start while others can still meet their target. */
  get mayStartLate (): boolean {
    return this.#lateCredit >= 1
  }

  /** Counts a start, by which late requests and others take turns. */
  recordTurn (wasLate: boolean): void {
    this.#lateCredit = Math.max(0, Math.min(MAX_LATE_CREDIT, this.#lateCredit + LATE_SHARE) - (wasLate ? 1 : 0))
  }

  lane ({ workspace, priority }: AdmissionRequest): WorkspaceLane<T> {
    return getOrMake(this.lanes, `${priority} ${workspace}`, () => ({ workspace, lane: new QueueLane<T>(priority), arrivals: new ArrivalRate(), starts: new ArrivalRate() }))
  }
}

/** State of the queue of one gateway. */
export class AdmissionQueueDb<T> {
  readonly #services = new Map<ServiceId, ServiceQueue<T>>()
  readonly #peerDemand = new Map<PeerId, ReadonlyMap<ServiceId, number>>()
  #nextOrder = 1
  #size = 0
  #bytes = 0
  /** Factor on the capacity that this gateway takes; below 1 while it does not know what its peers have sent. */
  capacityShare = 1

  /** @param config - limits */
  constructor (readonly config: AdmissionQueueConfig) {}

  get size (): number {
    return this.#size
  }

  get bytes (): number {
    return this.#bytes
  }

  service (id: ServiceId): ServiceQueue<T> {
    return getOrMake(this.#services, id, () => new ServiceQueue<T>())
  }

  services (): Iterable<[ServiceId, ServiceQueue<T>]> {
    return this.#services
  }

  /** Records the arrival of a request, whether it has to wait or not. */
  recordArrival (request: AdmissionRequest, now: Millis): void {
    const queue = this.service(request.service)
    queue.arrivals.record(request.units, now)
    queue.lane(request).arrivals.record(request.units, now)
  }

  /** Records that a request has started at an upstream, whether it has waited or not. */
  recordStart (request: AdmissionRequest, now: Millis): void {
    const queue = this.service(request.service)
    queue.startRate.recordStart(request.units, now)
    queue.lane(request).starts.record(request.units, now)
  }

  /** Requests that wait, by priority and workspace. */
  waiting (): Array<{ readonly priority: number, readonly workspace: WorkspaceId, readonly size: number }> {
    return [...this.#services.values()].flatMap(({ lanes }) => [...lanes.values()].map(({ workspace, lane: { priority, size } }) => ({ priority, workspace, size })))
  }

  /** Any request that waits for a service, which stands for the others where an estimate will do. */
  sample (service: ServiceId): QueueEntry<T> | undefined {
    return [...this.service(service).lanes.values()].find(({ lane }) => lane.size > 0)?.lane.any
  }

  nextOrder (): number {
    return this.#nextOrder++
  }

  add (entry: QueueEntry<T>, now: Millis): void {
    const { request } = entry
    const queue = this.service(request.service)
    queue.lane(request).lane.add(entry)
    if (queue.size === 0) queue.startRate.setBacklog(true, now)
    queue.size += 1
    queue.units += request.units
    this.#size += 1
    this.#bytes += request.bytes
  }

  /** Removes an entry that starts, expires or whose caller has left. @returns false when it is not in the queue */
  remove (entry: QueueEntry<T>, now: Millis): boolean {
    if (!this.service(entry.request.service).lane(entry.request).lane.remove(entry)) return false
    this.#recordRemoval(entry, now)
    return true
  }

  /** Removes and returns the requests of a service that can no longer meet their deadline. */
  takeExpired (service: ServiceId, now: Millis): Array<QueueEntry<T>> {
    const expired = [...this.service(service).lanes.values()].flatMap(({ lane }) => lane.takeExpired(now))
    for (const entry of expired) this.#recordRemoval(entry, now)
    return expired
  }

  /** @returns demand of this gateway by service, in units, without services where nothing waits */
  ownDemand (now: Millis): Map<ServiceId, number> {
    return new Map([...this.#services].filter(([, { size }]) => size > 0).map(([id, queue]) => [id, Math.max(1, Math.round(this.#demandOf(queue, now)))]))
  }

  /** Sets the demand of a peer gateway for the services for which requests wait there. */
  setPeerDemand (peer: PeerId, demand: ReadonlyMap<ServiceId, number>): void {
    if (demand.size === 0) this.#peerDemand.delete(peer)
    else this.#peerDemand.set(peer, demand)
  }

  removePeer (peer: PeerId): void {
    this.#peerDemand.delete(peer)
  }

  /** @returns this gateway's part of the demand for a service of all gateways where requests wait for it; 1 when none wait elsewhere */
  ownPart (service: ServiceId, now: Millis): number {
    const peers = this.#peersDemand(service)
    return peers === 0 ? 1 : this.#demandOf(this.service(service), now) / (this.#demandOf(this.service(service), now) + peers)
  }

  /** @returns whether a request may start without passing the queue: nothing waits here or at peers */
  isIdle (service: ServiceId): boolean {
    return this.service(service).size === 0 && this.#peersDemand(service) === 0
  }

  #peersDemand (service: ServiceId): number {
    let peers = 0
    for (const demand of this.#peerDemand.values()) peers += demand.get(service) ?? 0
    return peers
  }

  #demandOf ({ arrivals, units }: ServiceQueue<T>, now: Millis): number {
    return arrivals.rate(now) * DEMAND_MS + units
  }

  #recordRemoval ({ request }: QueueEntry<T>, now: Millis): void {
    const queue = this.service(request.service)
    queue.size -= 1
    queue.units -= request.units
    if (queue.size === 0) queue.startRate.setBacklog(false, now)
    this.#size -= 1
    this.#bytes -= request.bytes
  }
}
