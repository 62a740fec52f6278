/** Holds the requests that wait for capacity, and starts them when capacity comes free; used with the setting `queue`. */
import { type Clock, getOrMake, type Millis, type ServiceId, type Timer, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import {
  type AdmissionQueueDb, type AdmissionRequest, decideQueueing, type PlacementDb, type PlacementRequest, type QueueEntry, type QueueRefusalReason, releasePlace,
  type RetryTimeDb, ServiceTime, startWaiting, tellRetryTime, visibleCapacity
} from '@fuchsiaworks/policy'
import type { GatewayMetrics } from '../log/gatewayMetrics.js'
import type { RequestLog } from '../log/requestLog.js'
import type { RouteId } from '../routing/routingTypes.js'
import type { Refusal } from './refusals.js'

/** Shortest time between two looks at the queue; capacity that comes free meanwhile is handed out together. */
const MIN_INTERVAL_MS: Millis = 10

/** Longest time between two looks at the queue, for deadlines and capacity that comes free without an event. */
const MAX_INTERVAL_MS: Millis = 50

/** Time after the start within which a gateway has heard of the loads of its peers. */
const UNINFORMED_MS: Millis = 2000

/** Part of the capacity and of the limits that a gateway takes before. */
const UNINFORMED_SHARE = 0.5

/** A request as the queue sees it. */
export interface QueueOwner {
  /** Name of the request in the log. */
  readonly attempt: string
  readonly placementRequest: PlacementRequest
  readonly isEngine: boolean
  /** Whether the request continues a stream; it starts before those that wait, as a refusal would lose what has been generated. */
  readonly isTakenUp: boolean
  /** Largest pressure at which an upstream takes requests of the service. */
  readonly maxPressure: number
  /** Starts the request if an upstream has capacity for it, or ends it; returns false when it goes on waiting. */
  readonly tryStart: () => boolean
  readonly refuse: (refusal: Refusal) => void
}

/** Services that the queue uses. */
export interface RequestQueueContext {
  readonly clock: Clock
  readonly placement: PlacementDb
  readonly metrics: GatewayMetrics
  readonly requestLog: RequestLog
  /** Returns whether requests may be sent to an upstream at all. */
  readonly isListed: (upstream: UpstreamId) => boolean
  /** Returns the tokens served to a workspace as a multiple of its share. */
  readonly shareUse: (workspace: WorkspaceId) => number
  /** Sends the state to peers. */
  readonly scheduleUpdate: () => void
}

/** The queue of one gateway. */
export class RequestQueue {
  readonly #startedAt: Millis
  readonly #serviceTimes = new Map<RouteId, ServiceTime>()
  #timer: Timer | undefined
  #dueAt: Millis = Infinity
  #lastRunAt: Millis = -Infinity

  /**
   * @param ctx - services of the process
   * @param db - waiting requests
   * @param places - places of callers that were told to come back
   */
  constructor (readonly ctx: RequestQueueContext, readonly db: AdmissionQueueDb<QueueOwner>, readonly places: RetryTimeDb) {
    this.#startedAt = ctx.clock.now()
  }

  /** Factor on the capacity that this gateway takes: less until it has heard from its peers. */
  get capacityShare (): number {
    return this.ctx.clock.now() - this.#startedAt < UNINFORMED_MS ? UNINFORMED_SHARE : 1
  }

  /** Handles a new request: it starts if there is capacity and nothing waits before it, waits, or is refused. */
  open (request: AdmissionRequest, owner: QueueOwner): QueueEntry<QueueOwner> | undefined {
    const now = this.ctx.clock.now()
    // A caller that comes back is demand that has been counted.
    if (this.places.findOwn(request) === undefined) this.db.recordArrival(request, now)
    if ((owner.isTakenUp || this.db.isIdle(request.service)) && owner.tryStart()) {
      releasePlace(this.places, request)
      return undefined
    }
    this.db.capacityShare = this.capacityShare
    const decision = decideQueueing(this.db, this.places, request, owner, now)
    if (decision.hasPlace) this.ctx.metrics.retryPlaces.inc({ event: 'used' })
    if (decision.kind === 'refuse') {
      this.#refuse(request, owner, decision.reason, decision.predictedMs)
      return undefined
    }
    const { entry } = decision
    this.ctx.metrics.queuePredictedWait.observe({ service: request.service }, entry.predictedMs / 1000)
    this.#log('request waits for capacity', request, owner, { predictedMs: Math.round(entry.predictedMs), startInMs: Math.round(entry.startBy - now), hasPlace: decision.hasPlace })
    this.ctx.scheduleUpdate()
    this.wake()
    return entry
  }

  /** Times that requests of a route take. */
  serviceTime (route: RouteId): ServiceTime {
    return getOrMake(this.#serviceTimes, route, () => new ServiceTime())
  }

  /** Records that a request has been sent to an upstream. */
  recordStart (request: AdmissionRequest): void {
    this.db.recordStart(request, this.ctx.clock.now())
  }

  /** Removes a request that has ended while it waited. */
  remove (entry: QueueEntry<QueueOwner>): void {
    if (this.db.remove(entry, this.ctx.clock.now())) this.ctx.scheduleUpdate()
  }

  /** Looks at the queue soon, because capacity may have come free. */
  wake (): void {
    if (this.db.size > 0) this.#schedule(this.#lastRunAt + MIN_INTERVAL_MS)
  }

  /** Updates the metrics that are read from the state. */
  updateMetrics (): void {
    const { queueWaiting, queueBytes, retryPlacesHeld } = this.ctx.metrics
    queueWaiting.reset()
    for (const { priority, workspace, size } of this.db.waiting()) if (size > 0) queueWaiting.inc({ priority: String(priority), workspace }, size)
    queueBytes.set(this.db.bytes)
    retryPlacesHeld.set(this.places.size)
  }

  /** Releases the places whose callers have not come back. */
  expire (): void {
    const expired = this.places.expire(this.ctx.clock.now())
    if (expired > 0) this.ctx.metrics.retryPlaces.inc({ event: 'expired' }, expired)
  }

  close (): void {
    this.#timer?.close()
  }

  #schedule (at: Millis): void {
    if (at >= this.#dueAt) return
    this.#timer?.close()
    this.#dueAt = at
    this.#timer = this.ctx.clock.after(Math.max(0, at - this.ctx.clock.now()), () => { this.#run() })
  }

  #run (): void {
    this.#dueAt = Infinity
    this.#lastRunAt = this.ctx.clock.now()
    this.db.capacityShare = this.capacityShare
    for (const [service, queue] of this.db.services()) {
      if (queue.size > 0) this.#runService(service)
    }
    if (this.db.size > 0) this.#schedule(this.#lastRunAt + MAX_INTERVAL_MS)
  }

  #runService (service: ServiceId): void {
    const now = this.ctx.clock.now()
    for (const { request, owner } of this.db.takeExpired(service, now)) this.#refuse(request, owner, 'too-late', 0)
    const sample = this.db.sample(service)?.owner
    if (sample === undefined) return
    const capacity = visibleCapacity(this.ctx.placement, sample.placementRequest, this.ctx.isListed, sample.maxPressure * this.capacityShare, now)
    const started = startWaiting(this.db, service, {
      shareUse: workspace => sample.isEngine ? this.ctx.shareUse(workspace) : undefined,
      tryStart: entry => this.#tryStart(entry),
      visibleCapacity: capacity
    }, now)
    if (started > 0) this.ctx.scheduleUpdate()
  }

  #tryStart ({ request, owner, enqueuedAt }: QueueEntry<QueueOwner>): boolean {
    if (!owner.tryStart()) return false
    this.ctx.metrics.queueWait.observe({ service: request.service }, (this.ctx.clock.now() - enqueuedAt) / 1000)
    return true
  }

  #refuse (request: AdmissionRequest, owner: QueueOwner, reason: QueueRefusalReason, predictedMs: Millis): void {
    const { retryAfterMs, isReserved } = tellRetryTime(this.places, { request, predictedMs }, this.ctx.clock.now())
    this.ctx.metrics.queueRefusals.inc({ service: request.service, reason })
    if (isReserved) this.ctx.metrics.retryPlaces.inc({ event: 'reserved' })
    this.#log('request refused by the queue', request, owner, { reason, predictedMs: Math.round(predictedMs), retryAfterMs: Math.round(retryAfterMs), isReserved })
    owner.refuse({ status: 503, reason, retryAfterMs })
  }

  #log (sentence: string, request: AdmissionRequest, owner: QueueOwner, decision: Record<string, string | number | boolean>): void {
    const { service, workspace, priority, units, deadlineAt } = request
    const now = this.ctx.clock.now()
    const queue = this.db.service(service)
    this.ctx.requestLog.write(sentence, {
      request: owner.attempt,
      service,
      workspace,
      priority,
      ...decision,
      units: Math.round(units),
      leftMs: Math.round(deadlineAt - now),
      waiting: queue.size,
      waitingUnits: Math.round(queue.units),
      unitsPerSecond: Math.round((queue.startRate.rate(now) ?? -0.001) * 1000),
      ownPart: Number(this.db.ownPart(service, now).toFixed(2)),
      places: this.places.size
    }, 'refusal')
  }
}
