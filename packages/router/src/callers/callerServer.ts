/** HTTP server for callers: authenticates, routes and limits requests, reads the start of their bodies and opens them in the request flow. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createLog, newId, onEvent, type RequestId, type Service, type ServiceKey, serviceKey, toError, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { ConfigurationService, ActiveConfig, ProcessContext } from '@fuchsiaworks/fleet'
import { defaultFleetConfig, patienceAt, type RouterSettings, type WorkspaceConfig } from '@fuchsiaworks/settings'
import { ResponseWriter } from '../requests/responseWriter.js'
import { BodyReader, type BodyPrefix } from '../requests/bodyReader.js'
import { findRoute, fingerprintOf, isIdempotent, type Route } from '../requests/classify.js'
import { estimateCost } from '../requests/estimate.js'
import type { OpenRequest, RequestFacts } from '../requests/openRequest.js'
import { notReadyProblem, type RequestFlow } from '../requests/requestFlow.js'
import type { RequestTable } from '../requests/requestTable.js'
import { IdleTimeout } from '../requests/idleTimeout.js'
import { upstreamHeaders } from '@fuchsiaworks/wire'
import { IdentityIndex } from './identity.js'
import { notRunProblem, type Problem, sendProblem } from './problem.js'

/** Idle time after which a keep-alive connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000

/** Retry-After of requests refused because the router or the workspace is at its limit of open requests. */
const OPEN_LIMIT_RETRY_AFTER_MS = 1_000

/** Interval of the check for connections that exceed the headers timeout. */
const HEADERS_TIMEOUT_CHECK_MS = 1_000

/** Time between the announcement of a drain and the close of the listening socket, for load balancers to react. */
const DRAIN_GRACE_MS = 2_000

/** Interval at which idle connections are closed during a drain. */
const IDLE_CONNECTION_CHECK_MS = 100

/** Maximum length of an Idempotency-Key, in characters. */
const MAX_KEY_LENGTH = 256

const log = createLog('callers')

/** An authenticated, routed request that passed the limits; its body has not been read yet. */
interface AdmittedRequest {
  readonly activeConfig: ActiveConfig
  readonly workspace: WorkspaceId
  readonly workspaceConfig: WorkspaceConfig
  readonly route: Route
}

/** Server of the port for callers. */
export class CallerServer implements Service {
  readonly #server: Server
  readonly #settings: RouterSettings
  #identities: IdentityIndex | undefined
  #draining = false

