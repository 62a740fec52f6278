/** Dispatches messages of peers to handlers by message kind. */
import { FuchsiaError } from '@fuchsiaworks/kernel'
import type { Message } from '@fuchsiaworks/wire'
import type { FleetLink } from './fleetLink.js'

/** A message of one kind. */
export type MessageOf<K extends Message['kind']> = Extract<Message, { kind: K }>

/** Handles messages of one kind. */
export type MessageHandler<K extends Message['kind']> = (link: FleetLink, message: MessageOf<K>) => void

/** A second handler was registered for a message kind. */
export class DuplicateHandlerError extends FuchsiaError {
  constructor (kind: string) {
    super('duplicate-handler', `a handler for messages of kind "${kind}" is already registered`)
  }
}

/** Holds one handler for each message kind. */
export class MessageDispatcher {
  readonly #handlers = new Map<Message['kind'], (link: FleetLink, message: never) => void>()

  /**
   * Registers the handler of a message kind.
   *
   * @param handler - called for each message of that kind
   * @throws DuplicateHandlerError when the kind has a handler already
   */
  on<K extends Message['kind']> (kind: K, handler: MessageHandler<K>): void {
    if (this.#handlers.has(kind)) throw new DuplicateHandlerError(kind)
    this.#handlers.set(kind, handler)
  }

  /**
   * Passes a message to its handler.
   *
   * @param link - link on which the message arrived
   * @returns false when no handler is registered for its kind
   */
  dispatch (link: FleetLink, message: Message): boolean {
    const handler = this.#handlers.get(message.kind)
    if (handler === undefined) return false
    handler(link, message as never)
    return true
  }
}
