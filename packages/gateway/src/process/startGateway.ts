/** Starts a gateway: a proxy without queues that sends requests straight to upstreams. */
import { createLog, EventLoopMonitor, Kernel, ListenQueueProbe, type Millis, onEvent, type RunningProcess, type Service, systemClock } from '@fuchsiaworks/kernel'
import { admissionQueueDefinition, chooseStoreWatchRole, coldPaceDefinition, crashSuspectDefinition, leavingDefinition, loadStringHash, placementDefinition, requestLimitDefinition, RetryBudget, streamVersionDefinition, tokenShareDefinition } from '@fuchsiaworks/policy'
import { CallerServer, LISTEN_BACKLOG } from '../callers/callerServer.js'
import { GatewayMetrics } from '../log/gatewayMetrics.js'
import { WEB_SOCKET_FRAME_BYTES, ZoneBytes } from '../log/zoneBytes.js'
import { RequestLog } from '../log/requestLog.js'
import { logUnsolicitedBytes } from '../log/responseLog.js'
import { writeShareMetrics } from '../log/shareMetrics.js'
import type { FleetPort, FleetView } from '../port/fleetPort.js'
import type { GatewaySettings } from '@fuchsiaworks/settings'
import type { PeerMesh } from '../peers/peerMesh.js'
import type { HeaderPort } from '../port/headerPort.js'
import type { FlowContext } from '../requests/flowContext.js'
import type { QueueOwner } from '../requests/requestQueue.js'
import { RecorderLinks } from '../streamRecorder/recorderLinks.js'
import { RECORDER_FLEET_PATH, RECORDS_PATH } from '../streamRecorder/streamRecorderTypes.js'
import { RequestFlow } from '../requests/requestFlow.js'
import { StreamVersionLookup } from '../requests/streamVersionLookup.js'
import { RecentRoutes } from '../routing/recentRoutes.js'
import { avoidUpstream, recordUnreachable, UNREACHABLE_AVOID_MS } from '../requests/upstreamFailure.js'
import { ReachabilityCheck } from '../upstreams/reachabilityCheck.js'
import { UpstreamClients } from '../upstreams/upstreamClients.js'
import { ConnectionDispatcher } from '../offload/connectionDispatcher.js'
import { ConnectionOffloader } from '../offload/connectionOffloader.js'
import { OffloadReceiver } from '../offload/offloadReceiver.js'
import { OFFLOAD_PATH, OFFLOADING_HOST_HEADER } from '../offload/offloadTypes.js'
import { LoadMonitor } from './loadMonitor.js'
import { PageServer } from './pageServer.js'
import { createRandom } from './random.js'
import { SelfCheck } from './selfCheck.js'
import { applyPeerState, applyFleetView, createPeerMesh, createRecorderLinks, createRequestQueue, recordUnlistedUpstreams } from './wiring.js'

/** Share of the configured retry budget that is used, so that the budget holds even where a window is counted twice. */
const RETRY_BUDGET_SHARE = 0.5

/** Retries per second that each gateway may always make, whatever its load. */
const RETRY_FLOOR_PER_SECOND = 0.5

/** Unused retries that a service can accumulate at one gateway. */
const RETRY_BURST = 5

/** Time after the start of a drain for which new requests are still accepted: the load balancer needs two failed readiness checks, plus a margin. */
const DRAIN_NOTICE_MS: Millis = 2800

/** Time reserved before the end of the grace period, after which the process is killed. */
const GRACE_MARGIN_MS: Millis = 500

/** Interval at which a draining process checks whether its last request has ended. */
const DRAIN_CHECK_INTERVAL_MS = 50

/** Interval at which expired records of crashes and shutdowns are removed and the role in reading the platform's lists is chosen again. */
const MAINTENANCE_INTERVAL_MS: Millis = 500

/** Share of the file descriptors that callers may hold before their connections are closed after each response; the rest is for upstreams and peers. */
const CALLER_DESCRIPTOR_SHARE = 0.5

const SECOND_MS = 1000

const log = createLog('gateway')

/** Ports that a platform adapter implements, and its HTTP endpoints. */
export interface GatewayPorts {
  readonly fleet: FleetPort
  readonly headers: HeaderPort
  /** Path of the load balancer's readiness check. */
  readonly readyPath: string
  /** Port and path of the metrics endpoint; undefined for none. */
  readonly metrics: { readonly port: number, readonly path: string } | undefined
}

/**
 * Starts a gateway.
 *
 * @param settings - settings of this host
 * @param ports - ports of the platform adapter
 */
