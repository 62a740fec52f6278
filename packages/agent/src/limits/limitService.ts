/** Adapts the concurrency limit of the upstream beside this agent, and probes the upstream while it is down. */
import { createLog, EventSource, type Millis, onEvent, type Service, type ServiceKey, serviceKey, type Timer } from '@fuchsiaworks/kernel'
import type { ActiveConfig, ConfigurationService, ProcessContext } from '@fuchsiaworks/fleet'
import { type LimitCommand, type LimitDb, limitDefinition, type LimitEvent, type LimitState } from '@fuchsiaworks/policy'
import type { AgentSettings, ServiceConfig } from '@fuchsiaworks/settings'
import { probeUpstream } from '../upstream/probe.js'

/** Milliseconds between two ticks of the policy. */
const TICK_MS = 100

/** Delay before the first probe of an upstream that is down, in milliseconds. */
const PROBE_BASE_DELAY_MS = 200

/** Longest delay between two probes, in milliseconds. */
const PROBE_MAX_DELAY_MS = 5_000

/** Allowed latency of a plain service, as a multiple of its latency under low load. */
const PLAIN_LATENCY_FACTOR = 3

const log = createLog('limit')

/** Concurrency limit and state of the upstream. */
export interface Capacity {
  readonly limit: number
  readonly state: LimitState
  readonly reason: string
}

const limitConfigOf = (service: ServiceConfig): Parameters<typeof limitDefinition.createDb>[0] => ({
  target: service.kind === 'engine'
    ? { kind: 'model', firstToken: service.targets.firstByteMs, tokenGap: service.targets.betweenTokensMs }
    : { kind: 'plain', factor: PLAIN_LATENCY_FACTOR },
  coldConcurrency: service.coldConcurrency,
  hardCap: service.maxConcurrency,
  probeBaseMs: PROBE_BASE_DELAY_MS,
  probeMaxMs: PROBE_MAX_DELAY_MS
})

/** The concurrency limit of one upstream. */
export class LimitService implements Service {
  readonly #changes = new EventSource<Capacity>()
  readonly #settings: AgentSettings
  #db: LimitDb | undefined
  #serviceConfigJson = ''
  #capacity: Capacity = { limit: 0, state: 'cold', reason: 'no configuration' }
  #timer: Timer | undefined
  /** Changes of the capacity. */
  readonly changes = this.#changes.stream

  constructor (readonly context: ProcessContext, configuration: ConfigurationService, settings: AgentSettings) {
    this.#settings = settings
    onEvent(configuration.changes, log, active => { this.#applyConfig(active) })
  }

  get capacity (): Capacity {
    return this.#capacity
  }

  start (): void {
    this.#timer = this.context.clock.every(TICK_MS, () => {
      this.decide({ kind: 'tick', now: this.context.clock.now(), random: this.context.random() })
    })
  }

  close (): void {
    this.#timer?.close()
    this.#changes.close()
  }

  /**
   * Applies an event and publishes the capacity if it changed.
   *
   * @param event - observation of the upstream
   */
  decide (event: LimitEvent): void {
    if (this.#db === undefined) return
    for (const command of limitDefinition.decide(this.#db, event)) this.#execute(command)
    this.#publish(event.now)
  }

  /** Keeps the learned limit unless the configuration of the service of this upstream changed. */
  #applyConfig ({ config }: ActiveConfig): void {
    const upstream = config.upstreams[this.#settings.upstream]
    const service = upstream === undefined ? undefined : config.services[upstream.service]
    const serviceConfigJson = JSON.stringify(service ?? null)
    if (serviceConfigJson === this.#serviceConfigJson) return
    this.#serviceConfigJson = serviceConfigJson
    this.#db = service === undefined ? undefined : limitDefinition.createDb(limitConfigOf(service))
    this.#publish(this.context.clock.now())
  }

  #execute (command: LimitCommand): void {
    switch (command.kind) {
      case 'limit-changed': return
      case 'state-changed':
        log.info('upstream state changed', { state: command.state, reason: command.reason })
        return this.context.timeLine.record({ kind: 'upstream-changed', upstream: this.#settings.upstream, detail: `${command.state}: ${command.reason}` })
      case 'probe': return this.#probe()
    }
  }

  #probe (): void {
    probeUpstream(this.#settings.upstreamUrl).then(ok => {
      this.decide({ kind: 'probe-ended', now: this.context.clock.now(), ok })
    }, () => {})
  }

  #publish (now: Millis): void {
    const db = this.#db
    const { limit, state } = this.#capacity
    const next: Capacity = db === undefined
      ? { limit: 0, state: 'down', reason: 'the configuration does not list this upstream' }
      : { limit: Math.floor(db.effectiveLimit(now)), state: db.state, reason: db.reason }
    this.#capacity = next
    if (next.limit === limit && next.state === state) return
    this.context.timeLine.record({ kind: 'limit-changed', upstream: this.#settings.upstream, detail: `${next.limit} (${next.reason})` })
    this.context.metrics.gauge('limit', next.limit)
    this.#changes.emit(next)
  }
}

/** Service key of the limit service. */
export const limitKey: ServiceKey<LimitService> = serviceKey('limit')
