/** Connection of a stream recorder to one gateway. */
import { type Clock, createLog, type Millis, type Timer, toError } from '@fuchsiaworks/kernel'
import WebSocket from 'ws'
import { decodeGatewayMessage, encodeRecorderAnswer } from './streamRecorderCodec.js'
import { ENOUGH_RECORDERS_CODE, type GatewayMessage, type RecorderAnswer } from './streamRecorderTypes.js'

const CONNECT_TIMEOUT_MS = 600

/** Interval of pings; a connection ends after two without an answer. */
const PING_INTERVAL_MS: Millis = 1500
const MAX_UNANSWERED_PINGS = 1

/** Time within which a gateway sends its first message; one of an earlier build takes the recorder for a peer and sends none. */
const FIRST_MESSAGE_MS: Millis = 3000

const MAX_MESSAGE_BYTES = 256 * 1024

const log = createLog('recorder')

/** Why a connection has ended. */
export type ConnectionEnd =
  | 'lost'
  /** The gateway has enough recorders, or has sent a malformed message. */
  | 'rejected'
  /** The gateway knows no recorders. */
  | 'unsupported'

/** What happens on a connection. */
export interface GatewayConnectionHandler {
  readonly onMessage: (message: GatewayMessage) => void
  /** Called once, also when the gateway could not be reached. */
  readonly onEnd: (end: ConnectionEnd) => void
}

/** True once a malformed message was logged; a gateway that sends them would repeat the line. */
let hasLoggedMalformed = false

/** A connection that is being opened or is open. */
export class GatewayConnection {
  readonly #handler: GatewayConnectionHandler
  readonly #socket: WebSocket
  readonly #pingTimer: Timer
  #firstMessageTimer: Timer | undefined
  #unansweredPings = 0
  #checkedAt: Millis
  #end: ConnectionEnd = 'lost'

  /**
   * @param clock - source of time
   * @param address - `ip:port` of the gateway's peer port
   * @param path - path to open
   * @param handler - receives messages and the end
   */
  constructor (clock: Clock, address: string, path: string, handler: GatewayConnectionHandler) {
    this.#handler = handler
    this.#checkedAt = clock.now()
    // Masking protects intermediaries that don't know WebSockets; there are none here, and it costs time for each byte.
    const socket = new WebSocket(`ws://${address}${path}`, { handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_MESSAGE_BYTES, generateMask: mask => { mask.fill(0) } })
    this.#socket = socket
    this.#pingTimer = clock.every(PING_INTERVAL_MS, () => { this.#ping(clock.now()) })
    socket.on('open', () => {
      this.#firstMessageTimer = clock.after(FIRST_MESSAGE_MS, () => { this.#terminate('unsupported') })
    })
    socket.on('message', data => { this.#receive(data as Buffer) })
    socket.on('pong', () => { this.#unansweredPings = 0 })
    socket.on('unexpected-response', () => { this.#terminate('unsupported') })
    socket.on('error', err => { log.debug('connection to a gateway failed', { address, reason: err.message }) })
    socket.on('close', code => {
      this.#pingTimer.close()
      this.#firstMessageTimer?.close()
      handler.onEnd(code === ENOUGH_RECORDERS_CODE ? 'rejected' : this.#end)
    })
  }

  answer (answer: RecorderAnswer): void {
    if (this.#socket.readyState === WebSocket.OPEN) this.#socket.send(encodeRecorderAnswer(answer))
  }

  close (): void {
    this.#socket.terminate()
  }

  #receive (bytes: Buffer): void {
    this.#unansweredPings = 0
    this.#firstMessageTimer?.close()
    try {
      this.#handler.onMessage(decodeGatewayMessage(bytes))
    } catch (err) {
      log[hasLoggedMalformed ? 'debug' : 'warn']('message of a gateway rejected', { reason: toError(err).message })
      hasLoggedMalformed = true
      this.#terminate('rejected')
    }
  }

  #terminate (end: ConnectionEnd): void {
    this.#end = end
    this.#socket.terminate()
  }

  #ping (now: Millis): void {
    // After a pause of this process, answers that have arrived meanwhile are read only after its timers have run.
    if (now - this.#checkedAt > 2 * PING_INTERVAL_MS) this.#unansweredPings = 0
    this.#checkedAt = now
    if (this.#socket.readyState !== WebSocket.OPEN) return
    this.#unansweredPings += 1
    if (this.#unansweredPings > MAX_UNANSWERED_PINGS) {
      log.warn('gateway is silent', { pings: MAX_UNANSWERED_PINGS })
      return this.#socket.terminate()
    }
    this.#socket.ping()
  }
}
