/** A gateway before scripted upstreams, for tests. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, createServer as createNetServer } from 'node:net'
import { asId, EventSource, type Millis, type RunningProcess, type ServiceId, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { FleetPort, FleetView } from '../port/fleetPort.js'
import type { HeaderPort } from '../port/headerPort.js'
import type { GatewayRoute, GatewayUpstream } from '../routing/routingTypes.js'
import { startGateway } from './startGateway.js'

const valueOf = (headers: HeaderList, name: string): string | undefined => headers.find(([key]) => key.toLowerCase() === name)?.[1]

/** Header names of these tests. */
const testHeaders: HeaderPort = {
  decodeCallerHead: headers => {
    const attempt = valueOf(headers, 'try')
    const resumeAfter = valueOf(headers, 'last-event-id')
    if (attempt === undefined) return undefined
    return { attempt: asId(attempt), deadlineMs: 4000, key: valueOf(headers, 'key'), lastEventId: resumeAfter === undefined ? undefined : Number(resumeAfter), prompt: undefined }
  },
  encodeUpstreamHeaders: (headers, call) => [
    ...headers.filter(([name]) => !['key', 'workspace', 'content-length', 'last-event-id'].includes(name.toLowerCase())),
    ['upstream', call.upstream],
    ...call.workspace === undefined ? [] : [['workspace', call.workspace] as const],
    ...call.lastEventId === undefined ? [] : [['last-event-id', String(call.lastEventId)] as const]
  ],
  decodeResponseHead: (_status, headers) => ({
    attempt: valueOf(headers, 'try'),
    isSealed: valueOf(headers, 'seal') !== undefined,
    isNotExecuted: valueOf(headers, 'not-run') !== undefined,
    isEncoded: valueOf(headers, 'content-encoding') !== undefined
  }),
  encodeRetryAfter: returnMs => [['retry-after', String(returnMs / 1000)]]
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

/** Routes of these tests. */
const ROUTES = [
  route('safe', {}),
  route('once', { repeatability: 'once' }),
  route('keyed', { isPublic: false }),
  route('stream', { repeatability: 'resumable', isStream: true })
]

/** How one upstream answers a request. */
export type Script = (req: IncomingMessage, res: ServerResponse, body: string) => void

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
  /** Age of the view that the gateway is told. */
  age: Millis
  readonly running: RunningProcess
  /** Ends an upstream at once, with its connections; it stays in the list. */
  endUpstream: (id: string) => void
  /** Takes every upstream out of the list. */
  unlistUpstreams: () => void
  /** Sends raw bytes on a new connection and returns all that comes until it ends or is quiet. */
  raw: (bytes: string, quietMs?: Millis) => Promise<string>
  /** Sends raw bytes and closes the connection with them. */
  sendAndLeave: (bytes: string) => Promise<void>
  /** Sends one request; its connection is closed afterwards. */
  ask: (path: string, headers?: string, body?: string) => Promise<string>
  /** Status of the balancer's question. */
  ready: () => Promise<string>
  close: () => Promise<void>
}

const freePort = async (): Promise<number> => await new Promise(resolve => {
  const probe = createNetServer().listen(0, '127.0.0.1', () => {
    const { port } = probe.address() as AddressInfo
    probe.close(() => { resolve(port) })
  })
})

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
  return { server, upstream: { id: asId<UpstreamId>(id), service: asId('plain'), address, zone: asId<ZoneId>('east'), slots: 8, isDraining: false, coldUntil: 0 } }
}

const exchangeRaw = async (port: number, bytes: string, quietMs: Millis): Promise<string> => await new Promise(resolve => {
  const socket = connect(port, '127.0.0.1')
  let got = ''
  const finish = (): void => {
    socket.destroy()
    resolve(got)
  }
  let quiet = setTimeout(finish, 3000)
  socket.on('data', chunk => {
    got += chunk.toString()
    clearTimeout(quiet)
    quiet = setTimeout(finish, quietMs)
  })
  socket.on('close', finish)
  socket.on('error', finish)
  socket.write(bytes)
})

/**
 * Starts a gateway before upstreams named `u0`, `u1` and so on.
 *
 * @param scripts - one for each upstream
 */
export const startUnderTest = async (...scripts: Script[]): Promise<GatewayUnderTest> => {
  const arrivals: Arrival[] = []
  const started = await Promise.all(scripts.map(async (script, at) => await startUpstream(`u${at}`, script, arrivals)))
  const view: FleetView = {
    table: {
      revision: 3,
      routes: ROUTES,
      services: new Map([[asId<ServiceId>('plain'), { id: asId<ServiceId>('plain'), maxConnections: 50, coldRequestsPerSecond: 0, engine: undefined }]]),
      workspaceByApiKey: new Map([['k1', asId<WorkspaceId>('w1')]]),
      limits: { headerBytes: 2000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 2000, tokensPerSecond: undefined }
    },
    upstreams: new Map(started.map(({ upstream }) => [upstream.id, upstream])),
    excludedZones: new Set()
  }
  const source = new EventSource<FleetView>()
  const [callers, ready, peers] = [await freePort(), await freePort(), await freePort()]
  const under = { arrivals, view, age: 0 }
  let current = view
  const fleet: FleetPort = {
    get view () { return current },
    changes: source.stream,
    confirmedAgeMs: () => under.age,
    setRole: () => {},
    handlePeerRequest: () => false,
    start: () => { source.emit(view) },
    close: async () => {}
  }
  const at = (port: number) => ({ host: '127.0.0.1', port })
  const running = await startGateway({
    role: 'gateway',
    host: asId('h1'),
    zone: asId('east'),
    callers: at(callers),
    ready: at(ready),
    peers: at(peers),
    seeds: [],
    source: '',
    graceSeconds: 8,
    revokeMs: 5000,
    retryRatio: 0.2,
    shareWindowSeconds: 4,
    logLevel: 'error'
  }, { fleet, headers: testHeaders, readyPath: '/ready', metrics: undefined })
  return Object.assign(under, {
    running,
    endUpstream: (id: string) => {
      for (const { server, upstream } of started) {
        if (upstream.id !== id) continue
        server.close()
        server.closeAllConnections()
      }
    },
    unlistUpstreams: () => {
      current = { ...view, upstreams: new Map() }
      source.emit(current)
    },
    raw: async (bytes: string, quietMs = 80) => await exchangeRaw(callers, bytes, quietMs),
    sendAndLeave: async (bytes: string) => {
      await new Promise<void>(resolve => {
        const socket = connect(callers, '127.0.0.1', () => { socket.end(bytes) })
        socket.on('error', () => {})
        socket.on('close', () => { resolve() })
        socket.resume()
      })
    },
    ask: async (path: string, headers = '', body = '') => {
      const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`
      return await exchangeRaw(callers, `POST ${path} HTTP/1.1\r\nHost: a.example\r\nTry: t1\r\nConnection: close\r\n${headers}${length}\r\n${body}`, 2500)
    },
    ready: async () => await exchangeRaw(ready, 'GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', 200),
    close: async () => {
      await running.close()
      for (const { server } of started) {
        server.close()
        server.closeAllConnections()
      }
    }
  })
}
