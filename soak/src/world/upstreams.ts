/** The upstreams of a soak: started, registered, ended and started again under new names. */
import { asId, type Clock, type Millis } from '@fuchsiaworks/kernel'
import { putUpstream, removeUpstream, type StoreStandin } from '@fuchsiaworks/platform-adapter/standins'
import type { NamedSpan, Observations } from '../invariants/observationTypes.js'
import { ZONES } from './fleet.js'
import { Relay } from './relay.js'
import { SERVICES } from './routes.js'
import { UpstreamStandin } from './upstreamStandin.js'

/** Upstreams of each service. */
const UPSTREAMS_PER_SERVICE = 4

const SLOTS_PER_UPSTREAM = 8

/** Milliseconds for which an upstream is cold after its start. */
const COLD_START_MS: Millis = 3000

/** Milliseconds from the last word of a crashed upstream to the end of its entry. */
const ENTRY_EXPIRY_MS: Millis = 1500

/** Milliseconds for which an upstream is down after the request that ends it. */
const CRASH_REQUEST_DOWNTIME_MS: Millis = 1500

/** Milliseconds for which an upstream that leaves goes on serving. */
const DRAIN_MS: Millis = 4000

/** Milliseconds after which the store's word of a cold start is known everywhere. */
const COLD_PROPAGATION_MS: Millis = 2000

/** One place for an upstream; upstreams come and go in it. */
export interface UpstreamReplica {
  readonly service: string
  readonly zone: string
  /** Undefined while the replica is empty. */
  instance: { readonly standin: UpstreamStandin, readonly relay: Relay } | undefined
}

/** All upstreams. */
export class Upstreams {
  readonly replicas: readonly UpstreamReplica[]
  #startedCount = 0
  readonly #retired: Array<{ standin: UpstreamStandin, relay: Relay }> = []

  /**
   * @param clock - source of time
   * @param store - where they register
   * @param observations - takes what happens to them
   */
  constructor (readonly clock: Clock, readonly store: StoreStandin, readonly observations: Observations) {
    this.replicas = Object.values(SERVICES).flatMap(service =>
      Array.from({ length: UPSTREAMS_PER_SERVICE }, (_, index) => ({ service, zone: ZONES[index % ZONES.length] ?? '', instance: undefined })))
  }

  /** Fills every replica with an upstream that is not cold. */
  async start (): Promise<void> {
    for (const replica of this.replicas) await this.startInstance(replica, 0)
  }

  /** Starts an upstream in a replica. */
  async startInstance (replica: UpstreamReplica, coldMs: Millis = COLD_START_MS): Promise<void> {
    this.#startedCount += 1
    const { service, zone } = replica
    const standin: UpstreamStandin = new UpstreamStandin(this.clock, { id: `u${this.#startedCount}`, service, zone, slots: SLOTS_PER_UPSTREAM }, this.observations, () => { this.#onCrashRequest(replica, standin.properties.id) })
    await standin.start()
    replica.instance = { standin, relay: await Relay.start(standin.port) }
    if (coldMs > 0) this.observations.cold.push({ name: standin.properties.id, from: this.clock.now(), to: this.clock.now() + coldMs })
    this.#register(replica, false, coldMs)
  }

  /** Lets the upstream of a replica crash; its entry lapses later, and another comes after a while. */
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

  /** Ends an upstream that has begun a request which no upstream survives. */
  #onCrashRequest (replica: UpstreamReplica, id: string): void {
    if (replica.instance?.standin.properties.id !== id) return
    this.observations.disturbances.push({ component: `upstream ${id}`, from: this.clock.now(), to: undefined, isPlanned: false })
    this.crash(replica, CRASH_REQUEST_DOWNTIME_MS)
  }

  /** Lets the upstream of a replica say that it leaves, serve on for a while, and end. */
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

  /** Makes the upstream of a replica cold once more. */
  enterColdStart (replica: UpstreamReplica, durationMs: Millis): void {
    const { instance } = replica
    if (instance === undefined) return
    const now = this.clock.now()
    this.#register(replica, false, durationMs)
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
    const { id, service, zone, slots } = instance.standin.properties
    putUpstream(this.store, { id: asId(id), service: asId(service), zone: asId(zone), address: instance.relay.address, slots, isDraining }, coldMs)
  }
}
