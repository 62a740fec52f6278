/** Loads, reading speeds and kept prompt parts of all upstreams, as one router knows them. */
import type { Millis, ServiceId, UpstreamId } from '@fuchsiaworks/kernel'
import { hashMembers, type HashedMember, type StringHash } from '../keys/rendezvous.js'
import type { PartHash, PartUse, PeerId, PlacementRequest, PlacementUpstream, RunId, UpstreamLoad } from './placementTypes.js'
import { PART_KEPT_MS, UpstreamRecord } from './upstreamRecord.js'

/** Milliseconds after which the use of a part is told to other routers again; well within the time for which they expect it to be kept. */
const TELL_AGAIN_MS: Millis = 3000

/** Uses that are remembered as told. */
const MAX_TOLD = 4000

/** State of placing, and the only functions that change it. */
export class PlacementDb {
  readonly #records = new Map<UpstreamId, UpstreamRecord>()
  readonly #services = new Map<ServiceId, Array<HashedMember<UpstreamId>>>()
  readonly #runs = new Map<RunId, UpstreamRecord>()
  readonly #untold: PartUse[] = []
  /** Uses by part and upstream, the longest told first. */
  readonly #told = new Map<string, { readonly use: PartUse, readonly at: Millis }>()

  /** @param hash - the fleet's hash, so that all routers prefer the same upstream for a part */
  constructor (readonly hash: StringHash) {}

  /** Takes the list of upstreams; records of upstreams that stay are kept. */
  setUpstreams (upstreams: readonly PlacementUpstream[]): void {
    const listed = new Set(upstreams.map(({ id }) => id))
    for (const id of this.#records.keys()) if (!listed.has(id)) this.#records.delete(id)
    for (const facts of upstreams) {
      const known = this.#records.get(facts.id)
      if (known === undefined) this.#records.set(facts.id, new UpstreamRecord(facts))
      else known.facts = facts
    }
    this.#services.clear()
    for (const service of new Set(upstreams.map(({ service }) => service))) {
      this.#services.set(service, hashMembers(this.hash, upstreams.filter(it => it.service === service).map(({ id }) => id)))
    }
  }

  record (id: UpstreamId): UpstreamRecord | undefined {
    return this.#records.get(id)
  }

  /** @returns every upstream */
  records (): Iterable<UpstreamRecord> {
    return this.#records.values()
  }

  /** @returns the upstreams of a service with their hashes */
  members (service: ServiceId): ReadonlyArray<HashedMember<UpstreamId>> {
    return this.#services.get(service) ?? []
  }

  /** Notes that a request was sent. */
  startRun (run: RunId, upstream: UpstreamId, req: PlacementRequest, readTokens: number, now: Millis): void {
    const record = this.#records.get(upstream)
    if (record === undefined) return
    const ahead = record.totalLoad.waitingTokens
    record.noteStart(now)
    const promptTokens = req.unsharedTokens + req.sharedParts.reduce((sum, part) => sum + part.tokens, 0)
    record.addRun(run, {
      startedAt: now,
      waitingTokens: readTokens,
      heldTokens: promptTokens + req.maxOutputTokens,
      tokensAtStart: ahead + readTokens
    })
    for (const part of req.sharedParts) this.#useOwn(this.hash(part.id), record, now)
    this.#runs.set(run, record)
  }

  /** Takes the word of another router that it has sent a part to an upstream. */
  recordPartUse ({ part, upstream }: PartUse, now: Millis): void {
    this.#records.get(upstream)?.notePart(part, now)
  }

  /** Hands over the parts that this router has sent since the last call, for other routers. */
  takeUnsentPartUses (): PartUse[] {
    return this.#untold.splice(0)
  }

  /** @returns the parts that this router has sent of late, for a router that has just come into sight */
  recentPartUses (now: Millis): PartUse[] {
    return [...this.#told.values()].filter(({ at }) => now - at < PART_KEPT_MS).map(({ use }) => use)
  }

  /** Notes the first event of a run. */
  recordFirstEvent (run: RunId, now: Millis): void {
    const record = this.#runs.get(run)
    const open = record?.runs.get(run)
    if (record !== undefined && open !== undefined) record.noteFirstEvent(open, now)
  }

  /** Notes that a run has ended, in whatever way. */
  endRun (run: RunId): void {
    this.#runs.get(run)?.removeRun(run)
    this.#runs.delete(run)
  }

  /** Keeps an upstream from being chosen for a while; the later end holds. */
  avoid (upstream: UpstreamId, until: Millis): void {
    const record = this.#records.get(upstream)
    if (record !== undefined) record.avoidUntil = Math.max(record.avoidUntil, until)
  }

  /** Takes what another router has open; upstreams that it does not name are idle there. */
  setPeerLoads (peer: PeerId, loads: ReadonlyMap<UpstreamId, UpstreamLoad>): void {
    for (const record of this.#records.values()) record.setRemote(peer, loads.get(record.id))
  }

  /** Forgets what another router had open. */
  removePeer (peer: PeerId): void {
    for (const record of this.#records.values()) record.setRemote(peer, undefined)
  }

  /** A use is told again only after a while: others remember it for longer. */
  #useOwn (part: PartHash, record: UpstreamRecord, now: Millis): void {
    record.notePart(part, now)
    const key = `${part} ${record.id}`
    if (now - (this.#told.get(key)?.at ?? -Infinity) < TELL_AGAIN_MS) return
    const use: PartUse = { part, upstream: record.id }
    this.#told.delete(key)
    this.#told.set(key, { use, at: now })
    if (this.#told.size > MAX_TOLD) this.#told.delete([...this.#told.keys()][0] ?? key)
    this.#untold.push(use)
  }

  /** @returns what this router has open, for other routers; idle upstreams are left out */
  ownLoads (): Map<UpstreamId, UpstreamLoad> {
    const loads = [...this.#records.values()].map(record => [record.id, record.ownLoad] as const)
    return new Map(loads.filter(([, load]) => load.open > 0))
  }
}
