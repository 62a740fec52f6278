/** A WebSocket between two gateways that carries the bytes of many connections; frames are sent in batches. */
import { type Clock, createLog, type Millis, type Timer, toError } from '@fuchsiaworks/kernel'
import type { WebSocket } from 'ws'
import { decodeOffloadFrames, encodeOffloadFrames } from './offloadCodec.js'
import type { ConnectionNumber, DataFrame, OffloadFrame } from './offloadTypes.js'

/** Interval at which it is checked whether the other side is alive. */
const CHECK_INTERVAL_MS: Millis = 250

/** Time between two checks, as a multiple of their interval, from which this process has been paused. */
const MAX_CHECK_LATENESS = 2

/** Time without any message after which the other side is pinged, by whether connections depend on the link. */
const PING_AFTER_MS = { inUse: 300, idle: 3000 } as const

/** Time without an answer to a ping after which the link counts as dead. */
const PONG_TIMEOUT_MS: Millis = 700

const log = createLog('offload')

/** Data of one connection that waits for the next batch. */
interface PendingData {
  /** Position of its frame in the batch. */
  readonly position: number
  /** The frame that was added last. */
  frame: DataFrame
  /** Bytes of the frame, in pieces: joining them for each further piece would copy the ones before again and again. */
  readonly pieces: Buffer[]
}

/** What happens on a link. */
export interface OffloadLinkHandler {
  readonly onFrame: (frame: OffloadFrame) => void
  /** Called with the size of each message that is sent or received. */
  readonly onMessage?: (bytes: number) => void
  /** True while connections depend on the link. */
  readonly isInUse: () => boolean
  /** Called once, when the link has ended. */
  readonly onClose: () => void
}

/** One open link. */
export class OffloadLink {
  readonly #clock: Clock
  readonly #socket: WebSocket
  readonly #batchMs: Millis
  readonly #handler: OffloadLinkHandler
  readonly #checkTimer: Timer
  #pending: OffloadFrame[] = []
  /** Data in `#pending` to which further data of the same connection is added. */
  readonly #pendingData = new Map<ConnectionNumber, PendingData>()
  #batchTimer: Timer | undefined
  #lastReceivedAt: Millis
  #checkedAt: Millis
  /** Time of a ping after which nothing was received; undefined when there is none. */
  #pingedAt: Millis | undefined

  /**
   * @param clock - source of time
   * @param socket - open WebSocket
   * @param batchMs - time for which frames are collected into one message
   * @param handler - receives the frames
   */
  constructor (clock: Clock, socket: WebSocket, batchMs: Millis, handler: OffloadLinkHandler) {
    this.#clock = clock
    this.#socket = socket
    this.#batchMs = batchMs
    this.#handler = handler
    this.#lastReceivedAt = clock.now()
    this.#checkedAt = clock.now()
    this.#checkTimer = clock.every(CHECK_INTERVAL_MS, () => { this.#checkAlive() })
    socket.on('message', data => { this.#receive(data as Buffer) })
    socket.on('pong', () => { this.#recordReceived() })
    socket.on('ping', () => { this.#recordReceived() })
    socket.on('error', err => { log.debug('offload link failed', { reason: err.message }) })
    socket.on('close', () => {
      this.#stopTimers()
      handler.onClose()
    })
  }

  /** Sends a frame with the next batch. */
  send (frame: OffloadFrame): void {
    if (frame.kind === 'data') this.#addData(frame)
    else this.#pending.push(frame)
    this.#batchTimer ??= this.#clock.after(this.#batchMs, () => { this.flush() })
  }

  /** Sends the collected frames now. */
  flush (): void {
    this.#batchTimer?.close()
    this.#batchTimer = undefined
    if (this.#pending.length === 0 || this.#socket.readyState !== this.#socket.OPEN) return
    for (const data of this.#pendingData.values()) this.#join(data)
    const message = encodeOffloadFrames(this.#pending)
    this.#pending = []
    this.#pendingData.clear()
    this.#socket.send(message)
    this.#handler.onMessage?.(message.length)
  }

  /** Closes the link at once; its connections end. */
  close (): void {
    this.#stopTimers()
    this.#socket.terminate()
  }

  /** Data of one connection becomes one frame of the batch, so that the receiver passes it on with one write. */
  #addData (frame: DataFrame): void {
    const { connection, bytes, unreadMs } = frame
    const earlier = this.#pendingData.get(connection)
    // What was read later may belong to another request, which has not waited.
    if (earlier?.frame.unreadMs === unreadMs) {
      earlier.pieces.push(bytes)
      earlier.frame = frame
      return
    }
    if (earlier !== undefined) this.#join(earlier)
    this.#pendingData.set(connection, { position: this.#pending.length, frame, pieces: [bytes] })
    this.#pending.push(frame)
  }

  #join ({ position, frame, pieces }: PendingData): void {
    if (pieces.length > 1) this.#pending[position] = { ...frame, bytes: Buffer.concat(pieces) }
  }

  #receive (message: Buffer): void {
    this.#recordReceived()
    this.#handler.onMessage?.(message.length)
    try {
      for (const frame of decodeOffloadFrames(message)) this.#handler.onFrame(frame)
    } catch (err) {
      log.warn('message on an offload link rejected', { reason: toError(err).message })
      this.#socket.terminate()
    }
  }

  #recordReceived (): void {
    this.#lastReceivedAt = this.#clock.now()
    this.#pingedAt = undefined
  }

  #checkAlive (): void {
    const now = this.#clock.now()
    const sinceCheckMs = now - this.#checkedAt
    this.#checkedAt = now
    // After a pause of this process, messages that have arrived meanwhile are read only after its timers have run.
    if (sinceCheckMs > MAX_CHECK_LATENESS * CHECK_INTERVAL_MS) this.#pingedAt = undefined
    if (this.#pingedAt !== undefined) {
      if (now - this.#pingedAt < PONG_TIMEOUT_MS) return
      log.warn('offload link is silent', { silenceMs: Math.round(now - this.#lastReceivedAt) })
      return this.#socket.terminate()
    }
    const pingAfterMs = this.#handler.isInUse() ? PING_AFTER_MS.inUse : PING_AFTER_MS.idle
    if (now - this.#lastReceivedAt < pingAfterMs) return
    this.#pingedAt = now
    this.#socket.ping()
  }

  #stopTimers (): void {
    this.#checkTimer.close()
    this.#batchTimer?.close()
    this.#batchTimer = undefined
  }
}
