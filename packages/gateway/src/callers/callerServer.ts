/** Takes callers' requests over HTTP, routes and authenticates them, and opens them in the flow. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createLog, type Millis, type Service, toError, type WorkspaceId } from '@fuchsiaworks/kernel'
import { mayAcceptApiKeys, type AbandonmentSample } from '@fuchsiaworks/policy'
import { endToEndHeaders, pairHeaders } from '@fuchsiaworks/wire'
import type { CallerHead } from '../port/headerPort.js'
import { drawService, findGatewayRoute } from '../routing/findRoute.js'
import type { GatewayRoute, RoutingTable } from '../routing/routingTypes.js'
import type { FlowContext } from '../requests/flowContext.js'
import { type Refusal, sendRefusal } from '../requests/refusals.js'
import type { RequestFlow } from '../requests/requestFlow.js'
import { readCallerBody } from './readBody.js'

/** Bytes of headers that the HTTP parser takes; the configured bound is checked afterwards. */
const MAX_PARSED_HEADER_BYTES = 64 * 1024

/** Milliseconds beyond the configured idle time for which a connection stays open, so that a request sent at the last moment is still read. */
const IDLE_MARGIN_MS = 1000

/** Milliseconds to return for what this router cannot serve yet. */
const NOT_READY_RETURN_MS = 500

/** Milliseconds between two looks for connections whose headers are late. */
const LATE_HEADERS_CHECK_MS = 500

const log = createLog('callers')

/** Waits until the event loop has polled its sockets once more: the second immediate runs after the poll that follows the first. */
const nextPoll = async (): Promise<void> => {
  await new Promise<void>(resolve => { setImmediate(() => { setImmediate(resolve) }) })
}

/** What was found out about a request before its body is read. */
interface Admitted {
  readonly table: RoutingTable
  readonly route: GatewayRoute
  readonly head: CallerHead
  readonly workspace: WorkspaceId | undefined
}

/** The port for callers. */
export class CallerServer implements Service {
  readonly #server: Server
  /** Requests that were read, and those whose callers had left before, since the last look. */
  #sample = { read: 0, abandoned: 0 }
  #refusing = false
  #closing = false

