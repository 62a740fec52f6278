/** Counts the bytes that one attempt moves between zones. */
import type { Placement } from '@fuchsiaworks/policy'
import type { HeaderList } from '@fuchsiaworks/wire'
import { headBytes, type ZoneBytesCause } from '../log/zoneBytes.js'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import type { AttemptScope } from './attemptScope.js'

/** Bytes of one attempt; those within the zone of the gateway are not counted. */
export class AttemptZoneBytes {
  readonly #scope: AttemptScope
  readonly #causes: { readonly request: ZoneBytesCause, readonly response: ZoneBytesCause }

  /**
   * @param scope - the request
   * @param upstream - where it is sent
   * @param placement - the decision for that upstream
   */
  constructor (scope: AttemptScope, readonly upstream: GatewayUpstream, readonly placement: Placement) {
    this.#scope = scope
    this.#causes = this.#findCauses()
  }

  /** Counts the request and the copy of cached parts that it causes. */
  countRequest (headers: HeaderList): void {
    const { ctx, request, admission } = this.#scope
    const { upstream, placement } = this
    if (this.#isOtherZone) ctx.zoneBytes.count(this.#causes.request, upstream.zone, request.method.length + request.target.length + headBytes(headers) + request.body.length)
    const source = placement.copyFrom === undefined ? undefined : ctx.fleet.view.upstreams.get(placement.copyFrom)
    const copyBytesPerToken = admission.placementRequest.zoneTraffic?.copyBytesPerToken ?? 0
    if (source !== undefined && source.zone !== upstream.zone) ctx.metrics.zoneBytes.inc({ cause: 'part-copy' }, placement.copiedTokens * copyBytesPerToken)
  }

  /** Counts the head of the response. */
  countResponseHead (headers: HeaderList): void {
    if (this.#isOtherZone) this.countResponse(headBytes(headers))
  }

  /** Counts a part of the response. */
  countResponse (bytes: number): void {
    if (this.#isOtherZone) this.#scope.ctx.zoneBytes.count(this.#causes.response, this.upstream.zone, bytes)
  }

  get #isOtherZone (): boolean {
    return this.upstream.zone !== this.#scope.ctx.settings.zone
  }

  #findCauses (): { readonly request: ZoneBytesCause, readonly response: ZoneBytesCause } {
    const { relay, admission } = this.#scope
    if (relay.lastEventId !== undefined) return { request: 'resume', response: 'resume' }
    return admission.tried.size > 0 ? { request: 'retry', response: 'retry' } : { request: 'request', response: 'response' }
  }
}