export const startGateway = async (settings: GatewaySettings, ports: GatewayPorts): Promise<RunningProcess> => {
  const clock = systemClock
  const hash = await loadStringHash()
  const metrics = new GatewayMetrics()
  const zoneBytes = new ZoneBytes(settings.zone, metrics)
  const random = createRandom()
  const placement = placementDefinition.createDb(hash, random)
  const shares = tokenShareDefinition.createDb({ windowMs: settings.shareWindowSeconds * SECOND_MS })
  const crashSuspects = crashSuspectDefinition.createDb()
  const leaving = leavingDefinition.createDb()
  const requestLimits = requestLimitDefinition.createDb(hash, () => mesh.view())
  const streamVersions = streamVersionDefinition.createDb(hash, clock.now())
  const queueDb = settings.queue === undefined ? undefined : admissionQueueDefinition.createDb<QueueOwner>(settings.queue)
  const eventLoop = new EventLoopMonitor(clock, () => { dispatcher.refresh() })
  const receiver = new OffloadReceiver(clock, socket => { callerServer.serve(socket) })
  const mesh: PeerMesh = createPeerMesh(clock, settings, { fleet: ports.fleet, placement, shares, crashSuspects, leaving, requestLimits, streamVersions, eventLoop, zoneBytes, queueDb }, {
    onRequest: (req, res) => streamVersionLookup.handleRequest(req, res) || ports.fleet.handlePeerRequest(req, res),
    webSockets: new Map([
      [OFFLOAD_PATH, (socket, req) => { receiver.accept(socket, req.headers[OFFLOADING_HOST_HEADER]?.toString()) }],
      [RECORDS_PATH, socket => { recorders.accept(socket) }],
      [RECORDER_FLEET_PATH, socket => { recorders.acceptFleetRequest(socket) }]
    ])
  })
  const recentRoutes = new RecentRoutes()
  const recorders: RecorderLinks = createRecorderLinks(clock, settings, () => ctx)
  const streamVersionLookup = new StreamVersionLookup(streamVersions, recentRoutes, mesh, ports.fleet, recorders, random)
  const requestLog = new RequestLog(clock)
  const ctx: FlowContext = {
    settings,
    clock,
    random,
    hash,
    fleet: ports.fleet,
    headers: ports.headers,
    clients: new UpstreamClients((upstream, unsolicited) => { logUnsolicitedBytes(ctx, upstream, unsolicited) }),
    reachability: new ReachabilityCheck(clock, upstream => {
      recordUnreachable(ctx, upstream)
      avoidUpstream(ctx, upstream.id, UNREACHABLE_AVOID_MS)
    }, (upstream, bytes) => { zoneBytes.count('health-check', upstream.zone, bytes) }),
    placement,
    shares,
    crashSuspects,
    leaving,
    requestLimits,
    streamVersions,
    streamVersionLookup,
    recentRoutes,
    recorders,
    coldPace: coldPaceDefinition.createDb(),
    retries: new RetryBudget({ budgetPercent: settings.retryRatio * 100 * RETRY_BUDGET_SHARE, floorPerSecond: RETRY_FLOOR_PER_SECOND, burst: RETRY_BURST }),
    mesh,
    queue: createRequestQueue(queueDb, { clock, fleet: ports.fleet, leaving, shares, placement, metrics, requestLog, scheduleUpdate: () => { mesh.scheduleUpdate() } }),
    minTargetMsByService: new Map(),
    metrics,
    zoneBytes,
    requestLog
  }
  const flow = new RequestFlow(ctx)
  const probe = new ListenQueueProbe(clock, { ...settings.callers, backlog: LISTEN_BACKLOG })
  const offloader = new ConnectionOffloader(clock, ports.headers, settings.host, (zone, bytes) => { zoneBytes.count('offload', zone, bytes + WEB_SOCKET_FRAME_BYTES) })
  const dispatcher: ConnectionDispatcher = new ConnectionDispatcher({
    clock, zone: settings.zone, maxConnections: settings.maxDescriptors * CALLER_DESCRIPTOR_SHARE, random: ctx.random, eventLoop, probe, mesh, offloader, headers: ports.headers, connections: () => callerServer.connections, revision: () => ports.fleet.view.table?.revision ?? -1
  })
  const callerServer: CallerServer = new CallerServer(ctx, flow, {
    admit: socket => {
      if (probe.acceptConnection(socket)) return false
      const { kind } = dispatcher.dispatch(socket)
      loadMonitor.recordAccepted(kind)
      return kind === 'serve'
    },
    minWaitMs: () => probe.minWaitMs,
    shouldClose: () => dispatcher.shouldClose()
  })
  const loadMonitor = new LoadMonitor(clock, ctx.metrics, eventLoop, probe, () => ({ connections: callerServer.connections, offloaded: offloader.size, received: receiver.size, requests: flow.size }), sample => { selfCheck.check(sample) })
  const selfCheck = new SelfCheck(clock, settings.zone, callerServer, mesh)
  let isDraining = false
  const readyServer = new PageServer({ ...settings.ready, path: ports.readyPath }, () => {
    const isReady = !isDraining && !selfCheck.isOutOfRotation && ports.fleet.view.table !== undefined
    return { status: isReady ? 200 : 503, type: 'text/plain', body: isReady ? 'ready\n' : 'not ready\n' }
  })
  let upstreams: FleetView['upstreams'] = new Map()
  onEvent(ports.fleet.changes, log, view => {
    recordUnlistedUpstreams(ctx, upstreams, view.upstreams)
    upstreams = view.upstreams
    applyFleetView(ctx, callerServer, view)
  })
  onEvent(ports.fleet.entryProblems, log, reason => { metrics.rejectedEntries.inc({ reason }) })
  onEvent(mesh.states.stream, log, state => { applyPeerState(ctx, state) })
  onEvent(mesh.lost.stream, log, peer => {
    placement.removePeer(peer, clock.now())
    requestLimits.onMembershipChanged()
    queueDb?.removePeer(peer)
    shares.removePeer(peer)
  })

  const maintenance = clock.every(MAINTENANCE_INTERVAL_MS, () => {
    crashSuspects.settle(clock.now())
    ctx.metrics.crashSuspects.set(crashSuspects.accusations.size)
    leaving.expire(clock.now())
    streamVersions.expire(clock.now())
    recentRoutes.expire(clock.now(), streamVersions.retentionMs)
    placement.expire(clock.now())
    ctx.queue?.expire()
    requestLimits.retainUpstreams(new Set(ports.fleet.view.upstreams.keys()), clock.now())
    ports.fleet.setRole(chooseStoreWatchRole(hash, { self: mesh.self, zone: settings.zone, reachable: mesh.reachablePeers() }))
  })

  const kernel = new Kernel()
  const register = (id: string, service: Service): void => { kernel.register({ id, dependencies: [], create: () => service }) }
  register('clients', { close: async () => { await ctx.clients.close() } })
  register('reachability', ctx.reachability)
  register('stream-versions', streamVersionLookup)
  register('fleet', ports.fleet)
  register('mesh', mesh)
  register('recorders', recorders)
  register('flow', flow)
  if (ctx.queue !== undefined) register('queue', ctx.queue)
  register('offload-receiver', receiver)
  register('offloader', offloader)
  register('callers', callerServer)
  register('load', loadMonitor)
  register('ready', readyServer)
  if (ports.metrics !== undefined) {
    register('metrics', new PageServer({ host: settings.callers.host, ...ports.metrics }, async () => {
      ctx.queue?.updateMetrics()
      ctx.metrics.peers.set(mesh.view().reachable.length)
      writeShareMetrics(ctx.metrics, shares, clock.now())
      ctx.metrics.streamRecorders.set(recorders.size)
      return { status: 200, type: ctx.metrics.registry.contentType, body: await ctx.metrics.registry.metrics() }
    }))
  }
  const close = async (): Promise<void> => {
    maintenance.close()
    await kernel.close()
  }
  await kernel.start().catch(async (err: unknown) => {
    await close()
    throw err
  })
  log.info('started', { host: settings.host, zone: settings.zone, peer: mesh.self })

  const drain = async (): Promise<void> => {
    const startedAt = clock.now()
    isDraining = true
    callerServer.disableKeepAlive()
    dispatcher.disableKeepAlive()
    mesh.broadcastLeaving()
    log.info('draining', { open: flow.size })
    await new Promise<void>(resolve => { clock.after(DRAIN_NOTICE_MS, resolve) })
    callerServer.stopAccepting()
    const endAt = startedAt + settings.graceSeconds * SECOND_MS - GRACE_MARGIN_MS
    while (flow.size + offloader.size > 0 && clock.now() < endAt) {
      await new Promise<void>(resolve => { clock.after(DRAIN_CHECK_INTERVAL_MS, resolve) })
      callerServer.closeIdleConnections()
      offloader.closeIdleConnections()
    }
    flow.refuseWaiting()
    log.info('drained', { open: flow.size, offloaded: offloader.size, ms: Math.round(clock.now() - startedAt) })
  }
  return { drain, close }
}
