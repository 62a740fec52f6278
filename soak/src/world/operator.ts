/** The operator of a soak: publishes configurations, revokes API keys, excludes zones. */
import type { Random } from '@fuchsiaworks/bench'
import { asId, type Clock, type ServiceId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import { excludeZone, includeZone, putConfig, type StoreStandin } from '@fuchsiaworks/platform-adapter/standins'
import { COLD_PER_SECOND } from '../invariants/allChecks.js'
import type { Observations } from '../invariants/observationTypes.js'
import { ROUTE_TIMEOUTS_MS, routesOfRevision, SERVICES } from './routes.js'

/** Workspaces, and API keys that each of them has at the start. */
const WORKSPACE_COUNT = 5
const KEYS_PER_WORKSPACE = 4

interface ApiKey {
  readonly key: string
  readonly workspace: string
}

/** Writes the actions of operators to the store and records them. */
export class Operator {
  revision = 0
  /** Services to which the route of streams leads from the next revision on. */
  streamServices: readonly string[] = [SERVICES.stream]
  readonly #validKeys: ApiKey[]
  readonly #revokedKeys: ApiKey[] = []
  readonly #activeExclusions = new Map<string, number>()

  /**
   * @param clock - source of time
   * @param store - store to write to
   * @param observations - receives publications, revocations and exclusions
   * @param streamTimeoutMs - timeout of the route of streams
   */
  constructor (readonly clock: Clock, readonly store: StoreStandin, readonly observations: Observations, readonly streamTimeoutMs = ROUTE_TIMEOUTS_MS.stream) {
    this.#validKeys = Array.from({ length: WORKSPACE_COUNT * KEYS_PER_WORKSPACE }, (_, index) => ({ key: `key-${index}`, workspace: `workspace-${index % WORKSPACE_COUNT}` }))
  }

  /** Publishes the next revision; each has a probe route of its own, which shows where the revision is applied. */
  publish (): void {
    this.revision += 1 + this.revision % 3
    putConfig(this.store, {
      revision: this.revision,
      routes: routesOfRevision(this.revision, this.streamTimeoutMs, this.streamServices),
      services: new Map([...new Set([...Object.values(SERVICES), ...this.streamServices])].map(name => [asId<ServiceId>(name), { id: asId<ServiceId>(name), maxConnections: 64, coldRequestsPerSecond: COLD_PER_SECOND, engine: undefined }])),
      workspaceByApiKey: new Map(this.#validKeys.map(({ key, workspace }) => [key, asId<WorkspaceId>(workspace)])),
      limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, tokensPerSecond: undefined }
    })
    this.observations.publications.push({ revision: this.revision, at: this.clock.now() })
  }

  /** Revokes a key, unless it is the last one of its workspace. */
  revokeKey (index: number): void {
    const apiKey = this.#validKeys[index % this.#validKeys.length]
    if (apiKey !== undefined && this.#validKeys.filter(({ workspace }) => workspace === apiKey.workspace).length > 1) {
      this.#validKeys.splice(this.#validKeys.indexOf(apiKey), 1)
      this.#revokedKeys.push(apiKey)
    }
    this.publish()
    if (apiKey !== undefined && this.#revokedKeys.includes(apiKey)) this.observations.revokedKeys.push({ key: apiKey.key, at: this.clock.now() })
  }

  /** @returns a random valid key, or a revoked one if requested and any exists */
  drawApiKey (random: Random, isRevoked: boolean): ApiKey | undefined {
    const keys = isRevoked && this.#revokedKeys.length > 0 ? this.#revokedKeys : this.#validKeys
    return keys[Math.floor(random() * keys.length)]
  }

  /** @returns a valid key of the first workspace, which always has one because the last key is never revoked */
  keyOfFirstWorkspace (): ApiKey | undefined {
    return this.#validKeys.find(({ workspace }) => workspace === 'workspace-0')
  }

  /** Excludes a zone for a while. Exclusions can overlap; the zone is included again when the last one ends. */
  excludeZone (zone: string, length: number): void {
    const count = this.#activeExclusions.get(zone) ?? 0
    this.#activeExclusions.set(zone, count + 1)
    if (count === 0) {
      excludeZone(this.store, asId<ZoneId>(zone))
      this.observations.excludedZones.push({ name: zone, from: this.clock.now(), to: undefined })
    }
    this.clock.after(length, () => { this.#endExclusion(zone) })
  }

  #endExclusion (zone: string): void {
    const count = (this.#activeExclusions.get(zone) ?? 1) - 1
    this.#activeExclusions.set(zone, count)
    if (count > 0) return
    includeZone(this.store, zone)
    const span = this.observations.excludedZones.find(({ name, to }) => name === zone && to === undefined)
    if (span !== undefined) this.observations.excludedZones[this.observations.excludedZones.indexOf(span)] = { ...span, to: this.clock.now() }
  }
}
