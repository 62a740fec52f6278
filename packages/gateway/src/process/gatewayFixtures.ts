/** Test fixtures: a gateway in front of upstreams with scripted responses. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, createServer as createRelay, type AddressInfo, type Server as NetServer } from 'node:net'
import { asId, EventSource, type Millis, type RunningProcess, type ServiceId, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { SoftwareVersion } from '@fuchsiaworks/policy'
import type { GatewaySettings } from '@fuchsiaworks/settings'
import { findPorts } from '@fuchsiaworks/standins'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { FleetPort, FleetView, UpstreamEntryProblem } from '../port/fleetPort.js'
import type { CallerAttemptId, HeaderPort, ResponseHead } from '../port/headerPort.js'
import type { GatewayRoute, GatewayUpstream } from '../routing/routingTypes.js'
import { startGateway } from './startGateway.js'

const valueOf = (headers: HeaderList, name: string): string | undefined => headers.find(([key]) => key.toLowerCase() === name)?.[1]

/** Several different ids name no single request. */
const decodeResponseId = (headers: HeaderList): string | undefined => {
  const ids = headers.filter(([key]) => key.toLowerCase() === 'try').map(([, value]) => value)
  return ids.length === 0 ? undefined : [...new Set(ids)].join(', ')
}

/** Reads `RUNNING,WAITING,SLOTS,PERCENT`. */
const decodeLoad = (value: string | undefined): Pick<ResponseHead, 'instanceLoad' | 'instanceLoadProblem'> => {
  if (value === undefined) return {}
  const [running, waiting, slots, workPercent] = value.split(',').map(Number)
  if (running === undefined || waiting === undefined || slots === undefined) return { instanceLoadProblem: 'short' }
  return { instanceLoad: { running, waiting, slots, workPercent } }
}

/** Header codec of these tests. */
export const testHeaders: HeaderPort = {
  eventHeaders: new Set(['versions']),
  decodeCallerHead: headers => {
    const attempt = valueOf(headers, 'try')
    const lastEventId = valueOf(headers, 'last-event-id')
    if (attempt === undefined) return undefined
    const resumes = valueOf(headers, 'resumes')
    return { attempt: asId(attempt), deadlineMs: Number(valueOf(headers, 'deadline') ?? 4000), key: valueOf(headers, 'key'), lastEventId: lastEventId === undefined ? undefined : Number(lastEventId), resumes: resumes === undefined ? undefined : asId<CallerAttemptId>(resumes), prompt: undefined }
  },
  encodeUpstreamHeaders: (headers, context) => [
    ...headers.filter(([name]) => !['key', 'workspace', 'content-length', 'last-event-id', 'deadline'].includes(name.toLowerCase())),
    ['upstream', context.upstream],
    ['deadline', String(context.deadlineMs)],
    ...context.workspace === undefined ? [] : [['workspace', context.workspace] as const],
    ...context.lastEventId === undefined ? [] : [['last-event-id', String(context.lastEventId)] as const]
  ],
  decodeResponseHead: (_status, headers) => ({
    attempt: decodeResponseId(headers),
    seal: valueOf(headers, 'seal'),
    isNotExecuted: valueOf(headers, 'not-run') !== undefined,
    isEncoded: valueOf(headers, 'content-encoding') !== undefined,
    isLeaving: valueOf(headers, 'leaving') !== undefined,
    retryAfterMs: valueOf(headers, 'wait-ms') === undefined ? undefined : Number(valueOf(headers, 'wait-ms')),
    requestLimit: undefined,
    ...decodeLoad(valueOf(headers, 'load'))
  }),
  encodeRetryAfter: retryAfterMs => [['retry-after', String(retryAfterMs / 1000)]]
}

const route = (name: string, fields: Partial<GatewayRoute>): GatewayRoute => ({
  id: asId(name),
  host: 'a.example',
  prefix: `/${name}/`,
  targets: [{ service: asId<ServiceId>('plain'), weight: 1 }],
  repeatability: 'idempotent',
  isStream: false,
  timeoutMs: 3000,
  latencyTargetMs: 500,
  maxAttempts: 2,
  isPublic: true,
  ...fields
})

const TEST_ROUTES = [
  route('safe', {}),
  route('once', { repeatability: 'once' }),
  route('keyed', { isPublic: false }),
  route('stream', { repeatability: 'resumable', isStream: true }),
  route('long', { repeatability: 'resumable', isStream: true, maxAttempts: 3 })
]

/** Responds to a request in place of an upstream. */
export type Script = (req: IncomingMessage, res: ServerResponse, body: string) => void

