/** HTTP server of the administration API: JSON on a separate port. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createLog, type Millis, toError } from '@fuchsiaworks/kernel'
import type * as z from 'zod'
import type { BoundRoute } from '../routes/routeTypes.js'
import { AdminRequestError, badRequest, unauthorized, unknownRoute, wrongMethod } from './adminErrors.js'
import { createKeyCheck } from './adminKey.js'
import { readBody } from './readBody.js'

/** Default address; reachable only from the same host. */
const LOOPBACK = '127.0.0.1'

/** Milliseconds within which a complete request must have arrived. */
const REQUEST_TIMEOUT_MS = 10_000

/** Number of checks for late requests per request timeout. */
const CHECKS_PER_TIMEOUT = 4

/** Largest accepted header section, in bytes. */
const MAX_HEADER_BYTES = 8192

/** Limit of open connections; operators and probes need few. */
const MAX_CONNECTIONS = 128

const log = createLog('admin')

/** Options of the server. */
export interface AdminOptions {
  /** IP address to listen on; loopback by default. */
  readonly host?: string
  /** Port; 0 lets the operating system choose one. */
  readonly port: number
  readonly key: string
  readonly routes: readonly BoundRoute[]
  /** Milliseconds within which a complete request must have arrived. */
  readonly requestTimeout?: Millis
}

/** A running server of the administration API. */
export interface AdminServer {
  readonly address: { readonly host: string, readonly port: number }
  /** Stops listening and closes all connections. */
  close: () => Promise<void>
}

const parseUrl = (req: IncomingMessage): URL => {
  try {
    // The base only makes the URL absolute; its host is not used.
    return new URL(req.url ?? '', 'http://admin')
  } catch {
    throw badRequest('the request target is not a path')
  }
}

const validateInput = (part: string, schema: z.ZodType, value: unknown): unknown => {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  const issues = result.error.issues.map(issue => `${[part, ...issue.path].join('.')}: ${issue.message}`)
  throw badRequest(issues.join('; '))
}

const sendJson = (res: ServerResponse, status: number, contentType: string, value: unknown, headers: Readonly<Record<string, string>> = {}): void => {
  const text = JSON.stringify(value)
  res.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(text), 'cache-control': 'no-store', ...headers })
  res.end(text)
}

const sendError = (res: ServerResponse, err: unknown): void => {
  if (res.headersSent || res.destroyed) return
  if (err instanceof AdminRequestError) {
    const problem = { type: 'about:blank', title: err.code, status: err.status, detail: err.message }
    sendJson(res, err.status, 'application/problem+json', problem, err.headers)
    return
  }
  log.error('handler of an administration route failed', { reason: toError(err).message })
  sendJson(res, 500, 'application/problem+json', { type: 'about:blank', title: 'internal', status: 500, detail: 'the route failed' })
}

const findRoute = (routes: readonly BoundRoute[], method: string | undefined, path: string): BoundRoute => {
  const candidates = routes.filter(route => route.path === path)
  if (candidates.length === 0) throw unknownRoute()
  const route = candidates.find(candidate => candidate.method === method)
  if (route === undefined) throw wrongMethod(candidates.map(candidate => candidate.method))
  return route
}

const isOpen = (routes: readonly BoundRoute[], path: string): boolean =>
  routes.some(route => route.path === path && route.access === 'open')

const handleRequest = async (options: AdminOptions, isAuthorized: (header: string | undefined) => boolean, req: IncomingMessage, res: ServerResponse): Promise<void> => {
  const url = parseUrl(req)
  // Checked before the route is looked up, so that requests without the key cannot discover paths.
  if (!isOpen(options.routes, url.pathname) && !isAuthorized(req.headers.authorization)) throw unauthorized()
  const route = findRoute(options.routes, req.method, url.pathname)
  const query = validateInput('query', route.query, Object.fromEntries(url.searchParams))
  const body = validateInput('body', route.body, await readBody(req))
  const value = await route.handle({ query, body })
  sendJson(res, route.statusOf?.(value) ?? 200, 'application/json', value)
}

const listen = async (server: Server, host: string, port: number): Promise<AddressInfo> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server.address() as AddressInfo
}

/**
 * Starts the administration API.
 *
 * @param options - address, key and routes
 * @returns the server once it listens
 */
export const startAdmin = async (options: AdminOptions): Promise<AdminServer> => {
  const requestTimeout = options.requestTimeout ?? REQUEST_TIMEOUT_MS
  const isAuthorized = createKeyCheck(options.key)
  const server = createServer({
    requestTimeout,
    headersTimeout: requestTimeout,
    connectionsCheckingInterval: requestTimeout / CHECKS_PER_TIMEOUT,
    maxHeaderSize: MAX_HEADER_BYTES
  }, (req, res) => {
    handleRequest(options, isAuthorized, req, res).catch(err => { sendError(res, err) })
  })
  server.maxConnections = MAX_CONNECTIONS
  const { address, port } = await listen(server, options.host ?? LOOPBACK, options.port)
  return { address: { host: address, port }, close: async () => { await closeServer(server) } }
}

const closeServer = async (server: Server): Promise<void> => {
  await new Promise<void>(resolve => {
    server.close(() => { resolve() })
    server.closeAllConnections()
  })
}
