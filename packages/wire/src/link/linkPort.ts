/** HTTP(S) server of the listening end: accepts WebSocket upgrades, and closes all other requests without a response. */
import { createServer as createHttpServer, type IncomingMessage, type Server } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { Socket } from 'node:net'
import { createLog } from '@fuchsiaworks/kernel'
import { type WebSocket, WebSocketServer } from 'ws'
import type { LinkOptions } from '../session/sessionTypes.js'
import { HalfOpenSockets } from './halfOpen.js'
import { HANDSHAKE_TIMEOUT_MS, MAX_FRAME_BYTES } from './linkConstants.js'
import { RateLimitedWarning } from './rateLimitedWarning.js'
import { serverTls } from './tls.js'

/** Interval in milliseconds at which the server checks for requests that exceed its timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000

/** Server events of requests other than upgrades. */
const REQUEST_EVENTS = ['request', 'checkContinue', 'checkExpectation'] as const

const log = createLog('links')

/** Server of a link port, with its tracked connections and rate-limited warnings. */
export interface LinkPort {
  readonly server: Server
  /** Connections that are not authenticated yet. */
  readonly halfOpen: HalfOpenSockets
  readonly refusals: RateLimitedWarning
}

const createServer = ({ tls }: LinkOptions): Server => {
  const limits = {
    headersTimeout: HANDSHAKE_TIMEOUT_MS,
    requestTimeout: HANDSHAKE_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    requireHostHeader: false
  }
  return tls === undefined ? createHttpServer(limits) : createHttpsServer({ ...limits, handshakeTimeout: HANDSHAKE_TIMEOUT_MS, ...serverTls(tls) })
}

const closeOtherRequests = ({ server, refusals }: LinkPort): void => {
  for (const event of REQUEST_EVENTS) server.on(event, (req: IncomingMessage) => { req.socket.destroy() })
  server.on('clientError', (_err, socket) => { socket.destroy() })
  server.on('tlsClientError', err => { refusals.record(err.message) })
  server.on('error', err => { log.error('link server error', { error: err.message }) })
}

const trackSockets = ({ server, halfOpen }: LinkPort): void => {
  server.on('connection', (socket: Socket) => { halfOpen.add(socket) })
  server.on('secureConnection', (socket: Socket) => { halfOpen.limitBytes(socket) })
}

const acceptUpgrades = ({ server }: LinkPort, onSocket: (ws: WebSocket, socket: Socket) => void): void => {
  const webSockets = new WebSocketServer({ noServer: true, perMessageDeflate: false, autoPong: false, maxPayload: MAX_FRAME_BYTES })
  webSockets.on('wsClientError', (_err, socket) => { socket.destroy() })
  server.on('upgrade', (req, socket, head) => {
    socket.on('error', () => { socket.destroy() })
    webSockets.handleUpgrade(req, socket, head, ws => { onSocket(ws, req.socket) })
  })
}

/**
 * Creates the server of a link port. It does not listen yet.
 *
 * @param options - clock and certificates
 * @param onSocket - called with each WebSocket and its underlying TCP or TLS socket
 */
export const createLinkPort = (options: LinkOptions, onSocket: (ws: WebSocket, socket: Socket) => void): LinkPort => {
  const port: LinkPort = {
    server: createServer(options),
    halfOpen: new HalfOpenSockets(options.clock),
    refusals: new RateLimitedWarning(options.clock, log, 'refused incoming link connections')
  }
  trackSockets(port)
  closeOtherRequests(port)
  acceptUpgrades(port, onSocket)
  return port
}
