/** Keeps one outgoing connection to another router, over which this one tells its state. */
import { createLog, type Clock, type Millis, type Timer } from '@fuchsiaworks/kernel'
import WebSocket from 'ws'

/** Milliseconds to open a connection. */
const CONNECT_TIMEOUT_MS = 1000

/** Milliseconds between two probes of the connection. */
const PROBE_PERIOD_MS = 1500

/** Probes without an answer after which the connection counts as dead. */
const MAX_UNANSWERED = 1

/** Shortest and longest milliseconds between two attempts to connect. */
const RETRY_MS = { min: 100, max: 1000 } as const

/** Bytes that may wait to be sent; beyond that a state is left out, as a newer one follows. */
const MAX_BUFFERED_BYTES = 256 * 1024

const log = createLog('peers')

/** Connects to one address until closed. */
export class PeerDialer {
  #socket: WebSocket | undefined
  #isOpen = false
  #unanswered = 0
  #retryMs: Millis = RETRY_MS.min
  #timer: Timer | undefined
  #closed = false
  readonly #probes: Timer

  /**
   * @param address - `ip:port` of the other router
   * @param clock - source of timers
   * @param onOpen - called when a new connection can be used
   */
  constructor (readonly address: string, readonly clock: Clock, readonly onOpen: (dialer: PeerDialer) => void) {
    this.#probes = clock.every(PROBE_PERIOD_MS, () => { this.#probe() })
    this.#dial()
  }

  get isOpen (): boolean {
    return this.#isOpen
  }

  /** Sends a message when the connection is open and not choked. */
  send (bytes: Buffer): void {
    if (!this.#isOpen || this.#socket === undefined || this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) return
    this.#socket.send(bytes)
  }

  close (): void {
    this.#closed = true
    this.#probes.close()
    this.#timer?.close()
    this.#socket?.close()
  }

  #dial (): void {
    if (this.#closed) return
    const socket = new WebSocket(`ws://${this.address}`, { handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false })
    this.#socket = socket
    socket.on('open', () => {
      this.#isOpen = true
      this.#unanswered = 0
      this.#retryMs = RETRY_MS.min
      log.info('connected to another router', { address: this.address })
      this.onOpen(this)
    })
    socket.on('pong', () => { this.#unanswered = 0 })
    socket.on('error', err => { log.debug('connection to another router failed', { address: this.address, reason: err.message }) })
    socket.on('close', () => { this.#onClose() })
  }

  #onClose (): void {
    if (this.#isOpen) log.warn('lost the connection to another router', { address: this.address })
    this.#isOpen = false
    if (this.#closed) return
    this.#timer = this.clock.after(this.#retryMs, () => { this.#dial() })
    this.#retryMs = Math.min(RETRY_MS.max, this.#retryMs * 2)
  }

  #probe (): void {
    if (!this.#isOpen || this.#socket === undefined) return
    this.#unanswered += 1
    if (this.#unanswered > MAX_UNANSWERED) this.#socket.terminate()
    else this.#socket.ping()
  }
}
