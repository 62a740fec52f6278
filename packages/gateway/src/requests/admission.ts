/** Whether, and to which upstream, one request may be sent now. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import {
  coldRate, decideShare, maySendToColdUpstream, type Placement, type PlacementRequest, place, type PromptPart
} from '@fuchsiaworks/policy'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import type { CallerCall } from './callerCall.js'
import type { FlowContext } from './flowContext.js'
import type { Refusal } from './refusals.js'

/** Milliseconds to return for a request that no upstream could take. */
export const NO_UPSTREAM_RETURN_MS: Millis = 1000

/** Engines generate tokens one after the other, which the users count twice. */
const OUTPUT_TOKEN_WEIGHT = 2

/** How full a plain upstream may be: every slot taken and as many requests waiting. */
const PLAIN_PRESSURE = 2

/** Tokens of the part that only this request has; the whole prompt when it names no parts. */
const ownTokens = (parts: readonly PromptPart[], promptTokens: number): number => parts.at(-1)?.tokens ?? promptTokens

/** Asks the policies on behalf of one request. */
export class Admission {
  readonly #ctx: FlowContext
  readonly #call: CallerCall
  /** Upstreams to which the request was sent. */
  readonly tried = new Set<UpstreamId>()
  readonly request: PlacementRequest
  /** Tokens served to the workspace as a multiple of its share, at the last check. */
  shareUse = 0

  /**
   * @param ctx - services of the process
   * @param call - the request
   */
  constructor (ctx: FlowContext, call: CallerCall) {
    this.#ctx = ctx
    this.#call = call
    this.request = this.#placementRequest()
  }

  get isEngine (): boolean {
    return this.#ctx.fleet.view.table?.services.get(this.#call.service)?.engine !== undefined
  }

  /** What the request takes of the engines: shared parts are read once for many requests and count for none. */
  get tokens (): number {
    const { prompt } = this.#call.head
    if (prompt === undefined) return 0
    return this.request.unsharedTokens + OUTPUT_TOKEN_WEIGHT * (prompt.expectedOutputTokens ?? prompt.maxOutputTokens)
  }

  /** Counts what the workspace asks for. */
  noteAsked (): void {
    const { workspace } = this.#call
    if (workspace !== undefined && this.isEngine) this.#ctx.shares.recordRequested(workspace, this.tokens, this.#now)
  }

  /** @returns the best upstream that has not been tried; undefined when there is none */
  place (): Placement | undefined {
    return place(this.#ctx.placement, this.request, id => this.#isUsable(id), this.#now)
  }

  /** @returns why the request is not to be sent to the upstream now; undefined when it is */
  check ({ pressure }: Placement): Refusal | undefined {
    const { workspace } = this.#call
    if (workspace === undefined || !this.isEngine) {
      return pressure <= PLAIN_PRESSURE ? undefined : { status: 503, reason: 'full', returnMs: NO_UPSTREAM_RETURN_MS }
    }
    const verdict = decideShare(this.#ctx.shares, { workspace, tokens: this.tokens, pressure }, this.#now)
    this.shareUse = verdict.shareUse
    return verdict.kind === 'admit' ? undefined : { status: 503, reason: verdict.reason, returnMs: verdict.retryAfterMs }
  }

  /** Counts a send against the pace of a cold upstream and, the first time, against the workspace's share. */
  noteSent (upstream: GatewayUpstream): void {
    const { workspace } = this.#call
    if (this.tried.size === 0 && workspace !== undefined && this.isEngine) this.#ctx.shares.recordServed(workspace, this.tokens, this.#now)
    this.tried.add(upstream.id)
    if (upstream.coldUntil <= this.#now) return
    this.#ctx.coldPace.takeToken(upstream.id, coldRate({ id: upstream.id, requestsPerSecond: this.#coldPerSecond(upstream) }), this.#now)
  }

  get #now (): Millis {
    return this.#ctx.clock.now()
  }

  #placementRequest (): PlacementRequest {
    const { head, route, service } = this.#call
    const parts = head.prompt?.parts ?? []
    return {
      service,
      zone: this.#ctx.settings.zone,
      sharedParts: parts.slice(0, -1),
      unsharedTokens: ownTokens(parts, head.prompt?.promptTokens ?? 0),
      maxOutputTokens: head.prompt?.maxOutputTokens ?? 0,
      latencyTargetMs: this.#ctx.shortestTargets.get(service) ?? route.latencyTargetMs,
      tried: this.tried
    }
  }

  #isUsable (id: UpstreamId): boolean {
    const upstream = this.#ctx.fleet.view.upstreams.get(id)
    if (upstream === undefined || upstream.isDraining || this.#ctx.fleet.view.excludedZones.has(upstream.zone)) return false
    if (upstream.coldUntil <= this.#now) return true
    const cold = { id, requestsPerSecond: this.#coldPerSecond(upstream) }
    return cold.requestsPerSecond <= 0 || maySendToColdUpstream(this.#ctx.coldPace, this.#ctx.hash, this.#ctx.mesh.view(), cold, this.#now)
  }

  #coldPerSecond (upstream: GatewayUpstream): number {
    return this.#ctx.fleet.view.table?.services.get(upstream.service)?.coldRequestsPerSecond ?? 0
  }
}
