/** What an upstream says of itself beside its response: its load, that it shuts down, or wants no further requests for some time. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { InstanceLoadRejection, ResponseAttribution } from '@fuchsiaworks/policy'
import type { ResponseHead } from '../port/headerPort.js'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import type { CallerRequest } from './callerRequest.js'
import type { FlowContext } from './flowContext.js'

/** Status of an upstream that turns a request away (503 Service Unavailable). */
export const UNAVAILABLE_STATUS = 503

/** Status of an upstream that is not the intended one (421 Misdirected Request). */
export const MISDIRECTED_REQUEST_STATUS = 421

/** Records the load that an upstream reports, or counts why it is ignored; the first time for an upstream it is logged, too. */
const recordInstanceLoad = (ctx: FlowContext, { id, startedAt }: GatewayUpstream, isOwnAnswer: boolean, head: ResponseHead, now: Millis): void => {
  const { instanceLoad, instanceLoadProblem } = head
  if (instanceLoad === undefined && instanceLoadProblem === undefined) return
  const reason: InstanceLoadRejection | undefined = !isOwnAnswer ? 'other-process' : instanceLoad === undefined ? instanceLoadProblem : ctx.placement.recordInstanceLoad({ id, startedAt }, instanceLoad, now)
  if (reason === undefined) return
  ctx.metrics.rejectedLoads.inc({ reason })
  if (ctx.placement.instanceLoads.shouldLogRejection(id)) ctx.requestLog.write('upstream reports a load that is ignored', { upstream: id, reason })
}

/** Records what the headers of a response say of the upstream. */
export const recordAnnouncements = (ctx: FlowContext, request: CallerRequest, upstream: GatewayUpstream, status: number, head: ResponseHead, attribution: ResponseAttribution): void => {
  const { id, startedAt } = upstream
  const { isLeaving, retryAfterMs, requestLimit } = head
  const { attempt } = request.head
  const now = ctx.clock.now()
  // A response of another process, or one that may be to another request, says nothing of this upstream.
  const isOwnAnswer = status !== MISDIRECTED_REQUEST_STATUS && attribution === 'own'
  recordInstanceLoad(ctx, upstream, isOwnAnswer, head, now)
  if (isOwnAnswer && ctx.requestLimits.recordAnswer(upstream, requestLimit, now)) {
    ctx.requestLog.write('upstream changed its limit of requests', { upstream: id, request: attempt, perSecond: requestLimit ?? -1 })
    ctx.mesh.scheduleUpdate()
  }
  if (attribution !== 'own') return
  if (isLeaving && ctx.leaving.record({ upstream: id, startedAt }, now)) {
    ctx.requestLog.write('upstream announced its shutdown in a response', { upstream: id, request: attempt })
    ctx.mesh.scheduleUpdate()
  }
  if (status !== UNAVAILABLE_STATUS || retryAfterMs === undefined) return
  ctx.placement.backOff(id, now + retryAfterMs)
  ctx.metrics.backOffs.inc({ service: request.service })
  ctx.requestLog.write('upstream asked for no further requests', { upstream: id, request: attempt, retryAfterMs })
}
