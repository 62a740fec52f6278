/** Runs requests at the upstream, relays their responses to routers, and reports measurements to the policies. */
import { createLog, type Millis, onEvent, type RequestEvent, type RequestId, type Service, type ServiceKey, serviceKey, type Timer, toError } from '@fuchsiaworks/kernel'
import type { ConfigurationService, FairnessService, FleetLink, LinkHub, ProcessContext } from '@fuchsiaworks/fleet'
import type { AgentSettings, ServiceConfig } from '@fuchsiaworks/settings'
import type { HandoverMessage, HeaderList, Outcome } from '@fuchsiaworks/wire'
import { UpstreamClient } from '@fuchsiaworks/upstreams'
import type { LimitService } from '../limits/limitService.js'
import { probeUpstream } from '../upstream/probe.js'
import { CrashTracker } from './crashTracker.js'
import type { KeyedResponses } from './keyedResponses.js'
import { Run, type RunEvents } from './run.js'
import type { RunTable } from './runTable.js'
import type { Slots } from './slots.js'

/** Milliseconds between two reports of the current cost and token gap of running requests. */
const REPORT_PERIOD_MS = 200

/** HTTP statuses by which an upstream signals overload. */
const OVERLOAD_STATUSES = new Set([429, 503])

/**
 * Options of the connections to the upstream on the same host. A non-idempotent request gets a fresh connection, because a
 * reused one may be closing, and the request could not be repeated.
 */
const CONNECTION_OPTIONS = { connectTimeoutMs: 2_000, keepAliveMs: 3_000, keepAliveMarginMs: 2_000, freshConnectionForNonIdempotent: true } as const

const log = createLog('runs')

/** Starts runs and handles their end. */
export class Runner implements Service {
  readonly #client: UpstreamClient
  readonly #settings: AgentSettings
  readonly #crashes: CrashTracker
  #timer: Timer | undefined