  /**
   * @param ctx - services of the process
   * @param flow - takes the requests
   */
  constructor (readonly ctx: FlowContext, readonly flow: RequestFlow) {
    this.#server = createServer({
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      connectionsCheckingInterval: LATE_HEADERS_CHECK_MS,
      requestTimeout: 0,
      noDelay: true
    }, (req, res) => { this.#receive(req, res) })
    this.#server.on('checkContinue', (req, res) => {
      res.writeContinue()
      this.#receive(req, res)
    })
  }

  async start (): Promise<void> {
    const { host, port } = this.ctx.settings.callers
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, resolve)
    })
  }

  /** Takes the bounds of a configuration; open connections keep those they began with. */
  applyLimits ({ limits }: RoutingTable): void {
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** Hands over how many requests were read since the last call. */
  takeSample (): AbandonmentSample {
    const sample = this.#sample
    this.#sample = { read: 0, abandoned: 0 }
    return sample
  }

  /** From now on each answer is the last of its connection. */
  startClosing (): void {
    this.#closing = true
  }

  /** From now on nothing new is begun, and idle connections are closed. */
  startRefusing (): void {
    this.#refusing = true
    this.#server.close()
    this.#server.closeIdleConnections()
  }

  /** Closes connections that have become idle. */
  closeIdle (): void {
    this.#server.closeIdleConnections()
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #receive (req: IncomingMessage, res: ServerResponse): void {
    const arrivedAt = this.ctx.clock.now()
    if (this.#closing) res.setHeader('connection', 'close')
    const admitted = this.#admit(req)
    if ('status' in admitted) return this.#reject(req, res, admitted)
    this.#read(admitted, req, res, arrivedAt).catch(err => {
      log.error('a request was dropped by a fault of this program', { reason: toError(err).stack ?? String(err) })
      res.destroy()
    })
  }

  #admit (req: IncomingMessage): Admitted | Refusal {
    const { table } = this.ctx.fleet.view
    if (table === undefined) return { status: 503, reason: 'no-configuration', returnMs: NOT_READY_RETURN_MS }
    if (this.#refusing) return { status: 503, reason: 'ending', returnMs: NOT_READY_RETURN_MS }
    const headerBytes = req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
    if (headerBytes > table.limits.headerBytes) return { status: 431, reason: 'headers-too-long' }
    const route = findGatewayRoute(table, req.headers.host ?? '', req.url ?? '/')
    if (route === undefined) return { status: 404, reason: 'no-route' }
    const head = this.ctx.headers.decodeCallerHead(pairHeaders(req.rawHeaders))
    if (head === undefined) return { status: 400, reason: 'malformed-headers' }
    if (route.isPublic || table.workspaceByApiKey === undefined) return { table, route, head, workspace: undefined }
    return this.#authenticate(table, route, head)
  }

  #authenticate (table: RoutingTable, route: GatewayRoute, head: CallerHead): Admitted | Refusal {
    if (!this.#honoursKeys()) return { status: 503, reason: 'configuration-too-old', returnMs: NOT_READY_RETURN_MS }
    const workspace = head.key === undefined ? undefined : table.workspaceByApiKey?.get(head.key)
    if (workspace === undefined) return { status: 401, reason: 'unknown-key' }
    return { table, route, head, workspace }
  }

  #honoursKeys (): boolean {
    return mayAcceptApiKeys(this.ctx.fleet.confirmedAgeMs(), this.ctx.settings.revokeMs)
  }

  async #read (admitted: Admitted, req: IncomingMessage, res: ServerResponse, arrivedAt: Millis): Promise<void> {
    const { table, head } = admitted
    const result = await readCallerBody(req, table.limits.bodyBytes)
    if (result.kind === 'cut') return
    if (result.kind === 'too-long') return this.#reject(req, res, { status: 413, reason: 'body-too-long' })
    await nextPoll()
    this.#sample.read += 1
    // A process that was busy or has just started reads requests whose callers have given up; their close is read after them.
    if (req.socket.readableEnded || req.socket.destroyed) return this.#noteCallerGone(head)
    // A body may take long; what was admitted by its headers may not be allowed any more.
    const still = this.#admit(req)
    if ('status' in still) return this.#reject(req, res, still)
    const service = drawService(still.route, this.ctx.random())
    if (service === undefined) return this.#reject(req, res, { status: 503, reason: 'no-service', returnMs: NOT_READY_RETURN_MS })
    this.flow.open({
      head,
      headers: endToEndHeaders(pairHeaders(req.rawHeaders)),
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      body: result.body,
      route: still.route,
      service,
      workspace: still.workspace,
      revision: still.table.revision,
      arrivedAt,
      res
    })
  }

  #noteCallerGone (head: CallerHead): void {
    this.#sample.abandoned += 1
    this.ctx.metrics.requests.inc({ service: 'none', outcome: 'caller-gone' })
    this.ctx.requestLog.write('a request was dropped: its caller had closed the connection before it was read', { request: head.attempt })
  }

  #reject (req: IncomingMessage, res: ServerResponse, refusal: Refusal): void {
    // What is left of the body would be taken for the next request.
    if (!req.complete) res.setHeader('connection', 'close')
    sendRefusal(res, this.ctx.headers, refusal)
    req.resume()
    this.ctx.metrics.requests.inc({ service: 'none', outcome: refusal.reason })
    this.ctx.requestLog.write('a request was rejected', {
      request: this.ctx.headers.decodeCallerHead(pairHeaders(req.rawHeaders))?.attempt ?? 'unknown',
      reason: refusal.reason,
      status: refusal.status,
      revision: this.ctx.fleet.view.table?.revision ?? -1,
      beliefAgeMs: Math.round(this.ctx.fleet.confirmedAgeMs() ?? -1)
    })
  }
}
