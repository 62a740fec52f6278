/** Applies changes of the platform's lists and updates from peer gateways to the state of a gateway. */
import type { Clock, EventLoopMonitor, UpstreamId, ZoneId } from '@fuchsiaworks/kernel'
import { type AdmissionQueueDb, retryTimeDefinition } from '@fuchsiaworks/policy'
import type { GatewaySettings } from '@fuchsiaworks/settings'
import { WEB_SOCKET_FRAME_BYTES, type ZoneBytes } from '../log/zoneBytes.js'
import type { CallerServer } from '../callers/callerServer.js'
import { PeerMesh, type PeerPortHandlers } from '../peers/peerMesh.js'
import type { PeerState } from '../peers/peerTypes.js'
import type { FleetView } from '../port/fleetPort.js'
import { RecorderLinks } from '../streamRecorder/recorderLinks.js'
import { logCrash } from '../requests/crashLog.js'
import type { FlowContext } from '../requests/flowContext.js'
import { type QueueOwner, RequestQueue, type RequestQueueContext } from '../requests/requestQueue.js'
import { UNREACHABLE_AVOID_MS } from '../requests/upstreamFailure.js'
import { minTargetMsByService } from '../routing/findRoute.js'

/** Logs the upstreams that leave the list during the time without requests that they have asked for. */
const logUnlistedBackOffs = ({ clock, placement, requestLog }: FlowContext, { upstreams }: FleetView): void => {
  for (const { id } of placement.records()) {
    const remainingMs = Math.round(placement.backOffUntil(id) - clock.now())
    if (remainingMs > 0 && !upstreams.has(id)) requestLog.write('upstream that asked for no further requests left the list', { upstream: id, remainingMs })
  }
}

/** Applies a new view of the fleet to placement, pacing, connections, shares and limits. */
export const applyFleetView = (ctx: FlowContext, callerServer: CallerServer, view: FleetView): void => {
  const { table } = view
  const upstreams = [...view.upstreams.values()]
  const { streamVersions } = ctx
  streamVersions.setUpstreams(upstreams, ctx.clock.now())
  logUnlistedBackOffs(ctx, view)
  ctx.placement.setUpstreams(upstreams.map(upstream => {
    const { id, service, zone, slots, startedAt } = upstream
    const engine = table?.services.get(service)?.engine
    const version = streamVersions.isVersioned(service) ? streamVersions.versionOf(upstream) : undefined
    return { id, service, zone, slots, startedAt, kvCapacityTokens: engine?.kvCapacityTokens, copyMsPerThousandTokens: engine?.copyMsPerThousandTokens, version }
  }))
  const listed = new Set<UpstreamId>(upstreams.map(({ id }) => id))
  ctx.coldPace.retainUpstreams(listed)
  ctx.clients.retainUpstreams(listed)
  ctx.requestLimits.retainUpstreams(listed, ctx.clock.now())
  ctx.metrics.upstreams.set(upstreams.filter(({ isDraining }) => !isDraining).length)
  ctx.queue?.wake()
  if (table === undefined) return
  ctx.shares.capacityPerSecond = table.limits.tokensPerSecond
  ctx.streamVersions.longestStreamMs = Math.max(0, ...table.routes.filter(({ isStream }) => isStream).map(({ timeoutMs }) => timeoutMs))
  ctx.minTargetMsByService = minTargetMsByService(table)
  ctx.metrics.revision.set(table.revision)
  ctx.recentRoutes.apply(table, ctx.clock.now())
  callerServer.applyLimits(table)
}

/** Records the upstreams that disappeared from the list without having drained or announced their shutdown; they count as crashed. */
export const recordUnlistedUpstreams = (ctx: FlowContext, before: FleetView['upstreams'], now: FleetView['upstreams']): void => {
  for (const [id, { isDraining, startedAt }] of before) {
    if (isDraining || now.has(id) || ctx.leaving.isLeaving(id, startedAt)) continue
    const crash = ctx.crashSuspects.recordUnlisted({ id, startedAt }, ctx.clock.now())
    if (crash !== undefined) logCrash(ctx, id, 'unlisted', crash)
  }
}

/** Applies a state update from a peer gateway. */
export const applyPeerState = (ctx: FlowContext, state: PeerState): void => {
  const now = ctx.clock.now()
  ctx.placement.setPeerLoads(state.peer, state.loads)
  ctx.shares.setPeerTotals(state.peer, state.totals, now, state.processedTokens)
  ctx.queue?.db.setPeerDemand(state.peer, state.queueDemand)
  ctx.queue?.wake()
  for (const use of state.parts) ctx.placement.recordPartUse(use, now)
  const hasIssued = state.limits.map(report => ctx.requestLimits.applyReport(state.peer, report, now))
  if (hasIssued.includes(true)) ctx.mesh.scheduleUpdate()
  for (const report of state.slowness) ctx.placement.instanceLoads.applyReport(report, now)
  for (const leaving of state.leaving) ctx.leaving.applyReport(leaving, now)
  for (const report of state.streams) ctx.streamVersions.applyReport(report, now)
  for (const report of state.crashes) {
    const crash = ctx.crashSuspects.applyReport(report, now)
    if (crash !== undefined) logCrash(ctx, report.crash, 'peer-report', crash)
  }
  for (const report of state.sound) ctx.crashSuspects.applySound(report, now)
  if (state.crashes.length > 0) {
    ctx.metrics.crashReports.inc(state.crashes.length)
    ctx.requestLog.write('crash reports received', { peer: state.peer, reports: state.crashes.length })
  }
  for (const { upstream, remainingMs } of state.avoided) ctx.placement.avoid(upstream, now + Math.min(remainingMs, UNREACHABLE_AVOID_MS))
}

