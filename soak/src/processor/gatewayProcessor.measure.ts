/**
 * Measures the processor time of compiled, unbundled gateways per request, under the mean load of fleet W: two gateways as processes, stand-ins for their
 * peers that send state updates at the rate of a fleet of 22, and stand-ins for 29 engines and 3 plain upstreams.
 *
 * Options, as `name=value`: gateways, peers, rate (requests a second to each gateway), seconds, profile (1 to print a profile), programs (paths, separated
 * by commas, that the gateways run in turn). Figures of separate runs on a machine with other load differ by a fifth; to compare two builds, run both at once.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { basename, join } from 'node:path'
import { Child, readProcess, seededRandom } from '@fuchsiaworks/bench'
import type { EngineProperties, GatewayRoute, GatewayService, RoutingTable } from '@fuchsiaworks/gateway'
import { asId, type Millis, type ServiceId, systemClock, type WorkspaceId } from '@fuchsiaworks/kernel'
import { putConfig, putUpstream, StoreStandin } from '@fuchsiaworks/platform-adapter/standins'
import { findGatewayPorts, COMPILED_PROGRAM } from '../world/gatewayProcess.js'
import { MeasuredLoad, MEASURED_HOST } from './measuredLoad.js'
import { MeasuredUpstreams } from './measuredUpstreams.js'
import { summarizeProfiles } from './profileSummary.js'
import { SyntheticPeers } from './syntheticPeers.js'

const ENGINES = 29
const PLAIN_UPSTREAMS = 3
const ZONES = 3
const WORKSPACES = 30

/** Time for the gateways to start and for their code to be compiled. */
const START_MS: Millis = 2500
const WARM_UP_MS: Millis = 6000

const OPTIONS = new Map(process.argv.slice(2).map(text => text.split('=') as [string, string]))
const option = (name: string, value: number): number => Number(OPTIONS.get(name) ?? value)
const gatewayCount = option('gateways', 2)
const peerCount = option('peers', 20)
const seconds = option('seconds', 12)
const programs = (OPTIONS.get('programs') ?? COMPILED_PROGRAM).split(',')
const isProfiled = option('profile', 0) === 1

const pause = async (ms: Millis): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

const workspaces = Array.from({ length: WORKSPACES }, (_, nth) => asId<WorkspaceId>(`workspace-${nth}`))
const keys = workspaces.map((_, nth) => `key-${nth}`)

const route = (name: string, service: string, fields: Partial<GatewayRoute>): GatewayRoute => ({
  id: asId(name), host: MEASURED_HOST, prefix: `/${name}/`, targets: [{ service: asId<ServiceId>(service), weight: 1 }], repeatability: 'idempotent', isStream: false, timeoutMs: 15_000, latencyTargetMs: 800, maxAttempts: 3, isPublic: false, ...fields
})

const service = (id: string, engine: EngineProperties | undefined): GatewayService => ({ id: asId<ServiceId>(id), maxConnections: 1000, coldRequestsPerSecond: 0, engine })

const table: RoutingTable = {
  revision: 1,
  routes: [route('stream', 'engine', { repeatability: 'resumable', isStream: true }), route('once', 'plain', { repeatability: 'once' }), route('safe', 'plain', {})],
  services: new Map([service('engine', { kvCapacityTokens: 664_446, copyMsPerThousandTokens: undefined }), service('plain', undefined)].map(one => [one.id, one])),
  workspaceByApiKey: new Map(workspaces.map((workspace, nth) => [keys[nth] ?? '', workspace])),
  limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 5000, idleTimeoutMs: 20_000, tokensPerSecond: 3_000_000 }
}

const folder = mkdtempSync(join(tmpdir(), 'fuchsiaworks-processor-'))
const store = new StoreStandin()
await store.start()
putConfig(store, table)
const upstreams = await MeasuredUpstreams.start(ENGINES + PLAIN_UPSTREAMS)
const upstreamIds = upstreams.addresses.map((_, nth) => `i-7f3a9${String(nth).padStart(5, '0')}`)
for (const [nth, address] of upstreams.addresses.entries()) {
  putUpstream(store, { id: asId(upstreamIds[nth] ?? ''), service: asId(nth < ENGINES ? 'engine' : 'plain'), zone: asId(`zone-${nth % ZONES}`), address, slots: 128, isDraining: false }, 0)
}

