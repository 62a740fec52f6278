/** Test fixtures: gateways that admit and place requests at engines on a manual clock, without a network. */
import { asId, ManualClock, type Millis, type ServiceId, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import {
  ColdPaceDb, LeavingDb, loadStringHash, type PeerId, type Placement, PlacementDb, type PromptPart, RequestLimitDb, type RunId, StreamVersionDb, TokenShareDb
} from '@fuchsiaworks/policy'
import type { GatewayUpstream, RoutingTable } from '../routing/routingTypes.js'
import { Admission } from './admission.js'
import type { CallerRequest } from './callerRequest.js'
import type { FlowContext } from './flowContext.js'

const SERVICE = asId<ServiceId>('engine')
const ZONE = asId<ZoneId>('east')

/** Interval at which the gateways send each other their state. */
const UPDATE_INTERVAL_MS: Millis = 40

/** Step of the clock. */
const STEP_MS: Millis = 5

/** Time from one event of an engine to the next, and the number of events. */
const EVENTS = { intervalMs: 40, count: 6 } as const

/** Engines of a fleet and the configured rate. */
export interface EngineFleet {
  readonly gateways: number
  readonly engines: number
  readonly slots: number
  readonly kvCapacityTokens: number
  readonly latencyTargetMs: Millis
  readonly tokensPerSecond: number | undefined
  /** Time to the first event of a request that has a slot. */
  readonly firstEventMs: Millis
}

/** A request to a gateway of the fleet. */
export interface FleetRequest {
  readonly workspace: string
  readonly parts: readonly PromptPart[]
  readonly outputTokens: number
}

/** What became of a request. */
export interface FleetOutcome {
  readonly at: Millis
  readonly workspace: string
  readonly chargedTokens: number
  /** Undefined when it was sent to an engine. */
  readonly refusal: string | undefined
  /** Part of the slots in use at the engine with the most room, now and at the last exchange of states; gateways know nothing later of each other. */
  readonly leastSlotUse: number
}

/** A gateway of the fleet: its state, and the context in which it admits requests. */
interface FleetGateway {
  readonly id: PeerId
  readonly ctx: FlowContext
}

/** A request that has a slot of an engine, or waits for one. */
interface EngineRun {
  readonly id: RunId
  readonly gateway: FleetGateway
  firstEventAt: Millis
  hasBegun: boolean
}

const engineIds = (count: number): UpstreamId[] => Array.from({ length: count }, (_, nth) => asId<UpstreamId>(`engine${nth}`))

const createUpstream = (id: UpstreamId, slots: number): GatewayUpstream =>
  ({ id, service: SERVICE, address: '127.0.0.1:1', zone: ZONE, version: undefined, slots, isDraining: false, startedAt: 1, coldUntil: 0 })

const createTable = ({ kvCapacityTokens, tokensPerSecond }: EngineFleet): Pick<RoutingTable, 'services' | 'limits'> => ({
  services: new Map([[SERVICE, { id: SERVICE, maxConnections: 50, coldRequestsPerSecond: 0, engine: { kvCapacityTokens, copyMsPerThousandTokens: undefined } }]]),
  limits: { headerBytes: 2000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 2000, tokensPerSecond }
})

/** Gateways that have just started in front of engines, all without history. */
export class AdmissionFleet {
  readonly clock = new ManualClock()
  readonly outcomes: FleetOutcome[] = []
  readonly #gateways: FleetGateway[]
  readonly #runs = new Map<UpstreamId, EngineRun[]>()
  /** Runs by engine at the last exchange of states. */
  #exchangedRuns = new Map<UpstreamId, number>()
  #started = 0

  private constructor (readonly fleet: EngineFleet, createGateway: (id: PeerId, clock: ManualClock) => FleetGateway) {
    for (const id of engineIds(fleet.engines)) this.#runs.set(id, [])
    this.#gateways = Array.from({ length: fleet.gateways }, (_, nth) => createGateway(asId<PeerId>(`gateway${nth}`), this.clock))
    this.clock.every(STEP_MS, () => { this.#runEngines() })
    this.clock.every(UPDATE_INTERVAL_MS, () => { this.#exchangeStates() })
  }

  /** Starts a fleet. */
  static async start (fleet: EngineFleet): Promise<AdmissionFleet> {
    const hash = await loadStringHash()
    return new AdmissionFleet(fleet, (id, clock) => {
      const view = { self: id, reachable: [], unreachableCount: 0, settled: true }
      const placement = new PlacementDb(hash)
      placement.setUpstreams(engineIds(fleet.engines).map(engine => ({ id: engine, service: SERVICE, zone: ZONE, slots: fleet.slots, kvCapacityTokens: fleet.kvCapacityTokens })))
      const shares = new TokenShareDb({ windowMs: 4000 })
      shares.capacityPerSecond = fleet.tokensPerSecond
      const upstreams = new Map(engineIds(fleet.engines).map(engine => [engine, createUpstream(engine, fleet.slots)]))
      const ctx = {
        settings: { zone: ZONE },
        clock,
        hash,
        fleet: { view: { table: createTable(fleet), upstreams, excludedZones: new Set() }, confirmedAgeMs: () => 0 },
        placement,
        shares,
        leaving: new LeavingDb(),
        requestLimits: new RequestLimitDb(hash, () => view),
        streamVersions: new StreamVersionDb(hash, 0),
        coldPace: new ColdPaceDb(),
        minTargetMsByService: new Map([[SERVICE, fleet.latencyTargetMs]])
      } as unknown as FlowContext
      return { id, ctx }
    })
  }

  /** Lets time pass, during which engines process what they have and gateways send each other their state. */
  advance (ms: Millis): void {
    this.clock.advance(ms)
  }

  /** Token shares of a gateway. */
  sharesOf (nth: number): TokenShareDb {
    return this.#gateways[nth]!.ctx.shares
  }

  /** Sends a request to a gateway, by default to one after the other. */
  send (req: FleetRequest, nth = this.#started % this.#gateways.length): void {
    const gateway = this.#gateways[nth]!
    this.#started += 1
    const admission = new Admission(gateway.ctx, this.#callerRequest(req))
    admission.recordDemand()
    const placement = admission.place()
    const refusal = placement === undefined ? 'no-upstream' : admission.check(placement)?.reason
    this.outcomes.push({ at: this.clock.now(), workspace: req.workspace, chargedTokens: admission.chargedTokens, refusal, leastSlotUse: this.#leastSlotUse })
    if (placement !== undefined && refusal === undefined) this.#startRun(gateway, admission, placement)
  }

  get #leastSlotUse (): number {
    return Math.min(...[...this.#runs].map(([engine, runs]) => Math.max(runs.length, this.#exchangedRuns.get(engine) ?? 0))) / this.fleet.slots
  }

  #callerRequest ({ workspace, parts, outputTokens }: FleetRequest): CallerRequest {
    const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0)
    return {
      head: { prompt: { promptTokens, maxOutputTokens: outputTokens, expectedOutputTokens: outputTokens, parts } },
      service: SERVICE,
      route: { latencyTargetMs: this.fleet.latencyTargetMs },
      workspace: asId<WorkspaceId>(workspace)
    } as unknown as CallerRequest
  }

  #startRun (gateway: FleetGateway, admission: Admission, { upstream, readTokens }: Placement): void {
    const { ctx } = gateway
    const id = asId<RunId>(`run${this.#started}`)
    admission.recordSend(ctx.fleet.view.upstreams.get(upstream)!)
    ctx.placement.startRun(id, upstream, admission.placementRequest, readTokens, this.clock.now())
    this.#runs.get(upstream)!.push({ id, gateway, firstEventAt: Infinity, hasBegun: false })
  }

  #runEngines (): void {
    const now = this.clock.now()
    for (const [engine, runs] of this.#runs) {
      for (const run of runs.slice(0, this.fleet.slots)) {
        run.firstEventAt = Math.min(run.firstEventAt, now + this.fleet.firstEventMs)
        if (run.hasBegun || now < run.firstEventAt) continue
        run.hasBegun = true
        run.gateway.ctx.placement.recordFirstEvent(run.id, now)
      }
      const ended = runs.filter(({ firstEventAt }) => now >= firstEventAt + EVENTS.intervalMs * (EVENTS.count - 1))
      for (const { id, gateway } of ended) gateway.ctx.placement.endRun(id)
      this.#runs.set(engine, runs.filter(run => !ended.includes(run)))
    }
  }

  #exchangeStates (): void {
    const now = this.clock.now()
    this.#exchangedRuns = new Map([...this.#runs].map(([engine, runs]) => [engine, runs.length]))
    for (const { id, ctx: { placement, shares } } of this.#gateways) {
      const parts = placement.takeUnsentPartUses()
      for (const { id: receiver, ctx } of this.#gateways) {
        if (receiver === id) continue
        ctx.placement.setPeerLoads(id, placement.ownLoads())
        for (const use of parts) ctx.placement.recordPartUse(use, now)
        const totals = new Map([...shares.ownTotals()].map(([workspace, { requested, served }]) => [workspace, { requested, served }]))
        ctx.shares.setPeerTotals(id, totals, now, placement.processedTokens)
      }
    }
  }
}
