/** A session over real connections: carries out what the reliability decides. */
import { assertNever, EventSource, FuchsiaError, type Clock, type Millis, type Timer } from '@fuchsiaworks/kernel'
import { decodeFrame, encodeFrame } from '../codec/frameCodec.js'
import { encodeMessage } from '../codec/messageCodec.js'
import { MalformedFrameError } from '../codec/packer.js'
import type { Frame } from '../codec/frameTypes.js'
import type { Connection, ConnectionUser } from '../link/connection.js'
import { MAX_MESSAGE_BYTES } from '../link/linkConstants.js'
import type { Message } from '../protocol/protocolTypes.js'
import { decide, nextWake } from '../reliability/reliability.js'
import { ReliabilityDb } from '../reliability/reliabilityDb.js'
import type { ReliabilityCommand, ReliabilityEvent, ReliabilityLimits } from '../reliability/reliabilityTypes.js'
import type { Identity, Session, SessionEnd, TransportEvent } from './sessionTypes.js'

/** A message is larger than a frame may be. */
export class MessageTooLargeError extends FuchsiaError {
  /** @param size - bytes of the encoded message */
  constructor (size: number) {
    super('message-too-large', `a message of ${size} bytes is larger than ${MAX_MESSAGE_BYTES}`)
  }
}

/** One end of a session. */
export class LinkSession implements Session {
  readonly #db: ReliabilityDb
  readonly #messages = new EventSource<Message>()
  readonly #transport = new EventSource<TransportEvent>()
  readonly #connections = new Map<number, Connection>()
  #settle: (end: SessionEnd) => void = () => {}
  /** What happened before the first turn of the loop was over. */
  #held: Array<() => void> | undefined = []
  #lastConnection = 0
  #timer: Timer | undefined
  #armedFor: Millis = Infinity

  readonly messages = this.#messages.stream
  readonly transport = this.#transport.stream
  readonly ended = new Promise<SessionEnd>(resolve => { this.#settle = resolve })

  /**
   * @param peer - who stands at the other end
   * @param clock - source of time
   * @param limits - bounds of the session
   * @param onEnd - called once, before `ended` settles
   */
  constructor (readonly peer: Identity, readonly clock: Clock, limits: ReliabilityLimits, readonly onEnd: (reason: SessionEnd) => void) {
    this.#db = new ReliabilityDb(limits, clock.now())
    setImmediate(() => { this.#release() })
    this.#arm()
  }

  get connected (): boolean {
    return this.#db.connection !== undefined
  }

  get unconfirmedBytes (): number {
    return this.#db.unconfirmed
  }

  get roundTrip (): Millis {
    return this.#db.estimate.roundTrip
  }

  get clockOffset (): Millis {
    return this.#db.estimate.offset
  }

  /** Last sequence number received from the peer. */
  get received (): number {
    return this.#db.received
  }

  send = (message: Message): void => {
    if (this.#db.ended) return
    const payload = encodeMessage(message)
    if (payload.byteLength > MAX_MESSAGE_BYTES) throw new MessageTooLargeError(payload.byteLength)
    this.#carryOut(decide(this.#db, { kind: 'send', now: this.clock.now(), payload }))
  }

  close = (): void => { this.end('closed') }

  /**
   * Ends the session.
   *
   * @param reason - what `ended` settles with
   */
  end (reason: SessionEnd): void {
    this.#take({ kind: 'end', now: this.clock.now(), reason })
  }

  /** Ends the session if it has expired by now. */
  checkExpiry (): void {
    this.#take({ kind: 'wake', now: this.clock.now() })
  }

  /**
   * Puts an authenticated connection beneath the session; a former one is dropped.
   *
   * @param connection - the connection
   * @param received - last sequence number that the peer has received
   */
  attach (connection: Connection, received: number): void {
    if (this.#db.ended) {
      connection.send(encodeFrame({ kind: 'bye', reason: 'closed' }))
      connection.hangUp()
      return
    }
    const number = ++this.#lastConnection
    this.#connections.set(number, connection)
    connection.user = this.#userOf(number)
    this.#take({ kind: 'attached', now: this.clock.now(), connection: number, received })
    if (this.#db.connection !== number) connection.hangUp()
  }

  #userOf (number: number): ConnectionUser {
    return {
      receive: data => { this.#receive(number, data) },
      malformed: () => { this.#take({ kind: 'malformed', now: this.clock.now(), connection: number }) },
      closed: reason => {
        this.#connections.delete(number)
        this.#take({ kind: 'detached', now: this.clock.now(), connection: number, reason })
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
      this.#take({ kind: 'malformed', now, connection })
      return
    }
    this.#take({ kind: 'frame', now, wall: this.clock.wall(), connection, frame, size: data.byteLength })
  }

  #take (event: ReliabilityEvent<Message>): void {
    this.#carryOut(decide(this.#db, event))
    this.#arm()
  }

  #flush (): void {
    const connection = this.#connections.get(this.#db.connection ?? 0)
    this.#take({ kind: 'flush', now: this.clock.now(), room: connection?.room ?? 0 })
    if (this.#db.hasUnsent) connection?.awaitRoom()
  }

  #carryOut (commands: ReadonlyArray<ReliabilityCommand<Message>>): void {
    for (const command of commands) this.#do(command)
  }

  #do (command: ReliabilityCommand<Message>): void {
    switch (command.kind) {
      case 'deliver':
        for (const message of command.payloads) this.#publish(() => { if (!this.#db.ended) this.#messages.emit(message) })
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
      case 'hang-up':
        this.#connections.get(command.connection)?.hangUp()
        return
      case 'report':
        this.#publish(() => { this.#transport.emit(command.event) })
        return
      case 'end':
        this.#finish(command.reason)
        return
      default:
        assertNever(command)
    }
  }

  #publish (run: () => void): void {
    if (this.#held === undefined) run()
    else this.#held.push(run)
  }

  #release (): void {
    const held = this.#held ?? []
    this.#held = undefined
    for (const run of held) run()
  }

  #finish (reason: SessionEnd): void {
    this.#timer?.close()
    this.onEnd(reason)
    this.#publish(() => {
      this.#messages.close()
      this.#transport.close()
      this.#settle(reason)
    })
  }

  /** Sets the timer when the next wake is earlier than the one it is set for. */
  #arm (): void {
    const due = nextWake(this.#db)
    if (due >= this.#armedFor) return
    this.#timer?.close()
    this.#armedFor = due
    this.#timer = this.clock.after(Math.max(0, due - this.clock.now()), () => {
      this.#armedFor = Infinity
      // After a pause, frames that wait in the socket are read before silence is judged.
      setImmediate(() => { this.checkExpiry() })
    })
  }
}