/** Time after which a relay finds that its upstream has crashed; a request may have been sent by then. */
const RELAY_RESET_MS: Millis = 5

/** A request that reached an upstream. */
export interface Arrival {
  readonly upstream: string
  readonly req: IncomingMessage
  readonly body: string
}

/** A running gateway with its upstreams. */
export interface GatewayUnderTest {
  readonly arrivals: Arrival[]
  readonly view: FleetView
  /** Age that the fleet port reports for the view. */
  viewAgeMs: Millis
  /** Time for which the fleet port reports to have followed the list of upstreams. */
  completeForMs: Millis
  readonly running: RunningProcess
  readonly callersPort: number
  /** Stops an upstream at once and closes its connections; it stays listed. */
  crashUpstream: (id: string) => void
  /** Makes an upstream that has crashed listen again on its port. */
  reviveUpstream: (id: string) => Promise<void>
  /** As `crashUpstream`, with a relay in front of the upstream that accepts connections and resets them when it cannot connect. */
  crashBehindRelay: (id: string) => void
  /** Removes all upstreams from the list. */
  removeUpstreams: () => void
  /** Lists an upstream with another software version; undefined for none. */
  setVersion: (id: string, version: string | undefined) => void
  /** Lists an upstream with another address. */
  setAddress: (id: string, address: string) => void
  /** Lists an upstream again as a new process under the same id and address. */
  restartUpstream: (id: string) => void
  /** As `exchangeRaw`, to the port for callers. */
  sendRaw: (bytes: string | Buffer, quietMs?: Millis) => Promise<string>
  /** Sends raw bytes and half-closes the connection right after them. */
  sendAndDisconnect: (bytes: string) => Promise<void>
  /** Sends one request over a connection of its own and returns the raw response. */
  sendRequest: (path: string, headers?: string, body?: string) => Promise<string>
  /** Returns the samples of a metric by their labels. */
  readMetric: (name: string) => Promise<Record<string, number>>
  /** Returns the raw response to the load balancer's readiness check. */
  checkReadiness: () => Promise<string>
  close: () => Promise<void>
}

