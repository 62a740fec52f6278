/** The operator of a soak: publishes configurations, takes keys away, closes zones. */
import type { Random } from '@fuchsiaworks/bench'
import { asId, type Clock, type ServiceId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import { excludeZone, includeZone, putConfig, type StoreStandin } from '@fuchsiaworks/platform-adapter/standins'
import { COLD_PER_SECOND } from '../promises/allChecks.js'
import type { Ledger } from '../promises/ledgerTypes.js'
import { routesOf, SERVICES } from './routes.js'

/** Workspaces, and the keys that each holds at first. */
const WORKSPACES = 5
const KEYS_EACH = 4

interface HeldKey {
  readonly key: string
  readonly workspace: string
}

/** Writes to the store what operators decide. */
export class Operator {
  revision = 0
  readonly #held: HeldKey[]
  readonly #taken: HeldKey[] = []
  readonly #closing = new Map<string, number>()

  /**
   * @param clock - source of time
   * @param store - is written to
   * @param ledger - takes what was published
   */
  constructor (readonly clock: Clock, readonly store: StoreStandin, readonly ledger: Ledger) {
    this.#held = Array.from({ length: WORKSPACES * KEYS_EACH }, (_, nth) => ({ key: `key-${nth}`, workspace: `workspace-${nth % WORKSPACES}` }))
  }

  /** Publishes the next revision; a route of its own tells that it is in force. */
  publish (): void {
    this.revision += 1 + this.revision % 3
    putConfig(this.store, {
      revision: this.revision,
      routes: routesOf(this.revision),
      services: new Map(Object.values(SERVICES).map(name => [asId<ServiceId>(name), { id: asId<ServiceId>(name), maxConnections: 64, coldRequestsPerSecond: COLD_PER_SECOND, engine: undefined }])),
      workspaceByApiKey: new Map(this.#held.map(({ key, workspace }) => [key, asId<WorkspaceId>(workspace)])),
      limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, tokensPerSecond: undefined }
    })
    this.ledger.publications.push({ revision: this.revision, at: this.clock.now() })
  }

  /** Takes a key away, unless its workspace would have none left. */
  takeKey (index: number): void {
    const candidate = this.#held[index % this.#held.length]
    if (candidate !== undefined && this.#held.filter(({ workspace }) => workspace === candidate.workspace).length > 1) {
      this.#held.splice(this.#held.indexOf(candidate), 1)
      this.#taken.push(candidate)
    }
    this.publish()
    if (candidate !== undefined && this.#taken.includes(candidate)) this.ledger.takenKeys.push({ key: candidate.key, at: this.clock.now() })
  }

  /** @returns a key, of those that were taken away where asked for and there is one */
  drawKey (random: Random, isTaken: boolean): HeldKey | undefined {
    const from = isTaken && this.#taken.length > 0 ? this.#taken : this.#held
    return from[Math.floor(random() * from.length)]
  }

  /** @returns the key that is never taken away as long as its workspace has no other */
  firstKey (): HeldKey | undefined {
    return this.#held.find(({ workspace }) => workspace === 'workspace-0')
  }

  /** Closes a zone for a while. */
  closeZone (zone: string, length: number): void {
    const count = this.#closing.get(zone) ?? 0
    this.#closing.set(zone, count + 1)
    if (count === 0) {
      excludeZone(this.store, asId<ZoneId>(zone))
      this.ledger.closedZones.push({ name: zone, from: this.clock.now(), to: undefined })
    }
    this.clock.after(length, () => { this.#reopen(zone) })
  }

  #reopen (zone: string): void {
    const count = (this.#closing.get(zone) ?? 1) - 1
    this.#closing.set(zone, count)
    if (count > 0) return
    includeZone(this.store, zone)
    const open = this.ledger.closedZones.find(({ name, to }) => name === zone && to === undefined)
    if (open !== undefined) this.ledger.closedZones[this.ledger.closedZones.indexOf(open)] = { ...open, to: this.clock.now() }
  }
}
