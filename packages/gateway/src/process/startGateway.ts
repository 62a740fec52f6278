/** Starts a gateway: a router that sends requests straight to upstreams. */
import { randomBytes } from 'node:crypto'
import { createLog, Kernel, type Millis, onEvent, type RunningProcess, type Service, systemClock } from '@fuchsiaworks/kernel'
import { chooseReadingRole, coldPaceDefinition, crashSuspectDefinition, loadStringHash, placementDefinition, RetryBudget, tokenShareDefinition } from '@fuchsiaworks/policy'
import { CallerServer } from '../callers/callerServer.js'
import { GatewayMetrics } from '../log/gatewayMetrics.js'
import { RequestLog } from '../log/requestLog.js'
import type { FleetPort, FleetView } from '../port/fleetPort.js'
import type { GatewaySettings } from '@fuchsiaworks/settings'
import type { HeaderPort } from '../port/headerPort.js'
import type { FlowContext } from '../requests/flowContext.js'
import { RequestFlow } from '../requests/requestFlow.js'
import { UpstreamClients } from '../upstreams/upstreamClients.js'
import { PlainPage } from './plainPage.js'
import { SelfCheck } from './selfCheck.js'
import { applyPeer, applyView, createMesh, noteUnlisted } from './wiring.js'

/** Share of the fleet's retry budget that is used, so that two counts of one window stay below it. */
const RETRY_BUDGET_SHARE = 0.5

/** Retries a second that one router is allowed whatever its load. */
const RETRY_FLOOR_PER_SECOND = 0.5

/** Unused retries that a service saves up at one router. */
const RETRY_BURST = 5

/** Milliseconds after the word to end for which new requests are still taken: the balancer needs two missed questions and a margin. */
const DRAIN_NOTICE_MS: Millis = 2800

/** Milliseconds kept free before the process would be killed. */
const GRACE_MARGIN_MS: Millis = 500

/** Milliseconds between two looks whether the last request has ended. */
const DRAIN_CHECK_MS = 50

/** Milliseconds between two looks at who reads the platform's lists for whom, and at what can be forgotten. */
const UPKEEP_MS: Millis = 500

/** Milliseconds in a second. */
const SECOND_MS = 1000

const log = createLog('gateway')

/** What an adapter hands in. */
export interface GatewayPorts {
  readonly fleet: FleetPort
  readonly headers: HeaderPort
  /** Path of the balancer's question whether the router takes callers. */
  readonly readyPath: string
  /** Port and path at which metrics are served; undefined for none. */
  readonly metrics: { readonly port: number, readonly path: string } | undefined
}

/**
 * Starts a gateway.
 *
 * @param settings - local settings
 * @param ports - the adapter to the platform
 * @returns the running process
 */
export const startGateway = async (settings: GatewaySettings, ports: GatewayPorts): Promise<RunningProcess> => {
  const clock = systemClock
  const hash = await loadStringHash()
  const placement = placementDefinition.createDb(hash)
  const shares = tokenShareDefinition.createDb({ windowMs: settings.shareWindowSeconds * SECOND_MS })
  const crashers = crashSuspectDefinition.createDb()
  const mesh = createMesh(clock, settings, { fleet: ports.fleet, placement, shares, crashSuspects: crashers })
  const ctx: FlowContext = {
    settings,
    clock,
    random: () => randomBytes(4).readUInt32LE() / 2 ** 32,
    hash,
    fleet: ports.fleet,
    headers: ports.headers,
    clients: new UpstreamClients(),
    placement,
    shares,
    crashSuspects: crashers,
    coldPace: coldPaceDefinition.createDb(),
    retries: new RetryBudget({ budgetPercent: settings.retryRatio * 100 * RETRY_BUDGET_SHARE, floorPerSecond: RETRY_FLOOR_PER_SECOND, burst: RETRY_BURST }),
    mesh,
    shortestTargets: new Map(),
    metrics: new GatewayMetrics(),
    requestLog: new RequestLog(clock)
  }
  const flow = new RequestFlow(ctx)
  const callers = new CallerServer(ctx, flow)
  const selfCheck = new SelfCheck(clock, settings.zone, callers, mesh)
  let ending = false
  const ready = new PlainPage({ ...settings.ready, path: ports.readyPath }, () => {
    const ok = !ending && !selfCheck.isOut && ports.fleet.view.table !== undefined
    return { status: ok ? 200 : 503, type: 'text/plain', body: ok ? 'ready\n' : 'not ready\n' }
  })
  let upstreams: FleetView['upstreams'] = new Map()
  onEvent(ports.fleet.changes, log, view => {
    noteUnlisted(ctx, upstreams, view.upstreams)
    upstreams = view.upstreams
    applyView(ctx, callers, view)
  })
  onEvent(mesh.states.stream, log, state => { applyPeer(ctx, state) })
  onEvent(mesh.lost.stream, log, peer => {
    placement.removePeer(peer)
    shares.removePeer(peer)
  })

  const upkeep = clock.every(UPKEEP_MS, () => {
    crashers.expire(clock.now())
    ports.fleet.setRole(chooseReadingRole(hash, { self: mesh.self, zone: settings.zone, neighbours: mesh.neighbours() }))
  })

  const kernel = new Kernel()
  const register = (id: string, service: Service): void => { kernel.register({ id, dependencies: [], create: () => service }) }
  register('clients', { close: async () => { await ctx.clients.close() } })
  register('fleet', ports.fleet)
  register('mesh', mesh)
  register('flow', flow)
  register('callers', callers)
  register('self-check', selfCheck)
  register('ready', ready)
  if (ports.metrics !== undefined) {
    register('metrics', new PlainPage({ host: settings.callers.host, ...ports.metrics }, async () => {
      ctx.metrics.peers.set(mesh.view().reachable.length)
      return { status: 200, type: ctx.metrics.registry.contentType, body: await ctx.metrics.registry.metrics() }
    }))
  }
  await kernel.start()
  log.info('started', { host: settings.host, zone: settings.zone, peer: mesh.self })

  const drain = async (): Promise<void> => {
    const startedAt = clock.now()
    ending = true
    callers.startClosing()
    mesh.leave()
    log.info('draining', { open: flow.size })
    await new Promise<void>(resolve => { clock.after(DRAIN_NOTICE_MS, resolve) })
    callers.startRefusing()
    const endAt = startedAt + settings.graceSeconds * SECOND_MS - GRACE_MARGIN_MS
    while (flow.size > 0 && clock.now() < endAt) {
      await new Promise<void>(resolve => { clock.after(DRAIN_CHECK_MS, resolve) })
      callers.closeIdle()
    }
    log.info('drained', { open: flow.size, ms: Math.round(clock.now() - startedAt) })
  }
  return {
    drain,
    close: async () => {
      upkeep.close()
      await kernel.close()
    }
  }
}
