/** Dials one peer address and reconnects when the connection is lost. */
import { randomBytes } from 'node:crypto'
import { clamp, createLog, EventSource, newId, toError, type Timer } from '@fuchsiaworks/kernel'
import { WebSocket } from 'ws'
import { DialerHandshake } from '../handshake/handshake.js'
import type { Answer, DialerResult, HandshakeStep, Offer } from '../handshake/handshakeTypes.js'
import { LinkSession } from '../session/linkSession.js'
import type { DialSessions, LinkOptions, Session } from '../session/sessionTypes.js'
import { backoffDelay } from './backoff.js'
import { Connection, noopHandlers } from './connection.js'
import { HANDSHAKE_TIMEOUT_MS, MAX_FRAME_BYTES, MIN_DIAL_TIMEOUT_MS } from './linkConstants.js'
import { RateLimitedWarning } from './rateLimitedWarning.js'
import { sessionLimits } from './sessionLimits.js'
import { clientTls, tlsChannelBinding } from './tls.js'

type DialOptions = LinkOptions & { readonly host: string, readonly port: number }

const log = createLog('links')

/**
 * Leaves the mask all zeros, which saves the work of masking. Masking protects HTTP caches between browsers and servers
 * (RFC 6455, section 10.3), and there are none between the processes of the fleet.
 */
const generateMask = (): void => {}

const openSocket = ({ host, port, tls }: DialOptions): WebSocket => {
  const address = `${host.includes(':') ? `[${host}]` : host}:${port}`
  const options = { perMessageDeflate: false, autoPong: false, maxPayload: MAX_FRAME_BYTES, generateMask, handshakeTimeout: HANDSHAKE_TIMEOUT_MS }
  if (tls === undefined) return new WebSocket(`ws://${address}`, options)
  return new WebSocket(`wss://${address}`, { ...options, ...clientTls(tls) })
}

/** Dialing end of the link to one address. */
class LinkDialer {
  readonly #sessions = new EventSource<Session>()
  readonly #failedAttempts: RateLimitedWarning
  readonly #dialerId = newId<Offer['identity']['incarnation']>()
  #isOpen = true
  #attempt = 0
  #failures = 0
  #session: LinkSession | undefined
  /** Number of the attempt that opened the current session. */
  #sessionAttempt = 0
  #connection: Connection | undefined
  #timer: Timer | undefined

  readonly sessions = this.#sessions.stream

  constructor (readonly options: DialOptions) {
    this.#failedAttempts = new RateLimitedWarning(options.clock, log, `could not open a link to ${options.host}:${options.port}`)
    const firstDial = setImmediate(() => { this.#dial() })
    this.#timer = { close: () => { clearImmediate(firstDial) } }
  }

  close = (): void => {
    if (!this.#isOpen) return
    this.#isOpen = false
    this.#timer?.close()
    if (this.#session?.connected !== true) this.#connection?.terminate('closed here')
    this.#session?.close()
    this.#sessions.close()
  }

  #dial (): void {
    const { clock, identity, linkKey, silence } = this.options
    this.#attempt += 1
    const connection = new Connection(openSocket(this.options), clock)
    this.#connection = connection
    // A completed handshake replaces the handlers, so only failed attempts are counted here.
    connection.handlers = { ...noopHandlers, closed: reason => { if (this.#isOpen) this.#failedAttempts.record(reason) } }
    const session = this.#session
    const offer: Offer = {
      identity,
      started: performance.timeOrigin,
      dialer: this.#dialerId,
      session: session === undefined ? this.#attempt : this.#sessionAttempt,
      attempt: this.#attempt
    }
    const handshakeTimer = clock.after(clamp(silence, MIN_DIAL_TIMEOUT_MS, HANDSHAKE_TIMEOUT_MS), () => { connection.terminate('handshake timed out') })
    connection.socket.once('upgrade', res => {
      const context = { identity, linkKey, binding: tlsChannelBinding(res.socket), randomBytes }
      this.#runHandshake(connection, new DialerHandshake(context, offer, () => session?.receivedSeq ?? 0), handshakeTimer)
    })
    connection.socket.once('close', () => {
      handshakeTimer.close()
      this.#retry(connection)
    })
  }

  #runHandshake (connection: Connection, handshake: DialerHandshake, handshakeTimer: Timer): void {
    const receive = (data: Uint8Array): void => {
      let step: HandshakeStep<DialerResult>
      try {
        step = handshake.receive(data)
      } catch (err) {
        connection.terminate(toError(err).message)
        return
      }
      if (step.reply !== undefined) connection.send(step.reply)
      if (step.result === undefined) return
      handshakeTimer.close()
      this.#applyAnswer(connection, handshake.offer, step.result.answer)
    }
    connection.handlers = { ...connection.handlers, receive, malformed: () => { connection.terminate('malformed') } }
    connection.socket.once('open', () => { connection.send(handshake.start()) })
  }

  /** Applies the authenticated answer of the listening end. */
  #applyAnswer (connection: Connection, offer: Offer, answer: Answer): void {
    const currentSession = this.#session
    if (answer.outcome === 'superseded') {
      currentSession?.end('expired')
      connection.terminate('superseded by a newer process on this host')
      return
    }
    if (answer.outcome === 'gone') {
      currentSession?.end(answer.identity.incarnation === currentSession.peer.incarnation ? 'expired' : 'peer-restarted')
      connection.terminate('the session has ended')
      this.#failures = 0
      return
    }
    const session = answer.outcome === 'resumed' ? currentSession : this.#openSession(offer, answer)
    if (session === undefined) connection.terminate('the session has ended')
    else this.#attach(session, connection, answer.received)
  }

  #attach (session: LinkSession, connection: Connection, received: number): void {
    const { clock, heartbeat } = this.options
    session.attach(connection, received)
    const stableTimer = clock.after(heartbeat, () => { this.#failures = 0 })
    connection.socket.once('close', () => { stableTimer.close() })
  }

  #openSession (offer: Offer, answer: Answer): LinkSession {
    const limits = sessionLimits('dialer', this.options)
    const session: LinkSession = new LinkSession(answer.identity, this.options.clock, limits, () => {
      if (this.#session === session) this.#session = undefined
    })
    this.#session = session
    this.#sessionAttempt = offer.session
    this.#sessions.emit(session)
    return session
  }

  #retry (connection: Connection): void {
    if (!this.#isOpen || this.#connection !== connection) return
    this.#failures += 1
    const delay = backoffDelay(this.#failures, this.options.random ?? Math.random)
    this.#timer = this.options.clock.after(delay, () => { this.#dial() })
  }
}

/**
 * Dials a peer until closed. Reconnects immediately after a lost connection, then with exponential backoff.
 *
 * @param options - identity, key, timeouts and limits, and address of the peer
 */
export const dialSessions: DialSessions = options => {
  const dialer = new LinkDialer(options)
  return { sessions: dialer.sessions, close: dialer.close }
}