const startUpstream = async (id: string, script: Script, arrivals: Arrival[]): Promise<{ server: Server, upstream: GatewayUpstream }> => {
  const server = createServer((req, res) => {
    let body = ''
    req.on('data', chunk => { body += String(chunk) })
    req.on('end', () => {
      arrivals.push({ upstream: id, req, body })
      script(req, res, body)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return { server, upstream: { id: asId<UpstreamId>(id), service: asId('plain'), address, zone: asId<ZoneId>('east'), version: undefined, slots: 8, isDraining: false, startedAt: 1, coldUntil: 0 } }
}

/** Sends raw bytes over a new connection and returns what is received until it closes or nothing more arrives for `quietMs`. */
export const exchangeRaw = async (port: number, bytes: string | Buffer, quietMs: Millis): Promise<string> => await new Promise(resolve => {
  const socket = connect(port, '127.0.0.1')
  let received = ''
  const finish = (): void => {
    socket.destroy()
    resolve(received)
  }
  let quietTimer = setTimeout(finish, 3000)
  socket.on('data', chunk => {
    received += chunk.toString()
    clearTimeout(quietTimer)
    quietTimer = setTimeout(finish, quietMs)
  })
  socket.on('close', finish)
  socket.on('error', finish)
  socket.write(bytes)
})

/**
 * Starts a gateway in front of upstreams named `u0`, `u1` and so on.
 *
 * @param scripts - one per upstream
 */
export const startUnderTest = async (...scripts: Script[]): Promise<GatewayUnderTest> => await startWithSettings({}, ...scripts)

/** As `startUnderTest`, with settings of its own. */
export const startWithSettings = async (ownSettings: Partial<GatewaySettings>, ...scripts: Script[]): Promise<GatewayUnderTest> => {
  const arrivals: Arrival[] = []
  const started = await Promise.all(scripts.map(async (script, at) => await startUpstream(`u${at}`, script, arrivals)))
  const view: FleetView = {
    table: {
      revision: 3,
      routes: TEST_ROUTES,
      services: new Map([[asId<ServiceId>('plain'), { id: asId<ServiceId>('plain'), maxConnections: 50, coldRequestsPerSecond: 0, engine: undefined }]]),
      workspaceByApiKey: new Map([['k1', asId<WorkspaceId>('w1')]]),
      limits: { headerBytes: 2000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 2000, tokensPerSecond: undefined }
    },
    upstreams: new Map(started.map(({ upstream }) => [upstream.id, upstream])),
    excludedZones: new Set()
  }
  const viewChanges = new EventSource<FleetView>()
  const [callers = 0, ready = 0, peers = 0, metrics = 0] = await findPorts(4)
  const state = { arrivals, view, viewAgeMs: 0, completeForMs: 60_000 }
  let current = view
  const fleet: FleetPort = {
    get view () { return current },
    changes: viewChanges.stream,
    entryProblems: new EventSource<UpstreamEntryProblem>().stream,
    confirmedAgeMs: () => state.viewAgeMs,
    completeForMs: () => state.completeForMs,
    confirm: async () => state.viewAgeMs === 0,
    setRole: () => {},
    handlePeerRequest: () => false,
    start: () => { viewChanges.emit(view) },
    close: async () => {}
  }
  const localAddress = (port: number) => ({ host: '127.0.0.1', port })
  const relays: NetServer[] = []
  const closeUpstreams = (): void => {
    for (const relay of relays) relay.close()
    for (const { server } of started) {
      server.close()
      server.closeAllConnections()
    }
  }
  const crashUpstream = (id: string, onClosed = (_port: number): void => {}): void => {
    for (const { server, upstream } of started) {
      if (upstream.id !== id) continue
      server.close(() => { onClosed(Number(upstream.address.split(':')[1])) })
      server.closeAllConnections()
    }
  }
  const listAgain = (id: string, fields: Partial<GatewayUpstream>): void => {
    const upstreams = [...current.upstreams.values()].map(upstream => upstream.id === id ? { ...upstream, ...fields } : upstream)
    current = { ...current, upstreams: new Map(upstreams.map(upstream => [upstream.id, upstream])) }
    viewChanges.emit(current)
  }
  const running = await startGateway({
    role: 'gateway',
    host: asId('h1'),
    zone: asId('east'),
    callers: localAddress(callers),
    ready: localAddress(ready),
    peers: localAddress(peers),
    seeds: [],
    source: '',
    graceSeconds: 8,
    revokeMs: 5000,
    retryRatio: 0.2,
    shareWindowSeconds: 4,
    maxDescriptors: 4096,
    logLevel: 'error',
    ...ownSettings
  }, { fleet, headers: testHeaders, readyPath: '/ready', metrics: { port: metrics, path: '/metrics' } }).catch((err: unknown) => {
    closeUpstreams()
    throw err
  })
  return Object.assign(state, {
    running,
    callersPort: callers,
    crashUpstream: (id: string) => { crashUpstream(id) },
    reviveUpstream: async (id: string) => {
      const crashed = started.find(({ upstream }) => upstream.id === id)
      await new Promise<void>(resolve => { crashed?.server.listen(Number(crashed.upstream.address.split(':')[1]), '127.0.0.1', resolve) })
    },
    crashBehindRelay: (id: string) => {
      crashUpstream(id, port => { relays.push(createRelay(socket => { setTimeout(() => { socket.resetAndDestroy() }, RELAY_RESET_MS) }).listen(port, '127.0.0.1')) })
    },
    setVersion: (id: string, version: string | undefined) => { listAgain(id, { version: version === undefined ? undefined : asId<SoftwareVersion>(version) }) },
    setAddress: (id: string, address: string) => { listAgain(id, { address }) },
    restartUpstream: (id: string) => { listAgain(id, { startedAt: (current.upstreams.get(asId(id))?.startedAt ?? 0) + 1 }) },
    removeUpstreams: () => {
      current = { ...view, upstreams: new Map() }
      viewChanges.emit(current)
    },
    sendRaw: async (bytes: string | Buffer, quietMs = 80) => await exchangeRaw(callers, bytes, quietMs),
    sendAndDisconnect: async (bytes: string) => {
      await new Promise<void>(resolve => {
        const socket = connect(callers, '127.0.0.1', () => { socket.end(bytes) })
        socket.on('error', () => {})
        socket.on('close', () => { resolve() })
        socket.resume()
      })
    },
    sendRequest: async (path: string, headers = '', body = '') => {
      const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`
      return await exchangeRaw(callers, `POST ${path} HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\nConnection: close\r\n${headers}${length}\r\n${body}`, 2500)
    },
    readMetric: async (name: string) => {
      const text = await exchangeRaw(metrics, 'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', 200)
      const samples = text.matchAll(new RegExp(`^${name}\\{(.*)\\} (\\S+)$`, 'gm'))
      return Object.fromEntries([...samples].map(([, labels = '', value]) => [labels, Number(value)]))
    },
    checkReadiness: async () => await exchangeRaw(ready, 'GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', 200),
    close: async () => {
      await running.close()
      closeUpstreams()
    }
  })
}
