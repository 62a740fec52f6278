/** HTTP server for callers: routes and authenticates requests, reads their bodies and passes them to the request flow. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { createLog, type Millis, type Service, toError, type WorkspaceId } from '@fuchsiaworks/kernel'
import { mayAcceptApiKeys, type OverloadSample } from '@fuchsiaworks/policy'
import { endToEndHeaders, pairHeaders } from '@fuchsiaworks/wire'
import type { CallerHead } from '../port/headerPort.js'
import { pickServiceByWeight, findGatewayRoute } from '../routing/findRoute.js'
import type { GatewayRoute, RoutingTable } from '../routing/routingTypes.js'
import { OffloadedSocket } from '../offload/offloadedSocket.js'
import { type CallerRequest, deadlineOf } from '../requests/callerRequest.js'
import type { FlowContext } from '../requests/flowContext.js'
import { rawRefusal, type Refusal, sendRefusal, TOO_LATE } from '../requests/refusals.js'
import type { RequestFlow } from '../requests/requestFlow.js'
import { ListenQueueWait } from './listenQueueWait.js'
import { nextPoll } from './nextPoll.js'
import { OpenResponses } from './openResponses.js'
import { readCallerBody } from './readBody.js'
import { BEHIND_LAST_REQUEST, isWellFormed, parseRefusal } from './requestSyntax.js'

/** Header size limit of the HTTP parser; the configured, lower limit is checked afterwards. */
const MAX_PARSED_HEADER_BYTES = 64 * 1024

/** Added to the configured idle timeout, so that a request sent just before the timeout is still read. */
const IDLE_MARGIN_MS = 1000

/** Retry delay sent to callers while the gateway cannot serve the request yet. */
const NOT_READY_RETRY_AFTER_MS = 500

/** Interval at which connections are checked for an exceeded headers timeout. */
const HEADERS_TIMEOUT_CHECK_INTERVAL_MS = 500

/**
 * Connections that may wait to be accepted. Node.js accepts one in each iteration of its event loop, so that a busy gateway accepts a few hundred
 * a second: a longer queue would hold connections for longer than their callers wait. What finds the queue full tries another gateway.
 */
export const LISTEN_BACKLOG = 128

const SECOND_MS = 1000

const log = createLog('callers')

/** Keeps the socket's state of its requests up to date, and sends the end of a response without delay. */
const trackOffloadedRequest = (req: IncomingMessage, res: ServerResponse, socket: OffloadedSocket): void => {
  socket.openRequests += 1
  res.on('finish', () => { socket.flushSoon() })
  res.on('close', () => {
    socket.openRequests -= 1
    if (!req.complete) socket.isMidRequest = true
  })
}

/** A request that was admitted by its headers, before its body is read. */
interface AdmittedRequest {
  readonly table: RoutingTable
  readonly route: GatewayRoute
  readonly head: CallerHead
  readonly workspace: WorkspaceId | undefined
}

type ConnectionListener = (socket: Duplex) => void

/** Decides on the connections of callers. */
export interface ConnectionGate {
  /** Returns false when the connection has been taken and is not to be served here. */
  readonly admit: (socket: Socket) => boolean
  /** Time for which a connection that is accepted now has waited in the listen queue at least. */
  readonly minWaitMs: () => Millis
  /** Returns whether a response is to close its connection. */
  readonly shouldClose: () => boolean
}

/** Accepts requests of callers. */
export class CallerServer implements Service {
  readonly #server: Server
  readonly #listeners: readonly ConnectionListener[]
  readonly #sockets = new Set<Socket>()
  /** Requests that were passed to the flow and have not ended, by their connection. */
  readonly #running = new WeakMap<Duplex, number>()
  readonly #responses = new OpenResponses()
  readonly #waits = new WeakMap<Duplex, ListenQueueWait>()
  /** Requests read since the last sample, and how many of them their callers had abandoned by then. */
  #sample = { read: 0, abandoned: 0 }
  #isStopping = false
  #keepAliveDisabled = false

