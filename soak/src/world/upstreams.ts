/** The upstreams of a soak: started, registered, ended and started again under new names. */
import { asId, type Clock, type Millis } from '@fuchsiaworks/kernel'
import { putUpstream, removeUpstream, type StoreStandin } from '@fuchsiaworks/platform-adapter/standins'
import type { ClosedSpan, Ledger } from '../promises/ledgerTypes.js'
import { ZONES } from './fleet.js'
import { Relay } from './relays.js'
import { SERVICES } from './routes.js'
import { UpstreamStandin } from './upstreamStandin.js'

/** Upstreams of each service. */
const EACH = 4

const SLOTS = 8

/** Milliseconds for which an upstream is cold after its start. */
const COLD_MS: Millis = 3000

/** Milliseconds from the last word of a crashed upstream to the end of its entry. */
const LAPSE_MS: Millis = 1500

/** Milliseconds for which an upstream is down after the request that ends it. */
const POISONED_DOWN_MS: Millis = 1500

/** Milliseconds for which an upstream that leaves goes on serving. */
const DRAIN_MS: Millis = 4000

/** Milliseconds after which the store's word of a cold start is known everywhere. */
const COLD_NOTICE_MS: Millis = 2000

/** One place for an upstream; upstreams come and go in it. */
export interface UpstreamPlace {
  readonly service: string
  readonly zone: string
  /** Undefined while the place is empty. */
  current: { readonly standin: UpstreamStandin, readonly relay: Relay } | undefined
}

/** All upstreams. */
export class Upstreams {
  readonly places: readonly UpstreamPlace[]
  #started = 0
  readonly #old: Array<{ standin: UpstreamStandin, relay: Relay }> = []

  /**
   * @param clock - source of time
   * @param store - where they register
   * @param ledger - takes what happens to them
   */
  constructor (readonly clock: Clock, readonly store: StoreStandin, readonly ledger: Ledger) {
    this.places = Object.values(SERVICES).flatMap(service =>
      Array.from({ length: EACH }, (_, nth) => ({ service, zone: ZONES[nth % ZONES.length] ?? '', current: undefined })))
  }

  /** Fills every place with an upstream that is not cold. */
  async start (): Promise<void> {
    for (const place of this.places) await this.fill(place, 0)
  }

  /** Starts an upstream in a place. */
  async fill (place: UpstreamPlace, coldMs: Millis = COLD_MS): Promise<void> {
    this.#started += 1
    const { service, zone } = place
    const standin: UpstreamStandin = new UpstreamStandin(this.clock, { id: `u${this.#started}`, service, zone, slots: SLOTS }, this.ledger, () => { this.#onPoison(place, standin.facts.id) })
    await standin.start()
    place.current = { standin, relay: await Relay.to(standin.port) }
    if (coldMs > 0) this.ledger.cold.push({ name: standin.facts.id, from: this.clock.now(), to: this.clock.now() + coldMs })
    this.#register(place, false, coldMs)
  }

  /** Lets the upstream of a place crash; its entry lapses later, and another comes after a while. */
  crash (place: UpstreamPlace, downMs: Millis): void {
    const { current } = place
    if (current === undefined) return
    place.current = undefined
    this.#old.push(current)
    current.standin.crash()
    const { id } = current.standin.facts
    this.clock.after(LAPSE_MS, () => {
      removeUpstream(this.store, id)
      this.#note(this.ledger.leaving, id)
    })
    this.#refill(place, downMs)
  }

  /** Ends an upstream that has begun a request which no upstream survives. */
  #onPoison (place: UpstreamPlace, id: string): void {
    if (place.current?.standin.facts.id !== id) return
    this.ledger.disturbances.push({ subject: `upstream ${id}`, from: this.clock.now(), to: undefined, isPlanned: false })
    this.crash(place, POISONED_DOWN_MS)
  }

  /** Lets the upstream of a place say that it leaves, serve on for a while, and end. */
  leave (place: UpstreamPlace, downMs: Millis): void {
    const { current } = place
    if (current === undefined) return
    this.#register(place, true, 0)
    this.#note(this.ledger.leaving, current.standin.facts.id)
    place.current = undefined
    this.#old.push(current)
    this.clock.after(DRAIN_MS, () => { removeUpstream(this.store, current.standin.facts.id) })
    this.#refill(place, downMs)
  }

  /** Makes the upstream of a place cold once more. */
  turnCold (place: UpstreamPlace, length: Millis): void {
    const { current } = place
    if (current === undefined) return
    const now = this.clock.now()
    this.#register(place, false, length)
    if (length > COLD_NOTICE_MS) this.ledger.cold.push({ name: current.standin.facts.id, from: now + COLD_NOTICE_MS, to: now + length })
  }

  async close (): Promise<void> {
    for (const { standin, relay } of [...this.#old, ...this.places.flatMap(({ current }) => current ?? [])]) {
      standin.close()
      await relay.close()
    }
  }

  #refill (place: UpstreamPlace, downMs: Millis): void {
    this.clock.after(downMs, () => { this.fill(place).catch(err => { throw err }) })
  }

  #note (spans: ClosedSpan[], name: string): void {
    spans.push({ name, from: this.clock.now(), to: undefined })
  }

  #register ({ current }: UpstreamPlace, isDraining: boolean, coldMs: Millis): void {
    if (current === undefined) return
    const { id, service, zone, slots } = current.standin.facts
    putUpstream(this.store, { id: asId(id), service: asId(service), zone: asId(zone), address: current.relay.address, slots, isDraining }, coldMs)
  }
}
