/** Fixture of the specs: gateways and engines of three zones under load, without a network; gateways know each other's loads from reports of some age. */
import { asId, type Millis, type UpstreamId, type ZoneId } from '@fuchsiaworks/kernel'
import type { StringHash } from '../keys/rendezvous.js'
import { place } from '../placement/placement.js'
import { PlacementDb } from '../placement/placementDb.js'
import type { PeerId, Placement, PlacementRequest, RunId } from '../placement/placementTypes.js'

/** Limit of the pressure at which a workspace within its share is admitted. */
const MAX_PRESSURE = 0.95

/** Pressure up to which a zone serves in time. */
const IN_TIME_PRESSURE = 0.75

const RETRY_MS: Millis = 15
const DECODE_MS: Millis = 150
const ZONES = ['a', 'b', 'c'].map(name => asId<ZoneId>(name))

/** A load. */
export interface FleetLoad {
  /** Speed of the engines of each zone relative to `msPerKToken`. */
  readonly speeds: readonly number[]
  /** Milliseconds in which an engine of speed 1 reads a thousand tokens. */
  readonly msPerKToken: number
  /** Demand of each zone as a multiple of what its engines process, by time. */
  readonly demand: ReadonlyArray<(now: Millis) => number>
  /** Zones whose upstreams cannot be used. */
  readonly closed?: readonly string[]
  readonly seconds: number
  readonly seed: number
  readonly msPerMegabyte: number
}

/** What happened to the requests of one zone. */
export interface ZoneResult {
  arrived: number
  /** Sent to another zone. */
  left: number
  refused: number
  late: number
  /** Requests that one queue for all engines of the zone could not have begun in time. */
  missing: number
  backlogMs: Millis
  backlogAt: Millis
  readonly senders: number
}

const ENGINES = 4
const SENDERS = [7, 7, 6]
const REPORT_MS: Millis = 100
const TARGET_MS: Millis = 600
const TOKENS = 6000

const BASE_REQUEST: Omit<PlacementRequest, 'zone' | 'tried'> = { service: asId('engine'), sharedParts: [], unsharedTokens: TOKENS, maxOutputTokens: 100, latencyTargetMs: TARGET_MS }

interface Engine { readonly id: UpstreamId, readonly zone: ZoneId, readonly readMs: Millis, freeAt: Millis }
interface Sender { readonly peer: PeerId, readonly zone: number, readonly db: PlacementDb }

const randomOf = (seed: number) => (): number => {
  seed = (seed * 1_664_525 + 1_013_904_223) % 4_294_967_296
  return seed / 4_294_967_296
}

