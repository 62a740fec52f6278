/** The upstreams of a soak: starts and registers them, and replaces each that ends by one with a new id. */
import { asId, type Clock, type Millis } from '@fuchsiaworks/kernel'
import { putUpstream, removeUpstream, type StoreStandin } from '@fuchsiaworks/platform-adapter/standins'
import type { NamedSpan, Observations } from '../invariants/observationTypes.js'
import { ZONES } from './fleet.js'
import { Relay } from './relay.js'
import { SERVICES } from './routes.js'
import { UpstreamStandin } from './upstreamStandin.js'

const UPSTREAMS_PER_SERVICE = 4

/** Software versions that serve side by side in each zone. */
const VERSIONS = ['v1', 'v2'] as const

const SLOTS_PER_UPSTREAM = 8

/** Length of the cold start of a new upstream. */
const COLD_START_MS: Millis = 3000

/** Time from a crash until the entry of the upstream in the store expires. */
const ENTRY_EXPIRY_MS: Millis = 1500

/** Time from a crash caused by a crash request to the replacement of the upstream. */
const CRASH_REQUEST_DOWNTIME_MS: Millis = 1500

/** Time for which a leaving upstream continues to serve. */
const DRAIN_MS: Millis = 4000

/** Time until every gateway knows a cold start that the store announces. */
const COLD_PROPAGATION_MS: Millis = 2000

/** One replica of a service; its upstream instance is replaced after a crash or drain. */
export interface UpstreamReplica {
  readonly service: string
  readonly zone: string
  readonly version: string
  /** Undefined between the end of an instance and the start of the next. */
  instance: { readonly standin: UpstreamStandin, readonly relay: Relay, coldUntil: Millis } | undefined
}

/** All upstreams. */
export class Upstreams {
  readonly replicas: readonly UpstreamReplica[]
  #startedCount = 0
  readonly #retired: Array<{ standin: UpstreamStandin, relay: Relay }> = []

  /**
   * @param clock - source of time
   * @param store - store to register them in
   * @param observations - receives arrivals, cold starts and drains
   */
  constructor (readonly clock: Clock, readonly store: StoreStandin, readonly observations: Observations) {
    this.replicas = Object.values(SERVICES).flatMap(service =>
      Array.from({ length: UPSTREAMS_PER_SERVICE }, (_, index) => ({ service, zone: ZONES[index % ZONES.length] ?? '', version: VERSIONS[Math.floor(index / ZONES.length) % VERSIONS.length] ?? '', instance: undefined })))
  }

  /** Starts an instance for every replica, without a cold start. */
  async start (): Promise<void> {
    for (const replica of this.replicas) await this.startInstance(replica, 0)
  }

  /** Starts and registers a new instance of a replica. */
  async startInstance (replica: UpstreamReplica, coldMs: Millis = COLD_START_MS): Promise<void> {
    this.#startedCount += 1
    const { service, zone, version } = replica
    const standin: UpstreamStandin = new UpstreamStandin(this.clock, { id: `u${this.#startedCount}`, service, zone, slots: SLOTS_PER_UPSTREAM, version }, this.observations, () => { this.#onCrashRequest(replica, standin.properties.id) })
    await standin.start()
    replica.instance = { standin, relay: await Relay.start(standin.port), coldUntil: this.clock.now() + coldMs }
    if (coldMs > 0) this.observations.cold.push({ name: standin.properties.id, from: this.clock.now(), to: this.clock.now() + coldMs })
    this.#register(replica, false, coldMs)
  }

  /** Crashes the instance of a replica; its store entry expires later, and a new instance starts after the downtime. */
  crash (replica: UpstreamReplica, downtimeMs: Millis): void {
    const { instance } = replica
    if (instance === undefined) return
    replica.instance = undefined
    this.#retired.push(instance)
    instance.standin.crash()
    const { id } = instance.standin.properties
    this.clock.after(ENTRY_EXPIRY_MS, () => {
      removeUpstream(this.store, id)
      this.#openSpan(this.observations.leaving, id)
    })
    this.#scheduleReplacement(replica, downtimeMs)
  }

  /** Crashes an instance that has started to run the crash request. */
  #onCrashRequest (replica: UpstreamReplica, id: string): void {
    if (replica.instance?.standin.properties.id !== id) return
    this.observations.disturbances.push({ component: `upstream ${id}`, from: this.clock.now(), to: undefined, isPlanned: false })
    this.crash(replica, CRASH_REQUEST_DOWNTIME_MS)
  }

  /** Marks the instance of a replica as leaving; it serves for `DRAIN_MS` more, and a new instance starts after the downtime. */
  drain (replica: UpstreamReplica, downtimeMs: Millis): void {
    const { instance } = replica
    if (instance === undefined) return
    this.#register(replica, true, 0)
    this.#openSpan(this.observations.leaving, instance.standin.properties.id)
    replica.instance = undefined
    this.#retired.push(instance)
    this.clock.after(DRAIN_MS, () => { removeUpstream(this.store, instance.standin.properties.id) })
    this.#scheduleReplacement(replica, downtimeMs)
  }

  /** Announces a new cold start of the instance of a replica; one that lasts longer goes on. */
  enterColdStart (replica: UpstreamReplica, durationMs: Millis): void {
    const { instance } = replica
    if (instance === undefined) return
    const now = this.clock.now()
    instance.coldUntil = Math.max(instance.coldUntil, now + durationMs)
    this.#register(replica, false, instance.coldUntil - now)
    if (durationMs > COLD_PROPAGATION_MS) this.observations.cold.push({ name: instance.standin.properties.id, from: now + COLD_PROPAGATION_MS, to: now + durationMs })
  }

  async close (): Promise<void> {
    for (const { standin, relay } of [...this.#retired, ...this.replicas.flatMap(({ instance }) => instance ?? [])]) {
      standin.close()
      await relay.close()
    }
  }

  #scheduleReplacement (replica: UpstreamReplica, downtimeMs: Millis): void {
    this.clock.after(downtimeMs, () => { this.startInstance(replica).catch(err => { throw err }) })
  }

  #openSpan (spans: NamedSpan[], name: string): void {
    spans.push({ name, from: this.clock.now(), to: undefined })
  }

  #register ({ instance }: UpstreamReplica, isDraining: boolean, coldMs: Millis): void {
    if (instance === undefined) return
    const { id, service, zone, slots, version } = instance.standin.properties
    putUpstream(this.store, { id: asId(id), service: asId(service), zone: asId(zone), version, address: instance.relay.address, slots, isDraining }, coldMs)
  }
}