  /**
   * @param ctx - services of the process
   * @param flow - processes the admitted requests
   * @param gate - takes or returns each accepted connection
   */
  constructor (readonly ctx: FlowContext, readonly flow: RequestFlow, readonly gate: ConnectionGate) {
    this.#server = createServer({
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      connectionsCheckingInterval: HEADERS_TIMEOUT_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true
    }, (req, res) => { this.#receive(req, res) })
    // The server's own listener, which starts to parse requests, is called only for connections that are served here.
    this.#listeners = this.#server.listeners('connection') as ConnectionListener[]
    this.#server.removeAllListeners('connection')
    this.#server.on('connection', (socket: Socket) => { this.#accept(socket) })
    this.#server.on('clientError', (err: NodeJS.ErrnoException, socket) => { this.#onClientError(err, socket) })
    this.#server.on('checkContinue', (req, res) => {
      if (!this.#responses.isClosing(req.socket)) res.writeContinue()
      this.#receive(req, res)
    })
  }

  /** Open connections that this process has accepted. */
  get connections (): number {
    return this.#sockets.size
  }

  async start (): Promise<void> {
    const { host, port } = this.ctx.settings.callers
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ port, host, backlog: LISTEN_BACKLOG }, resolve)
    })
  }

  /** Applies the limits of a configuration to new connections; open ones keep the limits with which they were opened. */
  applyLimits ({ limits }: RoutingTable): void {
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** Serves a connection, also one that a peer gateway has accepted. */
  serve (socket: Duplex): void {
    for (const listener of this.#listeners) listener.call(this.#server, socket)
  }

  /** Returns the sample and starts a new one. */
  takeSample (): Pick<OverloadSample, 'read' | 'abandoned'> {
    const sample = this.#sample
    this.#sample = { read: 0, abandoned: 0 }
    return sample
  }

  /** From now on, every response closes its connection. */
  disableKeepAlive (): void {
    this.#keepAliveDisabled = true
  }

  /** Accepts no new connections or requests and closes idle connections, as the server does by itself. */
  stopAccepting (): void {
    this.#isStopping = true
    this.#server.close()
  }

  closeIdleConnections (): void {
    this.#server.closeIdleConnections()
  }

  close (): void {
    this.#server.close()
    // An orderly close would declare a response complete that ends with its connection.
    this.flow.close()
    for (const socket of this.#sockets) if (socket.writableLength > 0) this.#responses.breakOff(socket)
    this.#server.closeAllConnections()
  }

  #accept (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('close', () => { this.#sockets.delete(socket) })
    const waitedMs = this.gate.minWaitMs()
    if (!this.gate.admit(socket)) return
    if (waitedMs > 0) this.#waits.set(socket, new ListenQueueWait(this.ctx.clock, waitedMs))
    this.serve(socket)
  }

  #receive (req: IncomingMessage, res: ServerResponse): void {
    if (this.#responses.isClosing(req.socket)) return this.#ignore(req)
    const unreadMs = req.socket instanceof OffloadedSocket ? req.socket.unreadMs : this.#waits.get(req.socket)?.ms ?? 0
    const arrivedAt = this.ctx.clock.now() - unreadMs
    this.ctx.metrics.unreadWait.observe(unreadMs / SECOND_MS)
    this.#responses.add(req.socket, res)
    if (this.#mustClose(req.socket)) this.#responses.closeAfter(req.socket, res)
    if (req.socket instanceof OffloadedSocket) trackOffloadedRequest(req, res, req.socket)
    const admitted = this.#admit(req)
    if ('status' in admitted) return this.#reject(req, res, admitted)
    this.#read(admitted, req, res, { arrivedAt, unreadMs }).catch(err => {
      log.error('request dropped: internal error', { reason: toError(err).stack ?? String(err) })
      res.destroy()
    })
  }

  /** Reads a request and does nothing with it, as the response in front of it closes the connection. */
  #ignore (req: IncomingMessage): void {
    req.resume()
    this.ctx.metrics.requests.inc({ service: 'none', outcome: 'after-close' })
    const request = this.ctx.headers.decodeCallerHead(pairHeaders(req.rawHeaders))?.attempt ?? 'unknown'
    this.ctx.requestLog.write('request ignored: the response in front of it closes the connection', { request })
  }

  #mustClose (socket: Duplex): boolean {
    if (this.#keepAliveDisabled) return true
    return socket instanceof OffloadedSocket ? !socket.isKeepAliveAllowed : this.gate.shouldClose()
  }

  /** True when this gateway, or the one that accepted the connection, is about to end. */
  #takesNoRequests (socket: Duplex): boolean {
    return this.#isStopping || (socket instanceof OffloadedSocket && socket.isStopping)
  }

  /** @param knownHead - the decoded headers, when they were decoded before */
  #admit (req: IncomingMessage, knownHead?: CallerHead): AdmittedRequest | Refusal {
    const { table } = this.ctx.fleet.view
    if (table === undefined) return { status: 503, reason: 'no-configuration', retryAfterMs: NOT_READY_RETRY_AFTER_MS }
    if (this.#takesNoRequests(req.socket)) return { status: 503, reason: 'ending', retryAfterMs: NOT_READY_RETRY_AFTER_MS }
    const headerBytes = req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
    if (headerBytes > table.limits.headerBytes) return { status: 431, reason: 'headers-too-long' }
    if (!isWellFormed(req)) return { status: 400, reason: 'malformed-request' }
    const route = findGatewayRoute(table, req.headers.host ?? '', req.url ?? '/')
    if (route === undefined) return { status: 404, reason: 'no-route' }
    const head = knownHead ?? this.ctx.headers.decodeCallerHead(pairHeaders(req.rawHeaders))
    if (head === undefined) return { status: 400, reason: 'malformed-headers' }
    if (route.isPublic || table.workspaceByApiKey === undefined) return { table, route, head, workspace: undefined }
    return this.#authenticate(table, route, head)
  }

  #authenticate (table: RoutingTable, route: GatewayRoute, head: CallerHead): AdmittedRequest | Refusal {
    if (!this.#acceptsApiKeys()) return { status: 503, reason: 'configuration-too-old', retryAfterMs: NOT_READY_RETRY_AFTER_MS }
    const workspace = head.key === undefined ? undefined : table.workspaceByApiKey?.get(head.key)
    if (workspace === undefined) return { status: 401, reason: 'unknown-key' }
    return { table, route, head, workspace }
  }

  #acceptsApiKeys (): boolean {
    return mayAcceptApiKeys(this.ctx.fleet.confirmedAgeMs(), this.ctx.settings.revokeMs)
  }

  async #read (admitted: AdmittedRequest, req: IncomingMessage, res: ServerResponse, arrival: Pick<CallerRequest, 'arrivedAt' | 'unreadMs'>): Promise<void> {
    const { table, head } = admitted
    const result = await readCallerBody(req, table.limits.bodyBytes)
    if (result.kind === 'aborted') return
    if (result.kind === 'too-long') return this.#reject(req, res, { status: 413, reason: 'body-too-long' })
    // After a stall or a restart, a process reads queued requests whose callers have already disconnected. The end of such a
    // connection is read after the request, in the next poll of its socket.
    await nextPoll()
    this.#sample.read += 1
    if (req.socket.readableEnded || req.socket.destroyed) return this.#recordCallerGone(head)
    // Reading the body can take long; meanwhile the configuration or the state of the process may have changed.
    const rechecked = this.#admit(req, head)
    if ('status' in rechecked) return this.#reject(req, res, rechecked)
    if (deadlineOf(rechecked.route, head, arrival.arrivedAt) <= this.ctx.clock.now()) return this.#reject(req, res, TOO_LATE)
    const service = pickServiceByWeight(rechecked.route, this.ctx.random())
    if (service === undefined) return this.#reject(req, res, { status: 503, reason: 'no-service', retryAfterMs: NOT_READY_RETRY_AFTER_MS })
    this.#trackRunning(req.socket, res)
    this.flow.open({
      head,
      headers: endToEndHeaders(pairHeaders(req.rawHeaders)),
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      body: result.body,
      route: rechecked.route,
      service,
      workspace: rechecked.workspace,
      revision: rechecked.table.revision,
      ...arrival,
      acceptedBy: req.socket instanceof OffloadedSocket ? req.socket.acceptedBy : undefined,
      res
    })
  }

  #trackRunning (socket: Duplex, res: ServerResponse): void {
    this.#running.set(socket, (this.#running.get(socket) ?? 0) + 1)
    res.on('close', () => { this.#running.set(socket, (this.#running.get(socket) ?? 0) - 1) })
  }

  /**
   * Refuses what is no request, unless its connection has one in progress: the caller would take the refusal for the answer to that one. Bytes
   * behind the last request of a connection are dropped (RFC 9112, section 9.6), as a parser does that does not report them.
   */
  #onClientError ({ code }: NodeJS.ErrnoException, socket: Duplex): void {
    if (code === BEHIND_LAST_REQUEST) return
    if ((this.#running.get(socket) ?? 0) > 0) return this.#responses.breakOff(socket)
    if (socket.writable) socket.write(rawRefusal(this.ctx.headers, parseRefusal(code)))
    socket.destroy()
  }

  #recordCallerGone (head: CallerHead): void {
    this.#sample.abandoned += 1
    this.ctx.metrics.requests.inc({ service: 'none', outcome: 'caller-gone' })
    this.ctx.requestLog.write('request dropped: the caller closed the connection before the request was read', { request: head.attempt })
  }

  #reject (req: IncomingMessage, res: ServerResponse, refusal: Refusal): void {
    // Otherwise the unread rest of the body would be parsed as the next request.
    if (!req.complete) this.#responses.closeAfter(req.socket, res)
    sendRefusal(res, this.ctx.headers, refusal)
    req.resume()
    this.ctx.metrics.requests.inc({ service: 'none', outcome: refusal.reason })
    this.ctx.requestLog.write('request rejected', {
      request: this.ctx.headers.decodeCallerHead(pairHeaders(req.rawHeaders))?.attempt ?? 'unknown',
      reason: refusal.reason,
      status: refusal.status,
      revision: this.ctx.fleet.view.table?.revision ?? -1,
      beliefAgeMs: Math.round(this.ctx.fleet.confirmedAgeMs() ?? -1)
    }, 'refusal')
  }
}
