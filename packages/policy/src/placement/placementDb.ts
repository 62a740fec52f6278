/** Loads, prefill speeds and cached prompt parts of all upstreams, as known to one router. */
import type { Millis, ServiceId, UpstreamId } from '@fuchsiaworks/kernel'
import { hashMembers, type HashedMember, type StringHash } from '../keys/rendezvous.js'
import type { PartHash, PartUse, PeerId, PlacementRequest, PlacementUpstream, RunId, UpstreamLoad } from './placementTypes.js'
import { PART_KEPT_MS, UpstreamRecord } from './upstreamRecord.js'

/** Minimum milliseconds between two updates to other routers on the use of one part; well below the time for which they expect it to stay cached. */
const TELL_AGAIN_MS: Millis = 3000

/** Maximum number of sent part uses that are remembered. */
const MAX_TOLD = 4000

/** State of the placement policy. */
export class PlacementDb {
  readonly #records = new Map<UpstreamId, UpstreamRecord>()
  readonly #services = new Map<ServiceId, Array<HashedMember<UpstreamId>>>()
  readonly #runs = new Map<RunId, UpstreamRecord>()
  readonly #untold: PartUse[] = []
  /** Sent part uses by part and upstream, least recently sent first. */
  readonly #told = new Map<string, { readonly use: PartUse, readonly at: Millis }>()

  /** @param hash - the fleet's hash, so that all routers prefer the same upstream for a part */
  constructor (readonly hash: StringHash) {}

  /** Replaces the list of upstreams; upstreams that remain keep their records. */
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

  records (): Iterable<UpstreamRecord> {
    return this.#records.values()
  }

  /** @returns the upstreams of a service with their hashes */
  members (service: ServiceId): ReadonlyArray<HashedMember<UpstreamId>> {
    return this.#services.get(service) ?? []
  }

  /** Records that a request was sent to an upstream. */
  startRun (run: RunId, upstream: UpstreamId, req: PlacementRequest, readTokens: number, now: Millis): void {
    const record = this.#records.get(upstream)
    if (record === undefined) return
    const ahead = record.totalLoad.waitingTokens
    record.noteStart(now)
    const promptTokens = req.ownTokens + req.sharedParts.reduce((sum, part) => sum + part.tokens, 0)
    record.addRun(run, {
      startedAt: now,
      waitingTokens: readTokens,
      heldTokens: promptTokens + req.maxOutputTokens,
      tokensAtStart: ahead + readTokens
    })
    for (const part of req.sharedParts) this.#useOwn(this.hash(part.id), record, now)
    this.#runs.set(run, record)
  }

  /** Applies the update of another router that it has sent a part to an upstream. */
  recordPartUse ({ part, upstream }: PartUse, now: Millis): void {
    this.#records.get(upstream)?.notePart(part, now)
  }

  /** @returns the part uses of this router since the last call, to be sent to other routers */
  takeUnsentPartUses (): PartUse[] {
    return this.#untold.splice(0)
  }

  /** @returns the recent part uses of this router, to be sent to a router that has just become reachable */
  recentPartUses (now: Millis): PartUse[] {
    return [...this.#told.values()].filter(({ at }) => now - at < PART_KEPT_MS).map(({ use }) => use)
  }

  /** Records the first event of a run. */
  recordFirstEvent (run: RunId, now: Millis): void {
    const record = this.#runs.get(run)
    const open = record?.runs.get(run)
    if (record !== undefined && open !== undefined) record.noteFirstEvent(open, now)
  }

  /** Records the end of a run, successful or not. */
  endRun (run: RunId): void {
    this.#runs.get(run)?.removeRun(run)
    this.#runs.delete(run)
  }

  /** Excludes an upstream from placement until a given time, or until the end of an exclusion that lasts longer. */
  avoid (upstream: UpstreamId, until: Millis): void {
    const record = this.#records.get(upstream)
    if (record !== undefined) record.avoidUntil = Math.max(record.avoidUntil, until)
  }

  /** Sets the loads from another router; upstreams that are not listed have no load from it. */
  setPeerLoads (peer: PeerId, loads: ReadonlyMap<UpstreamId, UpstreamLoad>): void {
    for (const record of this.#records.values()) record.setRemote(peer, loads.get(record.id))
  }

  /** Removes the loads from another router. */
  removePeer (peer: PeerId): void {
    for (const record of this.#records.values()) record.setRemote(peer, undefined)
  }

  /** Records a part use of this router, and queues it for other routers unless it was sent recently. */
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

  /** @returns the loads from this router, to be sent to other routers, without idle upstreams */
  ownLoads (): Map<UpstreamId, UpstreamLoad> {
    const loads = [...this.#records.values()].map(record => [record.id, record.ownLoad] as const)
    return new Map(loads.filter(([, load]) => load.open > 0))
  }
}