/** Runs a load through the decision code and returns what happened in each zone. */
export const runFleet = (hash: StringHash, load: FleetLoad): ZoneResult[] => {
  const random = randomOf(load.seed)
  const engines = ZONES.flatMap((zone, at) => Array.from({ length: ENGINES }, (_, nth): Engine => (
    { id: asId<UpstreamId>(`${zone}${nth}`), zone, readMs: TOKENS / 1000 * load.msPerKToken / (load.speeds[at] ?? 1), freeAt: 0 })))
  const engineOf = new Map(engines.map(engine => [engine.id, engine]))
  const senders = SENDERS.flatMap((count, zone) => Array.from({ length: count }, (_, nth): Sender => {
    const db = new PlacementDb(hash, random)
    db.setUpstreams(engines.map(({ id, zone }) => ({ id, zone, service: BASE_REQUEST.service, slots: 128, kvCapacityTokens: 664_446 })))
    return { peer: asId<PeerId>(`${zone}.${nth}`), zone, db }
  }))
  const results = SENDERS.map((count): ZoneResult => ({ arrived: 0, left: 0, refused: 0, late: 0, missing: 0, backlogMs: 0, backlogAt: 0, senders: count }))
  const events: Array<{ at: Millis, run: () => void }> = []
  let runs = 0

  const schedule = (at: Millis, run: () => void): void => {
    let low = 0
    let high = events.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((events[middle]?.at ?? 0) > at) low = middle + 1
      else high = middle
    }
    events.splice(low, 0, { at, run })
  }

  const send = (sender: Sender, req: PlacementRequest, placement: Placement, arrivedAt: Millis, now: Millis): void => {
    const engine = engineOf.get(placement.upstream)!
    const run = asId<RunId>(`${runs++}`)
    sender.db.startRun(run, engine.id, req, placement.readTokens, now)
    engine.freeAt = Math.max(engine.freeAt, now) + engine.readMs
    const firstAt = engine.freeAt
    if (firstAt - arrivedAt > TARGET_MS) results[sender.zone]!.late += 1
    schedule(firstAt, () => { sender.db.recordFirstEvent(run, firstAt) })
    schedule(firstAt + DECODE_MS, () => { sender.db.endRun(run) })
  }

  const tryPlace = (sender: Sender, arrivedAt: Millis, now: Millis): void => {
    const result = results[sender.zone]!
    const zone = ZONES[sender.zone]!
    const req: PlacementRequest = {
      ...BASE_REQUEST,
      zone,
      tried: new Set(),
      zoneTraffic: { msPerMegabyte: load.msPerMegabyte, bytes: 8000, copyBytesPerToken: 0, senders: SENDERS[sender.zone]!, maxPressure: () => MAX_PRESSURE }
    }
    const placement = place(sender.db, req, id => load.closed?.includes(engineOf.get(id)!.zone) !== true, now)
    if (placement !== undefined && placement.pressure <= MAX_PRESSURE) {
      if (engineOf.get(placement.upstream)!.zone !== zone) result.left += 1
      return send(sender, req, placement, arrivedAt, now)
    }
    if (now + RETRY_MS - arrivedAt > TARGET_MS * 0.15) result.refused += 1
    else schedule(now + RETRY_MS, () => { tryPlace(sender, arrivedAt, now + RETRY_MS) })
  }

  /** Counts the requests that are missing capacity, as if the zone had one queue with exact knowledge. */
  const countMissing = (zone: number, now: Millis): void => {
    const result = results[zone]!
    const readMs = engines[zone * ENGINES]!.readMs
    result.backlogMs = Math.max(0, result.backlogMs - (now - result.backlogAt))
    result.backlogAt = now
    if (load.closed?.includes(ZONES[zone]!) === true || result.backlogMs + 15 + Math.min(readMs, TARGET_MS * 0.2) > TARGET_MS * IN_TIME_PRESSURE) result.missing += 1
    else result.backlogMs += readMs / ENGINES
  }

  const arrive = (zone: number, now: Millis): void => {
    const capacityPerMs = ENGINES / engines[zone * ENGINES]!.readMs
    // Candidate arrivals at twice the capacity are thinned to the demand of the moment.
    const nextAt = now - Math.log(1 - random()) / (capacityPerMs * 2)
    if (nextAt < load.seconds * 1000) schedule(nextAt, () => { arrive(zone, nextAt) })
    if (random() * 2 >= (load.demand[zone]?.(now) ?? 0)) return
    results[zone]!.arrived += 1
    countMissing(zone, now)
    const inZone = senders.filter(sender => sender.zone === zone)
    tryPlace(inZone[Math.floor(random() * inZone.length)]!, now, now)
  }

  const report = (sender: Sender, now: Millis): void => {
    const loads = sender.db.ownLoads()
    schedule(now + REPORT_MS, () => {
      for (const other of senders) if (other !== sender) other.db.setPeerLoads(sender.peer, loads)
      report(sender, now + REPORT_MS)
    })
  }

  ZONES.forEach((_, zone) => { arrive(zone, 0) })
  for (const sender of senders) report(sender, random() * REPORT_MS)
  for (let event = events.pop(); event !== undefined && event.at < load.seconds * 1000; event = events.pop()) event.run()
  return results
}
