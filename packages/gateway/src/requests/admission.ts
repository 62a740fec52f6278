/** Decides whether a request may be sent now, and to which upstream. */
import type { Millis, ServiceId, UpstreamId } from '@fuchsiaworks/kernel'
import {
  chooseWithinShare, coldRate, decideShare, MAX_PLAIN_PRESSURE, maySendToColdUpstream, msUntilUsable, type Placement, type PlacementRequest, place, pressureLimit, type PromptPart, type ShareCharge,
  shareRequestAt, type VersionHash, type ZoneTraffic
} from '@fuchsiaworks/policy'
import { headBytes } from '../log/zoneBytes.js'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import type { CallerRequest } from './callerRequest.js'
import type { FlowContext } from './flowContext.js'
import type { Refusal } from './refusals.js'

/** Shortest retry delay sent to callers when no upstream could take the request. */
const NO_UPSTREAM_RETRY_AFTER_MS: Millis = 1000

/** Output tokens count twice in a workspace's share, as engines generate them one after the other. */
const OUTPUT_TOKEN_WEIGHT = 2

/**
 * Maximum pressure at which a stream is continued that its caller takes up. It was admitted when it began, and may go on at some upstreams only,
 * which after a loss of all gateways are asked by all streams of their version at once: a refusal would lose what has been generated.
 */
const MAX_TAKEN_UP_PRESSURE = 2

/** Maximum pressure at which an upstream that is not an engine still serves in time, for the choice of the zone: a slot is free. */
const MAX_PLAIN_IN_TIME_PRESSURE = 1

/** Bytes of the response that are expected, for each output token or event, and for a response without a prompt. */
const RESPONSE_BYTES = { perToken: 100, plain: 1000 } as const

/** Tokens of the last prompt part, which is not shared with other requests; those of the complete prompt when it has no parts. */
const lastPartTokens = (parts: readonly PromptPart[], promptTokens: number): number => parts.at(-1)?.tokens ?? promptTokens

/** Applies the placement, share and cold start policies to one request. */
export class Admission {
  readonly #ctx: FlowContext
  readonly #callerRequest: CallerRequest
  /** Upstreams to which the request has been sent. */
  readonly tried = new Set<UpstreamId>()
  #placementRequest: PlacementRequest
  /** Tokens served to the workspace divided by its share, at the last check. */
  shareUse = 0
  /** Software version at which alone the request may go on, once it has begun; undefined when there is no such restriction. */
  version: VersionHash | undefined

  /**
   * @param ctx - services of the process
   * @param request - the request
   */
  constructor (ctx: FlowContext, request: CallerRequest) {
    this.#ctx = ctx
    this.#callerRequest = request
    this.#placementRequest = this.#createPlacementRequest()
  }

  get placementRequest (): PlacementRequest {
    return this.#placementRequest
  }

  /** Routes the request to the service at which its stream has begun. */
  routeTo (service: ServiceId): void {
    this.#callerRequest.service = service
    this.#placementRequest = this.#createPlacementRequest()
  }

  get isEngine (): boolean {
    return this.#ctx.fleet.view.table?.services.get(this.#callerRequest.service)?.engine !== undefined
  }

  /** Whether the request continues a stream: only such a request is restricted to one version before it is sent. */
  get isTakenUp (): boolean {
    return this.version !== undefined && this.tried.size === 0
  }

  /** Largest pressure at which an upstream of the service receives requests. */
  get maxPressure (): number {
    return this.isEngine ? pressureLimit(0) : MAX_PLAIN_PRESSURE
  }

  /** Tokens that count towards the workspace's share: shared prompt parts are read once for many requests and do not count. */
  get chargedTokens (): number {
    return this.placementRequest.chargedTokens ?? 0
  }

  /** Adds the request's tokens to the demand of its workspace. */
  recordDemand (): void {
    const { workspace } = this.#callerRequest
    if (workspace !== undefined && this.isEngine) this.#ctx.shares.recordRequested(workspace, this.chargedTokens, this.#now)
  }