  constructor (
    readonly context: ProcessContext,
    readonly configuration: ConfigurationService,
    readonly requests: RequestTable,
    readonly flow: RequestFlow,
    settings: RouterSettings
  ) {
    this.#settings = settings
    const { limits } = configuration.current?.config ?? defaultFleetConfig
    this.#server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersTimeoutMs,
      connectionsCheckingInterval: HEADERS_TIMEOUT_CHECK_MS,
      // Node's limit on the time to receive a complete request is disabled: IdleTimeout ends requests whose body stalls.
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      noDelay: true
    }, (req, res) => { this.#onRequest(req, res) })
    this.#server.maxConnections = limits.openRequests
    onEvent(configuration.changes, log, ({ config }) => { this.#identities = new IdentityIndex(config) })
  }

  /** True once a drain has begun. */
  get draining (): boolean {
    return this.#draining
  }

  /** Address of the listening socket. */
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
   * Drains the server. During a grace period the router reports that it is not ready but still accepts connections, so that
   * load balancers can route callers elsewhere; each response carries `Connection: close`. Then the listening socket is closed.
   *
   * @returns resolves once all connections are closed, after their last responses are complete
   */
  async drain (): Promise<void> {
    this.#draining = true
    await new Promise<void>(resolve => { this.context.clock.after(DRAIN_GRACE_MS, resolve) })
    const timer = this.context.clock.every(IDLE_CONNECTION_CHECK_MS, () => { this.#server.closeIdleConnections() })
    await new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    timer.close()
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #onRequest (req: IncomingMessage, res: ServerResponse): void {
    if (this.#draining) res.setHeader('connection', 'close')
    const admitted = this.#admit(req)
    if ('status' in admitted) {
      sendProblem(res, admitted)
      req.resume()
      return
    }
    this.#readBody(admitted, req, res).catch(err => {
      log.debug('request could not be opened', { reason: toError(err).message })
    })
  }

  #admit (req: IncomingMessage): AdmittedRequest | Problem {
    const activeConfig = this.configuration.current
    if (activeConfig === undefined || this.#identities === undefined) return notReadyProblem
    const workspace = this.#identities.find(req.headers.authorization)
    const workspaceConfig = workspace === undefined ? undefined : activeConfig.config.workspaces[workspace]
    if (workspace === undefined || workspaceConfig === undefined) return notRunProblem(401, 'unknown-key', 'the bearer key names no workspace')
    const route = findRoute(activeConfig.config, req.url ?? '/')
    if (route === undefined) return notRunProblem(404, 'unknown-service', 'the first segment of the path names no service')
    if (workspaceConfig.services !== '*' && !workspaceConfig.services.includes(route.service)) {
      return notRunProblem(403, 'service-not-allowed', 'the workspace may not call this service')
    }
    const refusal = this.#checkLimits(req, workspace, activeConfig)
    return refusal ?? { activeConfig, workspace, workspaceConfig, route }
  }

  #checkLimits (req: IncomingMessage, workspace: WorkspaceId, { config }: ActiveConfig): Problem | undefined {
    const { limits } = config
    if (Number(req.headers['content-length'] ?? 0) > limits.bodyBytes) return bodyTooLargeProblem
    if (String(req.headers['idempotency-key'] ?? '').length > MAX_KEY_LENGTH) return notRunProblem(400, 'key-too-long', 'the Idempotency-Key is too long')
    if (this.requests.size >= limits.openRequests) return notRunProblem(503, 'router-full', 'this router holds as many requests as it may', OPEN_LIMIT_RETRY_AFTER_MS)
    if (this.requests.countOpen(workspace) >= limits.connectionsPerWorkspace) {
      return notRunProblem(429, 'workspace-full', 'the workspace has as many requests open at this router as it may', OPEN_LIMIT_RETRY_AFTER_MS)
    }
    return undefined
  }

  async #readBody (admitted: AdmittedRequest, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { limits } = admitted.activeConfig.config
    const idleTimeout = new IdleTimeout(this.context.clock, limits.bodyIdleTimeoutMs, () => { sendProblem(res, bodyTimeoutProblem) })
    const reader = new BodyReader(req, limits.bodyBytes, () => { sendProblem(res, bodyTooLargeProblem) }, idleTimeout)
    const bodyPrefix = await reader.readPrefix(limits.bufferedBodyBytes)
    if (res.writableEnded || res.destroyed) return
    this.flow.open(this.#createOpenRequest(admitted, req, res, reader, bodyPrefix))
  }

  #createOpenRequest (admitted: AdmittedRequest, req: IncomingMessage, res: ServerResponse, reader: BodyReader, bodyPrefix: BodyPrefix): OpenRequest {
    const facts = this.#factsOf(admitted, req, bodyPrefix)
    const request: OpenRequest = {
      facts,
      res,
      bodyPrefix,
      reader,
      writer: new ResponseWriter(res, bytes => {
        request.holder?.send({ kind: 'credit', request: facts.id, direction: 'response', bytes })
      }, new IdleTimeout(this.context.clock, admitted.activeConfig.config.limits.bodyIdleTimeoutMs, () => { res.destroy() })),
      holder: undefined,
      queueEntry: undefined,
      accepted: false,
      mayHaveRun: false,
      attempts: 0,
      upstream: undefined,
      alone: false
    }
    return request
  }

  #factsOf ({ activeConfig, workspace, workspaceConfig, route }: AdmittedRequest, req: IncomingMessage, bodyPrefix: BodyPrefix): RequestFacts {
    const { service, config, path } = route
    const method = req.method ?? 'GET'
    const bodyLength = Number(req.headers['content-length'] ?? bodyPrefix.data.length)
    const idempotent = isIdempotent(config, method, path)
    const key = req.headers['idempotency-key']?.toString()
    const site = activeConfig.config.sites[this.#settings.site]
    return {
      id: newId<RequestId>(),
      service,
      workspace,
      method,
      path,
      headers: upstreamHeaders(req.rawHeaders),
      idempotent,
      key,
      fingerprint: fingerprintOf(workspace, method, `${service}${path}`, bodyPrefix.data, bodyLength),
      estimate: estimateCost(config, bodyPrefix.data, bodyLength),
      patience: patienceAt(workspaceConfig, service, this.context.clock.wall(), site?.utcOffsetMinutes ?? 0),
      maxWaiting: workspaceConfig.maxWaiting
    }
  }
}

const bodyTooLargeProblem: Problem = notRunProblem(413, 'body-too-large', 'the body is larger than this fleet takes')

const bodyTimeoutProblem: Problem = notRunProblem(408, 'body-timeout', 'the body did not arrive in time')

export const callerServerKey: ServiceKey<CallerServer> = serviceKey('callers')
