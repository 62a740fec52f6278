/** What a gateway does about an upstream at which an attempt failed, or that accepts no connections. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import type { AttemptFailure } from '@fuchsiaworks/policy'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import type { CallerTraits } from './callerTraits.js'
import { logCrash } from './crashLog.js'
import type { FlowContext } from './flowContext.js'

/** How long an upstream is avoided after it accepted no connection. */
export const UNREACHABLE_AVOID_MS: Millis = 1500

/** How long an upstream is avoided after it rejected a request because it was full. */
const FULL_AVOID_MS = 150

/** How long an upstream is avoided after a connection to it broke. */
const BROKEN_AVOID_MS = 300

type FailureContext = Pick<FlowContext, 'clock' | 'crashSuspects' | 'mesh' | 'metrics' | 'placement' | 'requestLog' | 'streamVersions'>

/** The attempt that failed. */
interface FailedAttempt {
  readonly upstream: GatewayUpstream
  readonly firstByteAt: Millis | undefined
}

/** Excludes an upstream from placement for a while, at this gateway and at its peers. */
export const avoidUpstream = (ctx: FailureContext, upstream: UpstreamId, ms: Millis): void => {
  ctx.placement.avoid(upstream, ctx.clock.now() + ms)
  ctx.mesh.scheduleUpdate()
}

/** Records that an upstream accepts no connections, which means that it crashed if connections to it broke shortly before. */
export const recordUnreachable = (ctx: FailureContext, upstream: GatewayUpstream): void => {
  ctx.streamVersions.recordUnreachable(upstream, ctx.clock.now())
  const crash = ctx.crashSuspects.recordUnreachable(upstream, ctx.clock.now())
  if (crash !== undefined) logCrash(ctx, upstream.id, 'unreachable', crash)
}

/** Records the failure of an attempt, and excludes its upstream from placement for a time that depends on the failure. */
export const recordAttemptFailure = (ctx: FailureContext & Pick<FlowContext, 'reachability'>, attempt: FailedAttempt, failure: AttemptFailure, traits: CallerTraits): void => {
  const { upstream, firstByteAt } = attempt
  if (failure.kind === 'uncertain' && failure.reason === 'reset') {
    ctx.crashSuspects.recordBrokenConnection(upstream, firstByteAt === undefined ? traits : undefined, ctx.clock.now())
    ctx.reachability.schedule(upstream)
  }
  if (failure.kind === 'not-run' && failure.reason === 'unreachable') recordUnreachable(ctx, upstream)
  const avoidMs = avoidDurationMs(failure)
  if (avoidMs > 0) avoidUpstream(ctx, upstream.id, avoidMs)
}

/** Returns for how many milliseconds an upstream is avoided after a failure. */
const avoidDurationMs = (failure: AttemptFailure): Millis => {
  switch (failure.kind) {
    case 'not-run':
      if (failure.reason === 'unreachable') return UNREACHABLE_AVOID_MS
      return failure.reason === 'full' ? FULL_AVOID_MS : 0
    case 'uncertain':
      // A response without an id says nothing of the upstream, which may have rejected one request before it read the id.
      return failure.reason === 'unattributed' ? 0 : BROKEN_AVOID_MS
    case 'error-answer':
      return 0
  }
}
