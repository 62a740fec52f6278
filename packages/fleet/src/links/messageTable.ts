/** Which part of a process handles which kind of message. */
import { FuchsiaError } from '@fuchsiaworks/kernel'
import type { Message } from '@fuchsiaworks/wire'
import type { FleetLink } from './fleetLink.js'

/** A message of one kind. */
export type MessageOf<K extends Message['kind']> = Extract<Message, { kind: K }>

/** Handles messages of one kind. */
export type MessageHandler<K extends Message['kind']> = (link: FleetLink, message: MessageOf<K>) => void

/** Two parts asked for the same kind of message. */
export class DuplicateHandlerError extends FuchsiaError {
  constructor (kind: string) {
    super('duplicate-handler', `messages of kind "${kind}" have a handler already`)
  }
}

/** Registry of handlers by message kind. */
export class MessageDispatcher {
  readonly #handlers = new Map<Message['kind'], (link: FleetLink, message: never) => void>()

  /**
   * Registers the handler of a kind.
   *
   * @param kind - the kind
   * @param handler - called for each message of it
   * @throws DuplicateHandlerError when the kind has a handler
   */
  on<K extends Message['kind']> (kind: K, handler: MessageHandler<K>): void {
    if (this.#handlers.has(kind)) throw new DuplicateHandlerError(kind)
    this.#handlers.set(kind, handler)
  }

  /**
   * Passes a message to its handler.
   *
   * @param link - where it came from
   * @param message - the message
   * @returns false when this process handles no such messages
   */
  dispatch (link: FleetLink, message: Message): boolean {
    const handler = this.#handlers.get(message.kind)
    if (handler === undefined) return false
    handler(link, message as never)
    return true
  }
}
