/** Loads, prefill speeds and cached prompt parts of all upstreams, as known to one gateway. */
import type { Millis, ServiceId, UpstreamId } from '@fuchsiaworks/kernel'
import { InstanceLoadDb } from '../instanceLoad/instanceLoadDb.js'
import type { InstanceLoad, InstanceLoadRejection, InstanceProcess } from '../instanceLoad/instanceLoadTypes.js'
import { InstanceRecord } from '../instanceLoad/instanceRecord.js'
import { hashMembers, type HashedMember, type StringHash } from '../keys/rendezvous.js'
import { ZoneSpillDb } from '../zoneSpill/zoneSpillDb.js'
import type { PartHash, PartUse, PeerId, PlacementRequest, PlacementUpstream, RunId, UpstreamLoad } from './placementTypes.js'
import { type OpenRun, PART_CACHED_MS, UpstreamRecord } from './upstreamRecord.js'

/** Minimum milliseconds between two updates to peer gateways on the use of one part; well below the time for which they expect it to stay cached. */
const RESEND_AFTER_MS: Millis = 3000

/** Time after the loss of a peer gateway in which there may be requests of it at upstreams, or of a gateway that is cut off. */
const LOST_PEER_MS: Millis = 10_000

/** Maximum number of sent part uses that are remembered. */
const MAX_SENT_USES = 4000

const chargedTokensOf = ({ chargedTokens = 0, unsharedTokens }: PlacementRequest): OpenRun['charged'] => {
  const prompt = Math.min(chargedTokens, unsharedTokens)
  return { prompt, output: chargedTokens - prompt }
}

/** State of the placement policy. */
export class PlacementDb {
  /** Requests of this gateway that have recently left its zone. */
  readonly zoneSpill = new ZoneSpillDb()
  readonly #records = new Map<UpstreamId, UpstreamRecord>()
  /** Records of upstreams that are not listed, but where requests are open. */
  readonly #unlisted = new Map<UpstreamId, UpstreamRecord>()
  readonly #services = new Map<ServiceId, Array<HashedMember<UpstreamId>>>()
  readonly #runs = new Map<RunId, UpstreamRecord>()
  /** Last loads from each peer gateway, so that an update is applied by what it changes. */
  readonly #peerLoads = new Map<PeerId, ReadonlyMap<UpstreamId, UpstreamLoad>>()
  /** Times until which upstreams have asked for no requests. They are kept while an upstream is not listed, as its entry may come back. */
  readonly #backOffs = new Map<UpstreamId, Millis>()
  #processedTokens = 0
  readonly #unsentUses: PartUse[] = []
  /** Sent part uses by part and upstream, least recently sent first. */
  readonly #sentUses = new Map<string, { readonly use: PartUse, readonly at: Millis }>()

  /** Loads that the listed upstreams report. */
  readonly instanceLoads = new InstanceLoadDb()
  readonly #peers = new Set<PeerId>()
  #peerLostAt: Millis = -Infinity

  /**
   * @param hash - hash function shared by the fleet, so that all gateways prefer the same upstream for a part
   * @param random - returns a number from 0 to below 1, for the choice among nearly equal upstreams where they report their slowness or traffic between zones has a price; without it, the best is chosen
   */
  constructor (readonly hash: StringHash, readonly random?: () => number) {}

