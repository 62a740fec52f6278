/** Judges heads of responses inside the body of the response of one attempt. */
import { type EmbeddedHeadOwner, type EmbeddedResponseVerdict, findHeadOwner, judgeEmbeddedResponse } from '@fuchsiaworks/policy'
import type { BodyEnd, EmbeddedHead, UpstreamExchange } from '@fuchsiaworks/upstreams'
import { logEmbeddedHead } from '../log/responseLog.js'
import type { ResponseHead } from '../port/headerPort.js'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import type { AttemptScope } from './attemptScope.js'

/** Heads inside one body that are logged; a body may quote any number of them. */
const MAX_LOGGED_HEADS = 4

/**
 * Judges one head, and logs it when it is seen first.
 *
 * @param exchange - the exchange of the attempt
 * @param around - head of the response around it
 * @param end - undefined while more of the body may follow
 */
export const judgeEmbeddedHead = (scope: AttemptScope, upstream: GatewayUpstream, exchange: Pick<UpstreamExchange, 'report' | 'hasCarried'>, around: ResponseHead, embedded: EmbeddedHead, end: BodyEnd | undefined): EmbeddedResponseVerdict => {
  const { report } = exchange
  const { ctx, request: { head: { attempt: requestId } }, relay } = scope
  const { attempt: namedId, seal } = ctx.headers.decodeResponseHead(embedded.status, embedded.headers)
  const owner: EmbeddedHeadOwner = findHeadOwner({ requestId, namedId, isEarlierId: namedId !== undefined && exchange.hasCarried(namedId) })
  const hasOwnSeal = seal !== undefined && seal !== '' && seal === around.seal
  if (end === undefined) ctx.metrics.embeddedHeads.inc({ names: owner })
  if (end === undefined && report.embeddedHeads <= MAX_LOGGED_HEADS) logEmbeddedHead(ctx, requestId, upstream.id, embedded, owner, hasOwnSeal, report)
  const verdict = judgeEmbeddedResponse({ owner, hasOwnSeal, endsAt: embedded.responseEndsAt, stopsInHeaders: embedded.stopsInHeaders }, { delimiter: report.delimiter ?? 'close', isEventStream: relay.isEventStream, end })
  // A head with which the body stops is seen at its end only.
  if (verdict === 'spliced' && embedded.endedBy === 'nothing') logEmbeddedHead(ctx, requestId, upstream.id, embedded, owner, hasOwnSeal, report)
  return verdict
}