  /** Returns the best upstream that has not been tried, or at first the alternative to one that the share does not allow; undefined when there is none. */
  place (): Placement | undefined {
    const placement = place(this.#ctx.placement, this.placementRequest, id => this.#isUsable(id), this.#now)
    const charge = this.#shareCharge
    if (placement === undefined || charge === undefined || this.tried.size > 0) return placement
    const decided = this.#asDecided(placement)
    return chooseWithinShare(this.#ctx.shares, charge, decided, this.#now) === decided ? placement : placement.alternative
  }

  /** Returns the refusal of a request for which there is no upstream, with the time until one may be used again. */
  noUpstream (reason = 'no-upstream'): Refusal {
    return { status: 503, reason, retryAfterMs: Math.max(NO_UPSTREAM_RETRY_AFTER_MS, this.msUntilUsable) }
  }

  /** Whether an upstream of the version at which the request may go on serves, however busy it is. */
  get hasVersion (): boolean {
    const { upstreams, excludedZones } = this.#ctx.fleet.view
    return [...upstreams.values()].some(upstream => this.#isVersionAllowed(upstream) && upstream.service === this.#callerRequest.service && !upstream.isDraining &&
      !excludedZones.has(upstream.zone) && !this.#ctx.leaving.isLeaving(upstream.id, upstream.startedAt))
  }

  /** Whether the list still tells which process of an upstream answers, and so its software version. */
  isProcessKnown (upstream: GatewayUpstream): boolean {
    return this.#ctx.streamVersions.isProcessKnown(upstream, this.#now - (this.#ctx.fleet.confirmedAgeMs() ?? Infinity))
  }

  /** Milliseconds until an upstream of the service may be used; 0 when there is one or it cannot be known. */
  get msUntilUsable (): Millis {
    return msUntilUsable(this.#ctx.placement, this.#callerRequest.service, id => this.#isUsable(id), this.#now) ?? 0
  }

  /** Returns the reason why the request must not be sent to the upstream now; undefined when it may be sent. */
  check (placement: Placement): Refusal | undefined {
    const charge = this.#shareCharge
    if (this.isTakenUp && placement.pressure <= MAX_TAKEN_UP_PRESSURE) return undefined
    if (charge === undefined) {
      return placement.pressure / this.#capacityShare <= MAX_PLAIN_PRESSURE ? undefined : { status: 503, reason: 'full', retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS }
    }
    this.#ctx.shares.setOwnProcessed(this.#ctx.placement.processedTokens, this.#now)
    const decision = decideShare(this.#ctx.shares, shareRequestAt(charge, this.#asDecided(placement)), this.#now)
    this.shareUse = decision.shareUse
    return decision.kind === 'admit' ? undefined : { status: 503, reason: decision.reason, retryAfterMs: decision.retryAfterMs }
  }

  /** Counts an attempt against the pace of a cold upstream and, on the first attempt, the tokens against the workspace's share. */
  recordSend (upstream: GatewayUpstream): void {
    const { workspace } = this.#callerRequest
    if (this.tried.size === 0 && workspace !== undefined && this.isEngine) this.#ctx.shares.recordServed(workspace, this.chargedTokens, this.#now)
    this.tried.add(upstream.id)
    this.#ctx.requestLimits.recordSend(upstream)
    if (upstream.coldUntil <= this.#now) return
    this.#ctx.coldPace.takeToken(upstream.id, coldRate({ id: upstream.id, requestsPerSecond: this.#coldRequestsPerSecond(upstream) }), this.#now)
  }

  get #now (): Millis {
    return this.#ctx.clock.now()
  }

  /** What the request costs its workspace; undefined when no share applies to it. */
  get #shareCharge (): ShareCharge | undefined {
    const { workspace } = this.#callerRequest
    return workspace === undefined || !this.isEngine ? undefined : { workspace, tokens: this.chargedTokens }
  }

  /** Part of the capacity that this gateway takes, see `RequestQueue`; 1 without the setting `queue`. */
  get #capacityShare (): number {
    return this.#ctx.queue?.capacityShare ?? 1
  }

  /**
   * Returns the placement as the share policy decides on it: with the load in relation to the part of the capacity that this gateway takes.
   * A request that is restricted to upstreams of one version says nothing of the load of all.
   */
  #asDecided (placement: Placement): Placement {
    const { pressure, load, leastLoad } = placement
    return { ...placement, pressure: pressure / this.#capacityShare, load: load / this.#capacityShare, leastLoad: this.version === undefined ? leastLoad : Infinity }
  }

  #createPlacementRequest (): PlacementRequest {
    const { head, route, service } = this.#callerRequest
    const parts = head.prompt?.parts ?? []
    const unsharedTokens = lastPartTokens(parts, head.prompt?.promptTokens ?? 0)
    const outputTokens = head.prompt?.expectedOutputTokens ?? head.prompt?.maxOutputTokens ?? 0
    return {
      service,
      zone: this.#ctx.settings.zone,
      sharedParts: parts.slice(0, -1),
      unsharedTokens,
      maxOutputTokens: head.prompt?.maxOutputTokens ?? 0,
      chargedTokens: head.prompt === undefined ? 0 : unsharedTokens + OUTPUT_TOKEN_WEIGHT * outputTokens,
      latencyTargetMs: this.#ctx.minTargetMsByService.get(service) ?? route.latencyTargetMs,
      tried: this.tried,
      zoneTraffic: this.#createZoneTraffic()
    }
  }

  #createZoneTraffic (): ZoneTraffic | undefined {
    const { zone, zoneTraffic } = this.#ctx.settings
    if (zoneTraffic === undefined || zoneTraffic.msPerMegabyte === 0) return undefined
    const { head: { prompt }, headers, body } = this.#callerRequest
    const responseBytes = prompt === undefined ? RESPONSE_BYTES.plain : RESPONSE_BYTES.perToken * (prompt.expectedOutputTokens ?? prompt.maxOutputTokens)
    return {
      ...zoneTraffic,
      bytes: headBytes(headers) + body.length + responseBytes,
      senders: 1 + this.#ctx.mesh.reachablePeers().filter(peer => peer.zone === zone).length,
      maxPressure: () => this.#maxInTimePressure * this.#capacityShare
    }
  }

  /** Maximum pressure of an upstream at which the request is admitted and begins in time. */
  get #maxInTimePressure (): number {
    if (!this.isEngine) return MAX_PLAIN_IN_TIME_PRESSURE
    const charge = this.#shareCharge
    if (charge === undefined) return pressureLimit(0)
    // Without a finite least load, this check does not enter the estimate of the capacity.
    return pressureLimit(decideShare(this.#ctx.shares, { ...charge, pressure: 0, leastLoad: Infinity }, this.#now).shareUse)
  }

  #isUsable (id: UpstreamId): boolean {
    const upstream = this.#ctx.fleet.view.upstreams.get(id)
    if (upstream === undefined || upstream.isDraining || this.#ctx.fleet.view.excludedZones.has(upstream.zone)) return false
    if (!this.#isVersionAllowed(upstream) || (this.version !== undefined && !this.isProcessKnown(upstream))) return false
    if (this.#ctx.leaving.isLeaving(id, upstream.startedAt) || !this.#ctx.requestLimits.maySend(upstream, this.#now)) return false
    if (upstream.coldUntil <= this.#now) return true
    const cold = { id, requestsPerSecond: this.#coldRequestsPerSecond(upstream) }
    return cold.requestsPerSecond <= 0 || maySendToColdUpstream(this.#ctx.coldPace, this.#ctx.hash, this.#ctx.mesh.view(), cold, this.#now)
  }

  #isVersionAllowed (upstream: GatewayUpstream): boolean {
    return this.version === undefined || this.#ctx.streamVersions.isOfVersion(upstream, this.version)
  }

  #coldRequestsPerSecond (upstream: GatewayUpstream): number {
    return this.#ctx.fleet.view.table?.services.get(upstream.service)?.coldRequestsPerSecond ?? 0
  }
}
