/** Accepts sessions on a port. */
import { randomBytes } from 'node:crypto'
import { createServer as createHttpServer, type IncomingMessage, type Server } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import { createLog, EventSource, toError } from '@fuchsiaworks/kernel'
import { type WebSocket, WebSocketServer } from 'ws'
import { ListenerHandshake } from '../handshake/handshake.js'
import type { Answer, ListenerResult, Offer } from '../handshake/handshakeTypes.js'
import { LinkSession } from '../session/linkSession.js'
import type { LinkOptions, ListenSessions, Session, SessionServer } from '../session/sessionTypes.js'
import { Connection } from './connection.js'
import { HalfOpenSockets } from './halfOpen.js'
import { BUFFER_LIMIT_BYTES, HANDSHAKE_MS, MAX_FRAME_BYTES } from './linkConstants.js'
import { RepeatedWarning } from './repeatedWarning.js'
import { SessionTable } from './sessionTable.js'
import { serverTls, tlsBinding } from './tls.js'

/** Milliseconds between checks of requests that are slow to come. */
const SLOW_REQUEST_CHECK_MS = 1_000

const log = createLog('links')

const createServer = ({ tls }: LinkOptions): Server => {
  const limits = {
    headersTimeout: HANDSHAKE_MS,
    requestTimeout: HANDSHAKE_MS,
    connectionsCheckingInterval: SLOW_REQUEST_CHECK_MS,
    requireHostHeader: false
  }
  return tls === undefined ? createHttpServer(limits) : createHttpsServer({ ...limits, handshakeTimeout: HANDSHAKE_MS, ...serverTls(tls) })
}

/** The listening end of links. */
class LinkServer {
  readonly #sessions = new EventSource<Session>()
  readonly #table = new SessionTable<LinkSession>()
  readonly #halfOpen: HalfOpenSockets
  readonly #server: Server
  readonly #refusals: RepeatedWarning
  readonly #webSockets = new WebSocketServer({ noServer: true, perMessageDeflate: false, autoPong: false, maxPayload: MAX_FRAME_BYTES })

  readonly sessions = this.#sessions.stream

  constructor (readonly options: LinkOptions) {
    this.#halfOpen = new HalfOpenSockets(options.clock)
    this.#refusals = new RepeatedWarning(options.clock, log, 'refused connections')
    this.#server = createServer(options)
    this.#server.on('connection', (socket: Socket) => { this.#halfOpen.add(socket) })
    this.#server.on('secureConnection', (socket: Socket) => { this.#halfOpen.countBytes(socket) })
    this.#server.on('error', err => { log.error('the port failed', { error: err.message }) })
    for (const event of ['request', 'checkContinue', 'checkExpectation']) {
      this.#server.on(event, (req: IncomingMessage) => { req.socket.destroy() })
    }
    this.#server.on('clientError', (_err, socket) => { socket.destroy() })
    this.#server.on('tlsClientError', err => { this.#refusals.add(err.message) })
    this.#webSockets.on('wsClientError', (_err, socket) => { socket.destroy() })
    this.#server.on('upgrade', (req, socket, head) => {
      socket.on('error', () => { socket.destroy() })
      this.#webSockets.handleUpgrade(req, socket, head, ws => { this.#greet(ws, req.socket) })
    })
  }

  async open (host: string, port: number): Promise<{ host: string, port: number }> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject).listen(port, host, () => { resolve() })
    })
    const { address, port: bound } = this.#server.address() as AddressInfo
    return { host: address, port: bound }
  }

  close = async (): Promise<void> => {
    const closed = new Promise(resolve => { this.#server.close(resolve) })
    this.#halfOpen.close()
    for (const session of this.#table.sessions) session.close()
    await closed
    this.#sessions.close()
  }

  /** Runs the handshake of a new connection. */
  #greet (ws: WebSocket, socket: Socket): void {
    const { clock, identity, linkKey } = this.options
    const connection = new Connection(ws, clock)
    const handshake = new ListenerHandshake({ identity, linkKey, binding: tlsBinding(socket), randomBytes }, this.#judge)
    const refuse = (reason: string): void => {
      this.#refusals.add(reason)
      connection.terminate(reason)
    }
    const receive = (data: Uint8Array): void => {
      try {
        const { reply, result } = handshake.receive(data)
        if (reply !== undefined) connection.send(reply)
        if (result !== undefined) this.#admit(connection, socket, result)
      } catch (err) {
        refuse(toError(err).message)
      }
    }
    connection.user = { receive, malformed: () => { refuse('malformed') }, closed: () => {}, drained: () => {} }
  }

  readonly #judge = (offer: Offer): Omit<Answer, 'identity'> => {
    const { outcome, session } = this.#table.judge(offer)
    return { outcome, received: session?.received ?? 0 }
  }

  #admit (connection: Connection, socket: Socket, { offer, received }: ListenerResult): void {
    this.#halfOpen.release(socket)
    const session = this.#table.accept(offer, () => this.#open(offer))
    if (session === undefined) {
      connection.terminate('the session has ended')
      return
    }
    if (offer.session === offer.attempt) this.#sessions.emit(session)
    session.attach(connection, received)
  }

  #open (offer: Offer): LinkSession {
    const { clock, heartbeat, silence, expiry, bufferLimit = BUFFER_LIMIT_BYTES } = this.options
    const limits = { side: 'listener', heartbeat, silence, expiry, bufferLimit } as const
    const session: LinkSession = new LinkSession(offer.identity, clock, limits, () => { this.#table.remove(offer) })
    return session
  }
}

/**
 * Opens a port for sessions.
 *
 * @param options - identity, key, bounds and address; port 0 takes a free one
 * @returns the server, once the port is open
 */
export const listenSessions: ListenSessions = async (options): Promise<SessionServer> => {
  const server = new LinkServer(options)
  const address = await server.open(options.host, options.port)
  return { address, sessions: server.sessions, close: server.close }
}
