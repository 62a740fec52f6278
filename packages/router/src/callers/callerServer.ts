/** Takes callers' requests over HTTP, finds out what they are, and opens them in the flow. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createLog, newId, onEvent, type RequestId, type Service, type ServiceKey, serviceKey, toError, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { ConfigurationService, ActiveConfig, ProcessContext } from '@fuchsiaworks/fleet'
import { defaultFleetConfig, patienceAt, type RouterSettings, type WorkspaceConfig } from '@fuchsiaworks/settings'
import { AnswerWriter } from '../requests/answerWriter.js'
import { BodyReader, type BodyStart } from '../requests/bodyReader.js'
import { findRoute, fingerprintOf, isIdempotent, type Route } from '../requests/classify.js'
import { estimateCost } from '../requests/estimate.js'
import type { OpenRequest, RequestFacts } from '../requests/openRequest.js'
import { notReady, type RequestFlow } from '../requests/requestFlow.js'
import type { RequestTable } from '../requests/requestTable.js'
import { SilenceLimit } from '../requests/silenceLimit.js'
import { upstreamHeaders } from '@fuchsiaworks/wire'
import { IdentityIndex } from './identity.js'
import { notRun, type Problem, sendProblem } from './problem.js'

/** Milliseconds for which an idle connection of a caller stays open. */
const KEEP_ALIVE_MS = 65_000

/** Milliseconds after which a caller may try again when this router is full. */
const FULL_RETRY_MS = 1_000

/** Milliseconds between two looks for connections whose headers are late. */
const LATE_HEADERS_CHECK_MS = 1_000

/** Milliseconds between the word that a router drains and the end of its listening. */
const DRAIN_NOTICE_MS = 2_000

/** Milliseconds between two looks for connections that have become idle. */
const IDLE_CHECK_MS = 100

/** Characters of the longest Idempotency-Key. */
const MAX_KEY_LENGTH = 256

const log = createLog('callers')

/** What was found out about a request before its body is read. */
interface Admitted {
  readonly force: ActiveConfig
  readonly workspace: WorkspaceId
  readonly workspaceConfig: WorkspaceConfig
  readonly route: Route
}

/** The port for callers. */
export class CallerServer implements Service {
  readonly #server: Server
  readonly #settings: RouterSettings
  #index: IdentityIndex | undefined
  #draining = false

