/** Session over real connections: feeds events to the reliable-delivery state machine and executes its commands. */
import { assertNever, EventSource, FuchsiaError, type Clock, type Millis, type Timer } from '@fuchsiaworks/kernel'
import { decodeFrame, encodeFrame } from '../codec/frameCodec.js'
import { encodeMessage } from '../codec/messageCodec.js'
import { MalformedFrameError } from '../codec/packer.js'
import type { Frame } from '../codec/frameTypes.js'
import type { Connection, ConnectionHandlers } from '../link/connection.js'
import { MAX_MESSAGE_BYTES } from '../link/linkConstants.js'
import type { Message } from '../protocol/protocolTypes.js'
import { decide, nextWakeAt } from '../reliability/reliability.js'
import { ReliabilityDb } from '../reliability/reliabilityDb.js'
import type { ReliabilityCommand, ReliabilityEvent, ReliabilityLimits } from '../reliability/reliabilityTypes.js'
import type { Identity, Session, SessionEnd, TransportEvent } from './sessionTypes.js'

/** An encoded message exceeds the maximum message size. */
export class MessageTooLargeError extends FuchsiaError {
  /** @param size - size of the encoded message in bytes */
  constructor (size: number) {
    super('message-too-large', `message of ${size} bytes exceeds the limit of ${MAX_MESSAGE_BYTES} bytes`)
  }
}

/** One end of a session. */
export class LinkSession implements Session {
  readonly #db: ReliabilityDb
  readonly #messages = new EventSource<Message>()
  readonly #transport = new EventSource<TransportEvent>()
  readonly #connections = new Map<number, Connection>()
  #resolveEnded: (end: SessionEnd) => void = () => {}
  /** Notifications deferred until the next event loop iteration, so that subscribers can register first. */
  #deferred: Array<() => void> | undefined = []
  #lastConnectionNumber = 0
  #timer: Timer | undefined
  #timerDueAt: Millis = Infinity

