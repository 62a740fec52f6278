/** A session over one connection. */
import { EventSource, type Clock } from '@fuchsiaworks/kernel'
import type { WebSocket } from 'ws'
import { decode, encode } from '../codec/codec.js'
import type { Message } from '../protocol/protocolTypes.js'
import type { Identity, Session, SessionEnd, TransportEvent } from './sessionTypes.js'

/** Session that ends with its connection. */
export class BasicSession implements Session {
  readonly #messages = new EventSource<Message>()
  readonly #transport = new EventSource<TransportEvent>()
  readonly #outbox: Message[] = []
  #held: Message[] | undefined = []
  #settle: (end: SessionEnd) => void = () => {}
  #open = true

  readonly messages = this.#messages.stream
  readonly transport = this.#transport.stream
  readonly ended = new Promise<SessionEnd>(resolve => { this.#settle = resolve })
  readonly unconfirmed = 0
  readonly roundTrip = 0
  readonly clockOffset = 0

  constructor (readonly peer: Identity, readonly socket: WebSocket, readonly clock: Clock) {
    socket.on('message', (data: Buffer) => { this.#receive(decode(data) as Message[]) })
    socket.on('close', () => { this.#end('peer-closed') })
    setImmediate(() => { this.#release() })
  }

  get connected (): boolean {
    return this.#open
  }

  send = (message: Message): void => {
    if (!this.#open) return
    if (this.#outbox.push(message) === 1) setImmediate(() => { this.#flush() })
  }

  close = (): void => {
    if (!this.#open) return
    this.#flush()
    this.socket.close()
    this.#end('closed')
  }

  #flush (): void {
    if (!this.#open || this.#outbox.length === 0) return
    this.socket.send(encode(this.#outbox.splice(0)))
  }

  #receive (batch: Message[]): void {
    if (this.#held !== undefined) this.#held.push(...batch)
    else for (const message of batch) this.#messages.emit(message)
  }

  #release (): void {
    const held = this.#held ?? []
    this.#held = undefined
    this.#receive(held)
  }

  #end (reason: SessionEnd): void {
    if (!this.#open) return
    this.#open = false
    this.#settle(reason)
    this.#messages.close()
    this.#transport.close()
  }
}
