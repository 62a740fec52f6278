/** Connects the state of a gateway with what the platform and the other routers tell. */
import type { Clock, UpstreamId } from '@fuchsiaworks/kernel'
import type { GatewaySettings } from '@fuchsiaworks/settings'
import type { CallerServer } from '../callers/callerServer.js'
import { PeerMesh } from '../peers/peerMesh.js'
import type { PeerState } from '../peers/peerTypes.js'
import type { FleetView } from '../port/fleetPort.js'
import type { FlowContext } from '../requests/flowContext.js'
import { shortestTargets } from '../routing/findRoute.js'

/** Adapts a view to placing. */
export const applyView = (ctx: FlowContext, callers: CallerServer, view: FleetView): void => {
  const { table } = view
  const upstreams = [...view.upstreams.values()]
  ctx.placement.setUpstreams(upstreams.map(({ id, service, zone, slots }) => {
    const engine = table?.services.get(service)?.engine
    return { id, service, zone, slots, kvCapacityTokens: engine?.kvCapacityTokens, copyMsPerThousandTokens: engine?.copyMsPerThousandTokens }
  }))
  const listed = new Set<UpstreamId>(upstreams.map(({ id }) => id))
  ctx.coldPace.retainUpstreams(listed)
  ctx.clients.keepOnly(listed)
  ctx.metrics.upstreams.set(upstreams.filter(({ isDraining }) => !isDraining).length)
  if (table === undefined) return
  ctx.shares.capacityPerSecond = table.limits.tokensPerSecond
  ctx.shortestTargets = shortestTargets(table)
  ctx.metrics.revision.set(table.revision)
  callers.applyLimits(table)
}

/** Upstreams that went without having left in an orderly way have ended. */
export const noteUnlisted = (ctx: FlowContext, before: FleetView['upstreams'], now: FleetView['upstreams']): void => {
  for (const [id, { isDraining }] of before) if (!isDraining && !now.has(id)) ctx.crashSuspects.recordUnlisted(id, ctx.clock.now())
}

/** Takes what another router tells. */
export const applyPeer = (ctx: FlowContext, state: PeerState): void => {
  const now = ctx.clock.now()
  ctx.placement.setPeerLoads(state.peer, state.loads)
  ctx.shares.setPeerTotals(state.peer, state.totals, now)
  for (const use of state.parts) ctx.placement.recordPartUse(use, now)
  for (const report of state.crashes) ctx.crashSuspects.applyReport(report, now)
  for (const { upstream, remainingMs } of state.avoided) ctx.placement.avoid(upstream, now + remainingMs)
}

/** Builds the links to other routers, which tell what this one's state holds. */
export const createMesh = (clock: Clock, settings: GatewaySettings, { fleet, placement, shares, crashSuspects: crashers }: Pick<FlowContext, 'fleet' | 'placement' | 'shares' | 'crashers'>): PeerMesh => {
  const { zone, peers: listen, peersAdvertised: advertised, seeds } = settings
  return new PeerMesh(clock, { zone, listen, advertised, seeds }, {
    read: () => {
      const now = clock.now()
      const avoided = [...placement.records()].filter(({ avoidUntil }) => avoidUntil > now)
      return {
        loads: placement.ownLoads(),
        totals: shares.ownTotals(),
        avoided: avoided.map(({ id, avoidUntil }) => ({ upstream: id, remainingMs: Math.round(avoidUntil - now) }))
      }
    },
    takeNews: () => ({ parts: placement.takeUnsentPartUses(), crashes: crashers.takeUnsentReports() }),
    recentNews: () => ({ parts: placement.recentPartUses(clock.now()), crashes: crashers.reports() })
  }, (req, res) => fleet.handlePeerRequest(req, res))
}