  readonly messages = this.#messages.stream
  readonly transport = this.#transport.stream
  readonly ended = new Promise<SessionEnd>(resolve => { this.#resolveEnded = resolve })

  /**
   * @param peer - identity of the peer
   * @param clock - source of time
   * @param limits - timeouts and limits of the session
   * @param onEnd - called once, before `ended` resolves
   */
  constructor (readonly peer: Identity, readonly clock: Clock, limits: ReliabilityLimits, readonly onEnd: (reason: SessionEnd) => void) {
    this.#db = new ReliabilityDb(limits, clock.now())
    setImmediate(() => { this.#runDeferred() })
    this.#scheduleWake()
  }

  get connected (): boolean {
    return this.#db.connection !== undefined
  }

  get unconfirmedBytes (): number {
    return this.#db.unconfirmedBytes
  }

  get roundTrip (): Millis {
    return this.#db.clockEstimate.roundTrip
  }

  get clockOffset (): Millis {
    return this.#db.clockEstimate.offset
  }

  /** Last sequence number received from the peer. */
  get receivedSeq (): number {
    return this.#db.receivedSeq
  }

  send = (message: Message): void => {
    if (this.#db.ended) return
    const payload = encodeMessage(message)
    if (payload.byteLength > MAX_MESSAGE_BYTES) throw new MessageTooLargeError(payload.byteLength)
    this.#executeAll(decide(this.#db, { kind: 'send', now: this.clock.now(), payload }))
  }

  close = (): void => { this.end('closed') }

  /**
   * Ends the session.
   *
   * @param reason - value with which `ended` resolves
   */
  end (reason: SessionEnd): void {
    this.#handleEvent({ kind: 'end', now: this.clock.now(), reason })
  }

  /** Ends the session if it has expired by now. */
  checkExpiry (): void {
    this.#handleEvent({ kind: 'wake', now: this.clock.now() })
  }

  /**
   * Attaches an authenticated connection; a previous connection is dropped.
   *
   * @param connection - the connection
   * @param received - last sequence number that the peer has received
   */
  attach (connection: Connection, received: number): void {
    if (this.#db.ended) {
      connection.send(encodeFrame({ kind: 'bye', reason: 'closed' }))
      connection.closeGracefully()
      return
    }
    const number = ++this.#lastConnectionNumber
    this.#connections.set(number, connection)
    connection.handlers = this.#handlersFor(number)
    this.#handleEvent({ kind: 'attached', now: this.clock.now(), connection: number, received })
    if (this.#db.connection !== number) connection.closeGracefully()
  }

  #handlersFor (number: number): ConnectionHandlers {
    return {
      receive: data => { this.#receive(number, data) },
      malformed: () => { this.#handleEvent({ kind: 'malformed', now: this.clock.now(), connection: number }) },
      closed: reason => {
        this.#connections.delete(number)
        this.#handleEvent({ kind: 'detached', now: this.clock.now(), connection: number, reason })
      },
      drained: () => { this.#flush() }
    }
  }

  #receive (connection: number, data: Uint8Array): void {
    const now = this.clock.now()
    let frame: Frame<Message>
    try {
      frame = decodeFrame(data)
    } catch (err) {
      if (!(err instanceof MalformedFrameError)) throw err
      this.#handleEvent({ kind: 'malformed', now, connection })
      return
    }
    this.#handleEvent({ kind: 'frame', now, wall: this.clock.wall(), connection, frame, size: data.byteLength })
  }

  #handleEvent (event: ReliabilityEvent<Message>): void {
    this.#executeAll(decide(this.#db, event))
    this.#scheduleWake()
  }

  #flush (): void {
    const connection = this.#connections.get(this.#db.connection ?? 0)
    this.#handleEvent({ kind: 'flush', now: this.clock.now(), writableBytes: connection?.writableBytes ?? 0 })
    if (this.#db.hasUnsent) connection?.notifyWhenDrained()
  }

  #executeAll (commands: ReadonlyArray<ReliabilityCommand<Message>>): void {
    for (const command of commands) this.#execute(command)
  }

  #execute (command: ReliabilityCommand<Message>): void {
    switch (command.kind) {
      case 'deliver':
        for (const message of command.payloads) this.#runOrDefer(() => { if (!this.#db.ended) this.#messages.emit(message) })
        return
      case 'transmit':
        this.#connections.get(command.connection)?.send(encodeFrame(command.frame))
        return
      case 'schedule-flush':
        setImmediate(() => { this.#flush() })
        return
      case 'terminate':
        this.#connections.get(command.connection)?.terminate('dropped here')
        return
      case 'close-gracefully':
        this.#connections.get(command.connection)?.closeGracefully()
        return
      case 'report':
        this.#runOrDefer(() => { this.#transport.emit(command.event) })
        return
      case 'end':
        this.#finish(command.reason)
        return
      default:
        assertNever(command)
    }
  }

  #runOrDefer (run: () => void): void {
    if (this.#deferred === undefined) run()
    else this.#deferred.push(run)
  }

  #runDeferred (): void {
    const deferred = this.#deferred ?? []
    this.#deferred = undefined
    for (const run of deferred) run()
  }

  #finish (reason: SessionEnd): void {
    this.#timer?.close()
    this.onEnd(reason)
    this.#runOrDefer(() => {
      this.#messages.close()
      this.#transport.close()
      this.#resolveEnded(reason)
    })
  }

  /** Reschedules the wake timer if the next wake is due earlier than the timer. */
  #scheduleWake (): void {
    const due = nextWakeAt(this.#db)
    if (due >= this.#timerDueAt) return
    this.#timer?.close()
    this.#timerDueAt = due
    this.#timer = this.clock.after(Math.max(0, due - this.clock.now()), () => {
      this.#timerDueAt = Infinity
      // After a process pause, frames that are waiting in the socket are read before the silence timeout is checked.
      setImmediate(() => { this.checkExpiry() })
    })
  }
}