  /** Replaces the list of upstreams. An upstream keeps its record, also when its entry comes back while requests are open there. */
  setUpstreams (upstreams: readonly PlacementUpstream[]): void {
    const listed = new Set(upstreams.map(({ id }) => id))
    for (const [id, record] of this.#records) {
      if (listed.has(id)) continue
      this.#records.delete(id)
      if (record.runs.size > 0) this.#unlisted.set(id, record)
    }
    this.instanceLoads.setUpstreams(upstreams.map(({ id, startedAt }) => ({ id, startedAt })))
    for (const upstream of upstreams) {
      const instance = this.instanceLoads.record(upstream.id) ?? new InstanceRecord({ id: upstream.id, startedAt: upstream.startedAt })
      const known = this.#records.get(upstream.id) ?? this.#unlisted.get(upstream.id)
      this.#unlisted.delete(upstream.id)
      if (known === undefined) this.#records.set(upstream.id, new UpstreamRecord(upstream, instance))
      else {
        known.upstream = upstream
        known.instance = instance
        this.#records.set(upstream.id, known)
      }
    }
    this.#services.clear()
    for (const service of new Set(upstreams.map(({ service }) => service))) {
      this.#services.set(service, hashMembers(this.hash, upstreams.filter(upstream => upstream.service === service).map(({ id }) => id)))
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
    const { open, waitingTokens: queuedTokens } = record.totalLoad
    if (req.zoneTraffic !== undefined && record.upstream.zone !== req.zone) this.zoneSpill.recordSend(record.upstream.zone, now)
    record.recordStart(now)
    const promptTokens = req.unsharedTokens + req.sharedParts.reduce((sum, part) => sum + part.tokens, 0)
    record.addRun(run, {
      startedAt: now,
      waitingTokens: readTokens,
      reservedTokens: promptTokens + req.maxOutputTokens,
      queuedTokensAtStart: queuedTokens + readTokens,
      charged: chargedTokensOf(req),
      hasBegun: false,
      openAtStart: open + this.unaccountedRequests(record, now)
    })
    for (const part of req.sharedParts) this.#recordOwnPartUse(this.hash(part.id), record, now)
    this.#runs.set(run, record)
  }

  /** Applies the update of a peer gateway that it has sent a part to an upstream. */
  recordPartUse ({ part, upstream }: PartUse, now: Millis): void {
    this.#records.get(upstream)?.recordPartUse(part, now)
  }

  /** @returns the part uses of this gateway since the last call, to be sent to peer gateways */
  takeUnsentPartUses (): PartUse[] {
    return this.#unsentUses.splice(0)
  }

  /** @returns the recent part uses of this gateway, to be sent to a gateway that has just become reachable */
  recentPartUses (now: Millis): PartUse[] {
    return [...this.#sentUses.values()].filter(({ at }) => now - at < PART_CACHED_MS).map(({ use }) => use)
  }

  /**
   * Records the first event of a run.
   *
   * @param isServed - false for an error, whose time says nothing of the speed of the machine
   */
  recordFirstEvent (run: RunId, now: Millis, isServed = true): void {
    const record = this.#runs.get(run)
    const openRun = record?.runs.get(run)
    if (record === undefined || openRun === undefined) return
    record.recordFirstEvent(openRun, now, isServed)
    if (!openRun.hasBegun) this.#processedTokens += openRun.charged.prompt
    openRun.hasBegun = true
  }

  /** Records the end of a run, successful or not. */
  endRun (run: RunId): void {
    const record = this.#runs.get(run)
    const openRun = record?.runs.get(run)
    if (openRun?.hasBegun === true) this.#processedTokens += openRun.charged.output
    record?.removeRun(run)
    this.#runs.delete(run)
    if (record?.runs.size === 0 && this.#unlisted.get(record.id) === record) this.#unlisted.delete(record.id)
  }

  /** Tokens charged to workspaces that upstreams have processed for this gateway since its start. */
  get processedTokens (): number {
    return this.#processedTokens
  }

  /** Excludes an upstream from placement until a given time, or until the end of an exclusion that lasts longer. */
  avoid (upstream: UpstreamId, until: Millis): void {
    const record = this.#records.get(upstream)
    if (record !== undefined) record.avoidUntil = Math.max(record.avoidUntil, until)
  }

  /** Excludes an upstream from placement at this gateway, at the upstream's own request; unlike an exclusion by `avoid`, it does not hold for peer gateways. */
  backOff (upstream: UpstreamId, until: Millis): void {
    this.#backOffs.set(upstream, Math.max(this.backOffUntil(upstream), until))
  }

  /** @returns the monotonic time until which an upstream has asked this gateway for no requests; 0 when it has not */
  backOffUntil (upstream: UpstreamId): Millis {
    return this.#backOffs.get(upstream) ?? 0
  }

  /** Forgets the exclusions that have ended. */
  expire (now: Millis): void {
    for (const [id, until] of this.#backOffs) if (until <= now) this.#backOffs.delete(id)
  }

  /** Sets the loads from a peer gateway; upstreams that are not listed have no load from it. */
  setPeerLoads (peer: PeerId, loads: ReadonlyMap<UpstreamId, UpstreamLoad>): void {
    this.#peers.add(peer)
    for (const id of this.#peerLoads.get(peer)?.keys() ?? []) if (!loads.has(id)) this.#anyRecord(id)?.setPeerLoad(peer, undefined)
    for (const [id, load] of loads) this.#anyRecord(id)?.setPeerLoad(peer, load)
    this.#peerLoads.set(peer, loads)
  }

  /**
   * Removes the loads from a peer gateway.
   *
   * @param now - time at which it was lost, from which its requests may go on without being reported; none when it is not given
   */
  removePeer (peer: PeerId, now: Millis = -Infinity): void {
    if (this.#peers.delete(peer)) this.#peerLostAt = Math.max(this.#peerLostAt, now)
    this.#peerLoads.delete(peer)
    for (const record of this.#allRecords()) record.setPeerLoad(peer, undefined)
  }

  #anyRecord (id: UpstreamId): UpstreamRecord | undefined {
    return this.#records.get(id) ?? this.#unlisted.get(id)
  }

  /**
   * Records a load that an upstream has reported in a response to this gateway.
   *
   * @returns why the report is ignored; undefined when it was recorded
   */
  recordInstanceLoad (process: InstanceProcess, load: InstanceLoad, now: Millis): InstanceLoadRejection | undefined {
    return this.instanceLoads.recordReport(process, load, this.#records.get(process.id)?.totalLoad.open ?? 0, now)
  }

  /** @returns requests at an upstream that neither this gateway nor a peer has sent, by its reports; 0 while all peers are reachable */
  unaccountedRequests ({ instance }: UpstreamRecord, now: Millis): number {
    return this.#peers.size > 0 && now - this.#peerLostAt > LOST_PEER_MS ? 0 : instance.unaccountedRequests(now)
  }

  #allRecords (): UpstreamRecord[] {
    return [...this.#records.values(), ...this.#unlisted.values()]
  }

  /** Records a part use of this gateway, and queues it for peer gateways unless it was sent recently. */
  #recordOwnPartUse (part: PartHash, record: UpstreamRecord, now: Millis): void {
    record.recordPartUse(part, now)
    const key = `${part} ${record.id}`
    if (now - (this.#sentUses.get(key)?.at ?? -Infinity) < RESEND_AFTER_MS) return
    const use: PartUse = { part, upstream: record.id }
    this.#sentUses.delete(key)
    this.#sentUses.set(key, { use, at: now })
    if (this.#sentUses.size > MAX_SENT_USES) this.#sentUses.delete([...this.#sentUses.keys()][0] ?? key)
    this.#unsentUses.push(use)
  }

  /** @returns the loads from this gateway, to be sent to peer gateways, without idle upstreams */
  ownLoads (): Map<UpstreamId, UpstreamLoad> {
    const loads = [...this.#records.values()].map(record => [record.id, record.ownLoad] as const)
    return new Map(loads.filter(([, load]) => load.open > 0))
  }
}
