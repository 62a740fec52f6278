/** Accepts sessions on a port. */
import { randomBytes } from 'node:crypto'
import type { AddressInfo, Socket } from 'node:net'
import { EventSource, toError } from '@fuchsiaworks/kernel'
import type { WebSocket } from 'ws'
import { ListenerHandshake } from '../handshake/handshake.js'
import type { Answer, HandshakeStep, ListenerResult, Offer } from '../handshake/handshakeTypes.js'
import { LinkSession } from '../session/linkSession.js'
import type { LinkOptions, ListenSessions, Session, SessionServer } from '../session/sessionTypes.js'
import { Connection } from './connection.js'
import { createLinkPort, type LinkPort } from './linkPort.js'
import { sessionLimits } from './sessionLimits.js'
import { isNewSession, SessionTable } from './sessionTable.js'
import { tlsChannelBinding } from './tls.js'

/** The listening end of links. */
class LinkServer {
  readonly #sessions = new EventSource<Session>()
  readonly #table = new SessionTable<LinkSession>()
  readonly #port: LinkPort

  readonly sessions = this.#sessions.stream

  constructor (readonly options: LinkOptions) {
    this.#port = createLinkPort(options, (ws, socket) => { this.#runHandshake(ws, socket) })
  }

  async open (host: string, port: number): Promise<{ host: string, port: number }> {
    const { server } = this.#port
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject).listen(port, host, () => { resolve() })
    })
    const { address, port: bound } = server.address() as AddressInfo
    return { host: address, port: bound }
  }

  close = async (): Promise<void> => {
    const closed = new Promise(resolve => { this.#port.server.close(resolve) })
    this.#port.halfOpen.close()
    for (const session of this.#table.sessions) session.close()
    await closed
    this.#sessions.close()
  }

  /** Runs the handshake on a new connection. */
  #runHandshake (ws: WebSocket, socket: Socket): void {
    const { clock, identity, linkKey } = this.options
    const connection = new Connection(ws, clock)
    const handshake = new ListenerHandshake({ identity, linkKey, binding: tlsChannelBinding(socket), randomBytes }, this.#answerOffer)
    const refuse = (reason: string): void => {
      this.#port.refusals.record(reason)
      connection.terminate(reason)
    }
    const receive = (data: Uint8Array): void => {
      let step: HandshakeStep<ListenerResult>
      try {
        step = handshake.receive(data)
      } catch (err) {
        refuse(toError(err).message)
        return
      }
      if (step.reply !== undefined) connection.send(step.reply)
      if (step.result !== undefined) this.#attachSession(connection, socket, step.result)
    }
    connection.handlers = { receive, malformed: () => { refuse('malformed') }, closed: () => {}, drained: () => {} }
  }

  readonly #answerOffer = (offer: Offer): Omit<Answer, 'identity'> => {
    const { outcome, session } = this.#table.evaluate(offer)
    return { outcome, received: session?.receivedSeq ?? 0 }
  }

  #attachSession (connection: Connection, socket: Socket, { offer, received }: ListenerResult): void {
    this.#port.halfOpen.release(socket)
    const session = this.#table.accept(offer, () => this.#createSession(offer))
    if (session === undefined) {
      connection.terminate('the session has ended')
      return
    }
    if (isNewSession(offer)) this.#sessions.emit(session)
    session.attach(connection, received)
  }

  #createSession (offer: Offer): LinkSession {
    const limits = sessionLimits('listener', this.options)
    return new LinkSession(offer.identity, this.options.clock, limits, () => { this.#table.remove(offer) })
  }
}

/**
 * Listens for sessions on a port.
 *
 * @param options - identity, key, timeouts and limits, and address; port 0 selects a free port
 * @returns the server, once it is listening
 */
export const listenSessions: ListenSessions = async (options): Promise<SessionServer> => {
  const server = new LinkServer(options)
  const address = await server.open(options.host, options.port)
  return { address, sessions: server.sessions, close: server.close }
}