const ports = await Promise.all(Array.from({ length: gatewayCount }, findGatewayPorts))
const gateways = ports.map(({ callers, ready, peers }, nth) => {
  const local = (port: number): string => `127.0.0.1:${port}`
  const settings = join(folder, `gateway-${nth}.jsonc`)
  writeFileSync(settings, JSON.stringify({ role: 'gateway', host: `host-${nth}`, zone: `zone-${nth % ZONES}`, callers: local(callers), ready: local(ready), peers: local(peers), seeds: ports.map(one => local(one.peers)), source: store.address, graceSeconds: 8, revokeMs: 5000, retryRatio: 0.2 }))
  return new Child(`gateway ${nth}`, [...isProfiled ? ['--cpu-prof', '--cpu-prof-interval', '500', '--cpu-prof-dir', folder] : [], programs[nth % programs.length] ?? '', 'gateway', '--settings', settings])
})

await pause(START_MS)
const startMs = gateways.map(({ pid }) => readProcess(pid)?.processorMs ?? 0)
const synthetic = await SyntheticPeers.start(systemClock, { peers: peerCount, peersOfEach: gatewayCount + peerCount - 1, upstreams: upstreamIds, workspaces, targets: ports.map(({ peers }) => `127.0.0.1:${peers}`) })
const load = new MeasuredLoad(systemClock, seededRandom(7), ports.map(({ callers }) => callers), option('rate', 35), keys)
load.start()
await pause(WARM_UP_MS)

const processorMs = (): number[] => gateways.map(({ pid }) => readProcess(pid)?.processorMs ?? 0)
const before = { processorMs: processorMs(), at: performance.now(), own: process.cpuUsage(), received: synthetic.received, ...load.counts }
await pause(seconds * 1000)
const own = process.cpuUsage(before.own)
const elapsedMs = performance.now() - before.at
const used = processorMs().map((ms, nth) => ms - (before.processorMs[nth] ?? 0))
const sent = load.counts.sent - before.sent
console.log(`gateways ${gatewayCount}, peers of each ${gatewayCount + peerCount - 1}, ${(sent / gatewayCount * 1000 / elapsedMs).toFixed(1)} requests/s and ${((load.counts.events - before.events) / gatewayCount * 1000 / elapsedMs).toFixed(0)} events/s to each`)
console.log(`served ${load.counts.served - before.served} of ${sent}, refused ${load.counts.refused - before.refused}, failed ${load.counts.failed - before.failed}; updates sent by each: ${peerCount === 0 ? 0 : ((synthetic.received - before.received) / gatewayCount * 1000 / elapsedMs).toFixed(0)}/s`)
for (const [nth, program] of programs.entries()) {
  const ofProgram = used.filter((_, gateway) => gateway % programs.length === nth)
  const sum = ofProgram.reduce((total, ms) => total + ms, 0)
  const startSum = startMs.filter((_, gateway) => gateway % programs.length === nth).reduce((total, ms) => total + ms, 0)
  const perRequest = sum / (sent * ofProgram.length / gatewayCount)
  console.log(`${basename(program)}: start ${Math.round(startSum / ofProgram.length)} ms; ${perRequest.toFixed(2)} ms per request; ${(100 * sum / ofProgram.length / elapsedMs).toFixed(1)} % of a core each`)
}
console.log(`load generator: ${((own.user + own.system) / 10 / elapsedMs).toFixed(0)} % of a core`)

load.close()
synthetic.close()
await pause(isProfiled ? 1500 : 0)
await Promise.all(gateways.map(async gateway => { await (isProfiled ? gateway.close() : gateway.kill()) }))
upstreams.close()
store.close()
if (isProfiled) for (const line of summarizeProfiles(folder, START_MS + WARM_UP_MS)) console.log(line)
rmSync(folder, { recursive: true })
process.exit()
