/** Fills the slots of the upstream by pulling requests from routers, for the least served workspace first. */
import {
  createLog, type Metrics, type Millis, onEvent, type RequestId, type Service, type ServiceId, type ServiceKey, serviceKey,
  type Timer, type UpstreamId, type WorkspaceId
} from '@fuchsiaworks/kernel'
import {
  type ConfigurationService, type FairnessService, type FleetLink, type LinkHub, listedUpstreams, type MembershipService, type ProcessContext
} from '@fuchsiaworks/fleet'
import { type DispatchDb, dispatchDefinition, type DispatchEvent, SLOW_ROUTER_AFTER_MS } from '@fuchsiaworks/policy'
import type { AgentSettings, FleetConfig } from '@fuchsiaworks/settings'
import type { BacklogMessage } from '@fuchsiaworks/wire'
import type { LimitService } from '../limits/limitService.js'
import { IdleMeter } from './idleMeter.js'
import { PrefetchEstimator } from './prefetchEstimator.js'
import type { RunTable } from './runTable.js'

/** Milliseconds between two ticks of the policy. */
const TICK_MS = 100

/** Number of values of an unsigned 32-bit integer. */
const UINT32_RANGE = 2 ** 32

const log = createLog('slots')

/** Concurrency slots of one upstream. */
export class Slots implements Service {
  readonly #db: DispatchDb
  readonly #upstream: UpstreamId
  #assignment: { readonly service: ServiceId | undefined, readonly upstreams: number } = { service: undefined, upstreams: 0 }
  #timer: Timer | undefined
  readonly #prefetch = new PrefetchEstimator()
  readonly #idleMeter = new IdleMeter()
  #pullsSent = 0
  #pullingPaused = false

  constructor (
    readonly context: ProcessContext,
    readonly hub: LinkHub,
    readonly fairness: FairnessService,
    readonly limits: LimitService,
    readonly membership: MembershipService,
    readonly runs: RunTable,
    configuration: ConfigurationService
  ) {
    this.#upstream = (context.settings as AgentSettings).upstream
    onEvent(configuration.changes, log, ({ config }) => { this.#applyConfig(config) })
    this.#db = dispatchDefinition.createDb({
      get pullTtl () { return configuration.effective.links.pullTtlMs },
      slowRouterAfter: SLOW_ROUTER_AFTER_MS,
      seed: Math.floor(context.random() * UINT32_RANGE)
    })
    hub.dispatcher.on('backlog', (link, message) => { this.#onBacklog(link, message) })
    hub.dispatcher.on('pull-empty', (_link, { pull }) => { this.#onPullEmpty(pull) })
    onEvent(hub.closed, log, ({ link }) => { this.#decide({ kind: 'router-gone', router: link.id, now: this.#now() }) })
    onEvent(membership.coldStarts, log, () => { limits.decide({ kind: 'restarted', now: this.#now() }) })
    onEvent(limits.changes, log, () => { this.#updateLimit() })
    onEvent(membership.workStateChanges, log, () => { this.#updateLimit() })
  }

  /** Slots in use, including those of handed-over requests that have not started. */
  get inUse (): number {
    return this.#db.running
  }

  /** Slots reserved for pulls without a reply. */
  get reserved (): number {
    return this.#db.reserved
  }

  /** Writes the pulls and the idle share since the last call to the metrics. */
  writeMetrics (metrics: Metrics): void {
    const { service } = this.#assignment
    if (service === undefined) return
    metrics.count('pulls', this.#pullsSent, { service })
    this.#pullsSent = 0
    const idle = this.#idleMeter.takeIdleShare()
    if (idle !== undefined) metrics.gauge('utilisation.idle_waiting', idle, { service })
  }

  start (): void {
    this.#timer = this.context.clock.every(TICK_MS, () => { this.#tick() })
  }

  close (): void {
    this.#timer?.close()
  }

  /**
   * Assigns the slot that a pull reserved to the request that a router handed over for it.
   *
   * @param pull - number of the pull
   * @param request - the request
   * @returns the time, in monotonic milliseconds, until which the request may start; undefined when the pull has expired, so that
   * the router may have withdrawn the request
   */
  claim (pull: number, request: RequestId): Millis | undefined {
    const now = this.#now()
    const startDeadline = this.#recordPullReply(pull, now)
    if (startDeadline === undefined || now >= startDeadline) {
      this.#decide({ kind: 'tick', now })
      return undefined
    }
    this.#decide({ kind: 'pull-answered', pull, request, now })
    return startDeadline
  }

  /**
   * Pauses or resumes pulling, independent of the limit.
   *
   * @param paused - true to pull no further requests
   */
  setPullingPaused (paused: boolean): void {
    if (paused === this.#pullingPaused) return
    this.#pullingPaused = paused
    this.#updateLimit()
  }

  /**
   * Frees the slot of a request.
   *
   * @param request - the request
   * @param runDuration - milliseconds that it ran; omitted when it did not run to its end
   */
  release (request: RequestId, runDuration?: Millis): void {
    if (runDuration !== undefined) this.#prefetch.recordRunDuration(runDuration)
    this.#decide({ kind: 'request-ended', request, now: this.#now() })
  }

  #tick (): void {
    const now = this.#now()
    this.#updateLimit()
    this.#decide({ kind: 'tick', now })
    const { service, upstreams } = this.#assignment
    if (service === undefined) return
    this.#idleMeter.addSample({ limit: this.limits.capacity.limit, running: this.runs.size, hasDemand: this.#db.offersOf(service).length > 0 || this.#db.reserved > 0 })
    const linked = new Set(this.hub.withRole('router').map(link => link.peer.host))
    this.fairness.decideExchange({ kind: 'slots', service, free: this.#db.free, upstreams, linked, now })
  }

  #applyConfig (config: FleetConfig): void {
    const service = config.upstreams[this.#upstream]?.service
    this.#assignment = { service, upstreams: service === undefined ? 0 : listedUpstreams(config, service).length }
  }

  #now (): Millis {
    return this.context.clock.now()
  }

  #updateLimit (): void {
    const open = this.membership.workState === 'open' && !this.#pullingPaused
    const slots = open ? this.limits.capacity.limit : 0
    this.#decide({ kind: 'slots-changed', limit: slots + this.#prefetch.prefetchCount(slots), now: this.#now() })
  }

  /** @returns the time until which the request of a pull may start; undefined for an unknown pull */
  #recordPullReply (pull: number, now: Millis): Millis | undefined {
    const pending = this.#db.pendingPull(pull)
    if (pending === undefined) return undefined
    this.#prefetch.recordRoundTrip(now - pending.sentAt)
    return pending.sentAt + this.#db.config.pullTtl
  }

  #onPullEmpty (pull: number): void {
    const now = this.#now()
    this.#recordPullReply(pull, now)
    this.#decide({ kind: 'pull-empty', pull, now })
  }

  #onBacklog (link: FleetLink, { service, entries }: BacklogMessage): void {
    const now = this.#now()
    const workspaces: WorkspaceId[] = entries.map(entry => entry.workspace)
    if (workspaces.length > 0) this.fairness.decide({ kind: 'backlog-seen', service, workspaces, now })
    this.#decide({ kind: 'router-backlog', router: link.id, service, entries, now })
  }

  #decide (event: DispatchEvent): void {
    for (const { router, service, workspace, pull } of dispatchDefinition.decide(this.#db, this.fairness.db, event)) {
      this.#pullsSent += 1
      this.hub.find(router)?.send({ kind: 'pull', pull, service, workspace })
    }
  }
}

/** Service key of the slots. */
export const slotsKey: ServiceKey<Slots> = serviceKey('slots')