  constructor (
    readonly context: ProcessContext,
    hub: LinkHub,
    readonly configuration: ConfigurationService,
    readonly fairness: FairnessService,
    readonly limits: LimitService,
    readonly slots: Slots,
    readonly runs: RunTable,
    readonly keyedResponses: KeyedResponses,
    settings: AgentSettings
  ) {
    this.#settings = settings
    this.#crashes = new CrashTracker(context.identity.incarnation)
    this.#client = new UpstreamClient(settings.upstreamUrl, CONNECTION_OPTIONS)
    hub.dispatcher.on('request-body', (link, message) => { runs.findForLink(message.request, link)?.addBody(message.data, message.ended) })
    hub.dispatcher.on('credit', (link, message) => {
      if (message.direction === 'response') runs.findForLink(message.request, link)?.addCredit(message.bytes)
    })
    onEvent(hub.closed, log, ({ link }) => { this.#onLinkClosed(link) })
  }

  start (): void {
    this.#timer = this.context.clock.every(REPORT_PERIOD_MS, () => { this.#reportProgress() })
  }

  async close (): Promise<void> {
    this.#timer?.close()
    await this.#client.close()
  }

  /** @returns configuration of the service of a request; undefined when this upstream does not offer the service */
  serviceOf (handover: HandoverMessage): ServiceConfig | undefined {
    const config = this.configuration.current?.config
    const upstream = config?.upstreams[this.#settings.upstream]
    return upstream?.service === handover.service ? config?.services[handover.service] : undefined
  }

  /**
   * Starts a request that holds a slot.
   *
   * @param link - the router
   * @param handover - the request
   * @param service - configuration of the service
   */
  run (link: FleetLink, handover: HandoverMessage, service: ServiceConfig): void {
    const now = this.#now()
    const { request, workspace, estimate } = handover
    const run = new Run(link, handover, service, now)
    this.runs.add(run)
    this.keyedResponses.started(run)
    link.send({ kind: 'accepted', request })
    this.#record('request-started', run)
    this.fairness.decide({ kind: 'work-started', request, service: handover.service, workspace, estimate, now })
    this.limits.decide({ kind: 'started', now, request })
    run.start(this.#client, this.#events)
  }

  readonly #events: RunEvents = {
    head: (run, status, headers) => { this.#onHead(run, status, headers) },
    data: (run, data) => { this.#onData(run, data) },
    ended: (run, trailers) => { this.#onEnded(run, trailers) },
    failed: (run, err, sent) => { this.#onFailed(run, err, sent) }
  }

  #now (): Millis {
    return this.context.clock.now()
  }

  #onHead (run: Run, status: number, headers: HeaderList): void {
    run.status = status
    run.meter.head(headers.find(([name]) => name.toLowerCase() === 'content-type')?.[1] ?? '')
    this.keyedResponses.head(run, status, headers)
    if (!run.abandoned) run.link.send({ kind: 'response-head', request: run.handover.request, status, headers })
  }

  #onData (run: Run, data: Buffer): void {
    const now = this.#now()
    if (run.firstByteAt === undefined) this.#onFirstByte(run, now)
    const tokens = run.meter.data(data, now)
    if (tokens > 0) {
      run.tokens += tokens
      run.lastTokenAt = now
    }
    this.keyedResponses.data(run, data)
    if (run.abandoned) return
    run.consumeCredit(data.length)
    run.link.send({ kind: 'response-body', request: run.handover.request, data })
  }

  #onFirstByte (run: Run, now: Millis): void {
    run.firstByteAt = now
    run.tokensCountedSince = now
    this.#record('request-first-byte', run)
    if (run.meter.firstByteShowsLatency) this.limits.decide({ kind: 'first-byte', now, request: run.handover.request, latency: now - run.startedAt })
  }

  #onEnded (run: Run, trailers: HeaderList): void {
    if (!this.runs.remove(run)) return
    const now = this.#now()
    const { request } = run.handover
    this.#reportTokenGap(run, now)
    const cost = run.meter.finalCost(now)
    this.fairness.decide({ kind: 'work-ended', request, cost, now })
    if (OVERLOAD_STATUSES.has(run.status ?? 0)) this.limits.decide({ kind: 'failed', now, request, reason: 'overloaded' })
    else this.limits.decide({ kind: 'ended', now, request, ok: true, duration: now - run.startedAt })
    this.#record('request-ended', run)
    if (!run.abandoned) run.link.send({ kind: 'response-end', request, trailers, cost })
    this.keyedResponses.ended(run)
    this.slots.release(request, now - run.startedAt)
  }

  #onFailed (run: Run, err: Error, sent: boolean): void {
    const running = this.runs.size
    if (!this.runs.remove(run)) return
    const now = this.#now()
    const { request } = run.handover
    this.fairness.decide({ kind: 'work-ended', request, cost: sent ? run.meter.currentCost(now) : 0, now })
    this.#record('request-ended', run, `failed: ${err.message}`)
    this.#handleFailure(run, err, sent, running).catch(failure => { log.error('could not determine why a request failed at the upstream', { reason: toError(failure).message }) })
  }

  /** Classifies the failure of a run, reports it to the router, and frees the slot. */
  async #handleFailure (run: Run, err: Error, sent: boolean, running: number): Promise<void> {
    const { request } = run.handover
    const timedOut = 'code' in err && err.code === 'UND_ERR_HEADERS_TIMEOUT'
    const upstreamAlive = run.abandoned || timedOut || (sent && await probeUpstream(this.#settings.upstreamUrl))
    const now = this.#now()
    if (run.abandoned) this.limits.decide({ kind: 'ended', now, request, ok: false, duration: now - run.startedAt })
    else this.limits.decide({ kind: 'failed', now, request, reason: failureReasonOf(sent, upstreamAlive, timedOut) })
    const outcome: Outcome = sent ? 'unknown' : 'not-run'
    const crash = sent && !upstreamAlive ? { crash: this.#crashes.record(running, now) } : {}
    if (!run.abandoned) run.link.send({ kind: 'response-failed', request, outcome, reason: err.message, ...crash })
    this.keyedResponses.failed(run, outcome)
    this.slots.release(request)
  }

  /**
   * Cancels a running request, because its caller is gone.
   *
   * @param link - link of the router that handed the request over
   * @param request - the request
   */
  cancel (link: FleetLink, request: RequestId): void {
    const run = this.runs.findForLink(request, link)
    if (run !== undefined) this.#abandon(run, 'the caller went away')
  }

  #onLinkClosed (link: FleetLink): void {
    for (const run of this.runs.runsForLink(link)) this.#abandon(run, 'the router went away')
  }

  /** A non-idempotent request with a key runs on, so that the caller gets its response when it repeats the request. */
  #abandon (run: Run, reason: string): void {
    this.#record('request-abandoned', run, reason)
    if (!run.handover.idempotent && run.handover.key !== undefined) return run.detach()
    run.cancel(new Error(reason))
  }

  #reportProgress (): void {
    const now = this.#now()
    for (const run of this.runs.values()) {
      const { request, estimate } = run.handover
      this.fairness.decide({ kind: 'work-progressed', request, cost: Math.max(estimate, run.meter.currentCost(now)), now })
      this.#reportTokenGap(run, now)
    }
  }

  #reportTokenGap (run: Run, now: Millis): void {
    if (run.tokens < 2) return
    const gap = (run.lastTokenAt - run.tokensCountedSince) / run.tokens
    run.tokensCountedSince = run.lastTokenAt
    run.tokens = 0
    this.limits.decide({ kind: 'token-gap', now, request: run.handover.request, gap })
  }

  #record (kind: RequestEvent['kind'], run: Run, detail?: string): void {
    const { request, workspace, service } = run.handover
    this.context.timeLine.record({ kind, request, workspace, service, upstream: this.#settings.upstream, ...(detail === undefined ? {} : { detail }) })
  }
}

const failureReasonOf = (sent: boolean, upstreamAlive: boolean, timedOut: boolean): 'refused' | 'timeout' | 'crashed' | 'overloaded' => {
  if (!sent) return 'refused'
  if (timedOut) return 'timeout'
  return upstreamAlive ? 'overloaded' : 'crashed'
}

/** Service key of the runner. */
export const runnerKey: ServiceKey<Runner> = serviceKey('runner')
