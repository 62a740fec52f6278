/** Test fixtures: several gateways that know each other, in front of engines that stream events. */
import { createServer, type IncomingMessage, request, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { asId, EventSource, type Millis, type RunningProcess, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { findPorts } from '@fuchsiaworks/standins'
import type { FleetPort, FleetView, UpstreamEntryProblem } from '../port/fleetPort.js'
import type { HeaderPort, PromptMetadata } from '../port/headerPort.js'
import type { GatewayRoute, GatewayUpstream } from '../routing/routingTypes.js'
import { testHeaders } from './gatewayFixtures.js'
import { startGateway } from './startGateway.js'

const ENGINE = asId<ServiceId>('engine')

const ROUTE: GatewayRoute = {
  id: asId('stream'),
  host: 'a.example',
  prefix: '/stream/',
  targets: [{ service: ENGINE, weight: 1 }],
  repeatability: 'resumable',
  isStream: true,
  timeoutMs: 4000,
  latencyTargetMs: 600,
  maxAttempts: 2,
  isPublic: false
}

/** As the codec of the other tests; the prompt is a header with JSON. */
const headers: HeaderPort = {
  ...testHeaders,
  decodeCallerHead: list => {
    const head = testHeaders.decodeCallerHead(list)
    const prompt = list.find(([name]) => name.toLowerCase() === 'prompt')?.[1]
    return head === undefined || prompt === undefined ? head : { ...head, prompt: JSON.parse(prompt) as PromptMetadata }
  }
}

/** Engines and the gateways in front of them. */
export interface EngineFleetOptions {
  readonly gateways: number
  readonly engines: number
  readonly slots: number
  readonly kvCapacityTokens: number
  readonly tokensPerSecond: number | undefined
  readonly workspaces: readonly string[]
  readonly firstEventMs: Millis
  readonly eventIntervalMs: Millis
  readonly events: number
}

/** A response that was read to its end; status 0 and the reason when the connection failed. */
export interface EngineResponse {
  readonly status: number
  readonly body: string
}

/** Running gateways and engines. */
export interface RunningEngineFleet {
  /** Sends a request to a gateway; the API key is the name of the workspace. */
  readonly send: (gateway: number, workspace: string, prompt: PromptMetadata) => Promise<EngineResponse>
  /** Returns the metrics page of a gateway. */
  readonly metrics: (gateway: number) => Promise<string>
  readonly close: () => Promise<void>
}

const startEngine = async (id: string, { slots, firstEventMs, eventIntervalMs, events }: EngineFleetOptions): Promise<{ server: Server, upstream: GatewayUpstream }> => {
  const stream = (req: IncomingMessage, res: ServerResponse): void => {
    res.writeHead(200, { seal: 's', try: String(req.headers['try']), 'content-type': 'text/event-stream' })
    for (let nth = 1; nth <= events; nth++) {
      setTimeout(() => {
        res.write(`id: ${nth}\ndata: d${nth}\n\n`)
        if (nth === events) res.end()
      }, firstEventMs + (nth - 1) * eventIntervalMs)
    }
  }
  const server = createServer((req, res) => { req.resume().on('end', () => { stream(req, res) }) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return { server, upstream: { id: asId<UpstreamId>(id), service: ENGINE, address, zone: asId('east'), version: undefined, slots, isDraining: false, startedAt: 1, coldUntil: 0 } }
}

const createView = ({ kvCapacityTokens, tokensPerSecond, workspaces }: EngineFleetOptions, upstreams: readonly GatewayUpstream[]): FleetView => ({
  table: {
    revision: 1,
    routes: [ROUTE],
    services: new Map([[ENGINE, { id: ENGINE, maxConnections: 50, coldRequestsPerSecond: 0, engine: { kvCapacityTokens, copyMsPerThousandTokens: undefined } }]]),
    workspaceByApiKey: new Map(workspaces.map(name => [name, asId<WorkspaceId>(name)])),
    limits: { headerBytes: 4000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 2000, tokensPerSecond }
  },
  upstreams: new Map(upstreams.map(upstream => [upstream.id, upstream])),
  excludedZones: new Set()
})

const exchange = async (port: number, path: string, requestHeaders: Record<string, string>): Promise<EngineResponse> => await new Promise(resolve => {
  const fail = (err: Error): void => { resolve({ status: 0, body: err.message }) }
  const req = request({ host: '127.0.0.1', port, path, method: 'GET', headers: { host: 'a.example', ...requestHeaders } }, res => {
    let body = ''
    res.on('data', chunk => { body += String(chunk) })
    res.on('end', () => { resolve({ status: res.statusCode ?? 0, body }) })
    res.on('error', fail)
  })
  req.on('error', fail)
  req.end()
})

/** Starts gateways that discover each other through the first one. */
export const startEngineFleet = async (options: EngineFleetOptions): Promise<RunningEngineFleet> => {
  const engines = await Promise.all(Array.from({ length: options.engines }, async (_, nth) => await startEngine(`e${nth}`, options)))
  const view = createView(options, engines.map(({ upstream }) => upstream))
  const ports = await findPorts(options.gateways * 4)
  const localAddress = (port: number) => ({ host: '127.0.0.1', port })
  const portOf = (gateway: number, nth: number): number => ports[gateway * 4 + nth]!
  const startOne = async (gateway: number): Promise<RunningProcess> => {
    const changes = new EventSource<FleetView>()
    const fleet: FleetPort = { view, changes: changes.stream, entryProblems: new EventSource<UpstreamEntryProblem>().stream, confirmedAgeMs: () => 0, completeForMs: () => 60_000, confirm: async () => true, setRole: () => {}, handlePeerRequest: () => false, start: () => { changes.emit(view) }, close: async () => {} }
    return await startGateway({
      role: 'gateway',
      host: asId(`h${gateway}`),
      zone: asId('east'),
      callers: localAddress(portOf(gateway, 0)),
      ready: localAddress(portOf(gateway, 1)),
      peers: localAddress(portOf(gateway, 2)),
      seeds: [`127.0.0.1:${portOf(0, 2)}`],
      source: '',
      graceSeconds: 8,
      revokeMs: 5000,
      retryRatio: 0.2,
      shareWindowSeconds: 4,
      maxDescriptors: 4096,
      logLevel: 'error'
    }, { fleet, headers, readyPath: '/ready', metrics: { port: portOf(gateway, 3), path: '/metrics' } })
  }
  const running = await Promise.all(Array.from({ length: options.gateways }, async (_, gateway) => await startOne(gateway)))
  let sent = 0
  return {
    send: async (gateway, workspace, prompt) => {
      sent += 1
      return await exchange(portOf(gateway, 0), '/stream/x', { try: `t${sent}`, key: workspace, prompt: JSON.stringify(prompt) })
    },
    metrics: async gateway => (await exchange(portOf(gateway, 3), '/metrics', {})).body,
    close: async () => {
      await Promise.all(running.map(async process => { await process.close() }))
      for (const { server } of engines) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}