/** Creates the queue of requests that wait for capacity; undefined without the setting. */
export const createRequestQueue = (db: AdmissionQueueDb<QueueOwner> | undefined, { fleet, leaving, shares, ...services }: QueueSources): RequestQueue | undefined => {
  if (db === undefined) return undefined
  return new RequestQueue({
    ...services,
    isListed: id => {
      const upstream = fleet.view.upstreams.get(id)
      return upstream !== undefined && !upstream.isDraining && !fleet.view.excludedZones.has(upstream.zone) && !leaving.isLeaving(id, upstream.startedAt)
    },
    shareUse: workspace => {
      const now = services.clock.now()
      return shares.totals(workspace, now).served / Math.max(1, shares.share(workspace, now))
    }
  }, db, retryTimeDefinition.createDb({ maxPlaces: db.config.maxRequests }))
}

/** What the queue uses of a gateway. */
interface QueueSources extends Pick<FlowContext, 'clock' | 'fleet' | 'leaving' | 'shares' | 'placement' | 'metrics' | 'requestLog'>, Pick<RequestQueueContext, 'scheduleUpdate'> {}

/** Parts of a gateway whose state the mesh sends. */
export interface MeshSources extends Pick<FlowContext, 'fleet' | 'placement' | 'shares' | 'crashSuspects' | 'leaving' | 'requestLimits' | 'streamVersions'> {
  readonly eventLoop: EventLoopMonitor
  readonly zoneBytes: ZoneBytes
  /** Undefined without the setting `queue`. */
  readonly queueDb: AdmissionQueueDb<QueueOwner> | undefined
}

/** Creates the mesh of peer gateways, which sends the state of this gateway's placement, shares, crash records and load. */
export const createPeerMesh = (clock: Clock, settings: GatewaySettings, { fleet, placement, shares, crashSuspects, leaving, requestLimits, streamVersions, eventLoop, zoneBytes, queueDb }: MeshSources, handlers: PeerPortHandlers): PeerMesh => {
  const { zone, peers: listen, peersAdvertised: advertised, seeds } = settings
  const onSent = (to: ZoneId, bytes: number): void => { zoneBytes.count('state-update', to, bytes + WEB_SOCKET_FRAME_BYTES) }
  return new PeerMesh(clock, { zone, listen, advertised, seeds, onSent }, {
    read: () => {
      const now = clock.now()
      const avoided = [...placement.records()].filter(({ avoidUntil }) => avoidUntil > now)
      return {
        loads: placement.ownLoads(),
        totals: shares.ownTotals(),
        processedTokens: placement.processedTokens,
        avoided: avoided.map(({ id, avoidUntil }) => ({ upstream: id, remainingMs: Math.round(avoidUntil - now) })),
        limits: requestLimits.reports(now),
        queueDemand: queueDb?.ownDemand(now) ?? new Map(),
        revision: fleet.view.table?.revision ?? -1
      }
    },
    utilization: () => eventLoop.recentUtilization,
    takePendingEvents: () => ({ parts: placement.takeUnsentPartUses(), ...crashSuspects.takeUnsentReports(clock.now()), leaving: leaving.takeUnsent(), streams: streamVersions.takeUnsent(), slowness: placement.instanceLoads.takeUnsentReports(clock.now()) }),
    recentEvents: () => ({ parts: placement.recentPartUses(clock.now()), ...crashSuspects.reports(clock.now()), leaving: leaving.own(), streams: streamVersions.recent(), slowness: [] })
  }, handlers)
}

/** Creates the connections to stream recorders, which receive the versions of this gateway's streams and what they need to know of the fleet. */
export const createRecorderLinks = (clock: Clock, settings: GatewaySettings, ctx: () => FlowContext): RecorderLinks => {
  const { peers: { host, port }, peersAdvertised, streamRecorders = false } = settings
  return new RecorderLinks(clock, {
    areExpected: streamRecorders,
    fleet: () => {
      const { fleet: { view: { table, upstreams } }, mesh, streamVersions } = ctx()
      const engines = [...upstreams.values()].filter(({ service }) => table?.services.get(service)?.engine !== undefined).length
      const addresses = [peersAdvertised ?? `${host}:${port}`, ...mesh.reachablePeers().map(({ address }) => address)].sort()
      return { upstreams: table === undefined ? undefined : engines, longestStreamMs: table === undefined ? undefined : streamVersions.longestStreamMs, addresses }
    },
    recent: () => ctx().streamVersions.recent(),
    onSent: records => { ctx().metrics.streamRecordsSent.inc(records) },
    onLookup: (stream, { outcome, version, recorder }, ms) => {
      ctx().metrics.recorderLookups.inc({ outcome })
      ctx().requestLog.write('stream recorders asked', { stream, outcome, version: version ?? -1, recorder: recorder ?? 'none', recorders: ctx().recorders.size, ms: Math.round(ms) })
    }
  })
}