  constructor (
    readonly context: ProcessContext,
    readonly configuration: ConfigurationService,
    readonly table: RequestTable,
    readonly flow: RequestFlow,
    settings: RouterSettings
  ) {
    this.#settings = settings
    const { limits } = configuration.current?.config ?? defaultFleetConfig
    this.#server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersTimeoutMs,
      connectionsCheckingInterval: LATE_HEADERS_CHECK_MS,
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true
    }, (req, res) => { this.#receive(req, res) })
    this.#server.maxConnections = limits.openRequests
    onEvent(configuration.changes, log, ({ config }) => { this.#index = new IdentityIndex(config) })
  }

  /** True once no new connections are taken. */
  get draining (): boolean {
    return this.#draining
  }

  /** Address on which callers are served. */
  get address (): AddressInfo {
    return this.#server.address() as AddressInfo
  }

  async start (): Promise<void> {
    const { host, port } = this.#settings.callers
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, resolve)
    })
  }

  /**
   * Lets callers go. For a while the router says that it is not ready and still takes connections, so that the balancer can
   * send callers elsewhere; each answer is then the last of its connection. Afterwards it takes no new connections.
   *
   * @returns settles once every connection has ended, each with its last answer whole
   */
  async drain (): Promise<void> {
    this.#draining = true
    await new Promise<void>(resolve => { this.context.clock.after(DRAIN_NOTICE_MS, resolve) })
    const timer = this.context.clock.every(IDLE_CHECK_MS, () => { this.#server.closeIdleConnections() })
    await new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    timer.close()
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #receive (req: IncomingMessage, res: ServerResponse): void {
    if (this.#draining) res.setHeader('connection', 'close')
    const admitted = this.#admit(req)
    if ('status' in admitted) {
      sendProblem(res, admitted)
      req.resume()
      return
    }
    this.#read(admitted, req, res).catch(err => {
      log.debug('a caller went away while it sent its body', { reason: toError(err).message })
    })
  }

  #admit (req: IncomingMessage): Admitted | Problem {
    const force = this.configuration.current
    if (force === undefined || this.#index === undefined) return notReady
    const workspace = this.#index.find(req.headers.authorization)
    const workspaceConfig = workspace === undefined ? undefined : force.config.workspaces[workspace]
    if (workspace === undefined || workspaceConfig === undefined) return notRun(401, 'unknown-key', 'the bearer key names no workspace')
    const route = findRoute(force.config, req.url ?? '/')
    if (route === undefined) return notRun(404, 'unknown-service', 'the first segment of the path names no service')
    if (workspaceConfig.services !== '*' && !workspaceConfig.services.includes(route.service)) {
      return notRun(403, 'service-not-allowed', 'the workspace may not call this service')
    }
    const refusal = this.#checkLimits(req, workspace, force)
    return refusal ?? { force, workspace, workspaceConfig, route }
  }

  #checkLimits (req: IncomingMessage, workspace: WorkspaceId, { config }: ActiveConfig): Problem | undefined {
    const { limits } = config
    if (Number(req.headers['content-length'] ?? 0) > limits.bodyBytes) return tooLarge
    if (String(req.headers['idempotency-key'] ?? '').length > MAX_KEY_LENGTH) return notRun(400, 'key-too-long', 'the Idempotency-Key is too long')
    if (this.table.size >= limits.openRequests) return notRun(503, 'router-full', 'this router holds as many requests as it may', FULL_RETRY_MS)
    if (this.table.countOf(workspace) >= limits.connectionsPerWorkspace) {
      return notRun(429, 'workspace-full', 'the workspace has as many requests open at this router as it may', FULL_RETRY_MS)
    }
    return undefined
  }

  async #read (admitted: Admitted, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { limits } = admitted.force.config
    const silence = new SilenceLimit(this.context.clock, limits.bodyIdleTimeoutMs, () => { sendProblem(res, bodyTimeout) })
    const reader = new BodyReader(req, limits.bodyBytes, () => { sendProblem(res, tooLarge) }, silence)
    const start = await reader.readStart(limits.bufferedBodyBytes)
    if (res.writableEnded || res.destroyed) return
    this.flow.open(this.#openRequest(admitted, req, res, reader, start))
  }

  #openRequest (admitted: Admitted, req: IncomingMessage, res: ServerResponse, reader: BodyReader, start: BodyStart): OpenRequest {
    const facts = this.#factsOf(admitted, req, start)
    const request: OpenRequest = {
      facts,
      res,
      start,
      reader,
      writer: new AnswerWriter(res, bytes => {
        request.holder?.send({ kind: 'credit', request: facts.id, direction: 'response', bytes })
      }, new SilenceLimit(this.context.clock, admitted.force.config.limits.bodyIdleTimeoutMs, () => { res.destroy() })),
      holder: undefined,
      waiting: undefined,
      accepted: false,
      mayHaveRun: false,
      attempts: 0,
      upstream: undefined,
      alone: false
    }
    return request
  }

  #factsOf ({ force, workspace, workspaceConfig, route }: Admitted, req: IncomingMessage, start: BodyStart): RequestFacts {
    const { service, config, path } = route
    const method = req.method ?? 'GET'
    const length = Number(req.headers['content-length'] ?? start.data.length)
    const idempotent = isIdempotent(config, method, path)
    const key = req.headers['idempotency-key']?.toString()
    const site = force.config.sites[this.#settings.site]
    return {
      id: newId<RequestId>(),
      service,
      workspace,
      method,
      path,
      headers: upstreamHeaders(req.rawHeaders),
      idempotent,
      key,
      fingerprint: fingerprintOf(workspace, method, `${service}${path}`, start.data, length),
      estimate: estimateCost(config, start.data, length),
      patience: patienceAt(workspaceConfig, service, this.context.clock.wall(), site?.utcOffsetMinutes ?? 0),
      maxWaiting: workspaceConfig.maxWaiting
    }
  }
}

const tooLarge: Problem = notRun(413, 'body-too-large', 'the body is larger than this fleet takes')

const bodyTimeout: Problem = notRun(408, 'body-timeout', 'the body did not arrive in time')

/** Key of the caller server. */
export const callerServerKey: ServiceKey<CallerServer> = serviceKey('callers')
