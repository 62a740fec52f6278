/** Outgoing WebSocket connection to a peer gateway, over which this gateway sends its state. */
import { createLog, type Clock, type Millis, type Timer } from '@fuchsiaworks/kernel'
import WebSocket from 'ws'

const CONNECT_TIMEOUT_MS = 1000

const PING_INTERVAL_MS = 1500

/** Consecutive pings without a pong after which the connection is considered dead. */
const MAX_UNANSWERED_PINGS = 1

/** Bounds of the exponential backoff between attempts to connect. */
const RECONNECT_DELAY_MS = { min: 100, max: 1000 } as const

/** Send buffer size above which a state is skipped; a newer one follows, with the events of those that were skipped. */
const MAX_BUFFERED_BYTES = 256 * 1024

const log = createLog('peers')

/** Keeps a connection to one address open and reconnects until closed. */
export class PeerDialer {
  #socket: WebSocket | undefined
  #isOpen = false
  /** True after messages were skipped, whose events are not sent again by themselves. */
  #hasSkipped = false
  #unansweredPings = 0
  #reconnectDelayMs: Millis = RECONNECT_DELAY_MS.min
  #reconnectTimer: Timer | undefined
  #closed = false
  readonly #pingTimer: Timer

  /**
   * @param address - `ip:port` of the peer gateway
   * @param clock - source of timers
   * @param sendRecent - sends the state with recent events: called when a connection was established, and after messages were skipped
   * @param onSent - called with the size of each message
   */
  constructor (readonly address: string, readonly clock: Clock, readonly sendRecent: (dialer: PeerDialer) => void, readonly onSent: (bytes: number) => void = () => {}) {
    this.#pingTimer = clock.every(PING_INTERVAL_MS, () => { this.#ping() })
    this.#connect()
  }

  get isOpen (): boolean {
    return this.#isOpen
  }

  /** Sends a message; skipped while the connection is closed or its send buffer is full. */
  send (bytes: Buffer): void {
    if (!this.#isOpen || this.#socket === undefined) return
    if (this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.#hasSkipped = true
      return
    }
    if (this.#hasSkipped) {
      this.#hasSkipped = false
      return this.sendRecent(this)
    }
    this.#socket.send(bytes)
    this.onSent(bytes.length)
  }

  close (): void {
    this.#closed = true
    this.#pingTimer.close()
    this.#reconnectTimer?.close()
    this.#socket?.close()
  }

  #connect (): void {
    if (this.#closed) return
    const socket = new WebSocket(`ws://${this.address}`, { handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false })
    this.#socket = socket
    socket.on('open', () => {
      this.#isOpen = true
      this.#unansweredPings = 0
      this.#reconnectDelayMs = RECONNECT_DELAY_MS.min
      log.info('connected to peer gateway', { address: this.address })
      this.#hasSkipped = false
      this.sendRecent(this)
    })
    socket.on('pong', () => { this.#unansweredPings = 0 })
    socket.on('error', err => { log.debug('connection to peer gateway failed', { address: this.address, reason: err.message }) })
    socket.on('close', () => { this.#onClose() })
  }

  #onClose (): void {
    if (this.#isOpen) log.warn('connection to peer gateway closed', { address: this.address })
    this.#isOpen = false
    if (this.#closed) return
    this.#reconnectTimer = this.clock.after(this.#reconnectDelayMs, () => { this.#connect() })
    this.#reconnectDelayMs = Math.min(RECONNECT_DELAY_MS.max, this.#reconnectDelayMs * 2)
  }

  #ping (): void {
    if (!this.#isOpen || this.#socket === undefined) return
    this.#unansweredPings += 1
    if (this.#unansweredPings > MAX_UNANSWERED_PINGS) this.#socket.terminate()
    else this.#socket.ping()
  }
}
