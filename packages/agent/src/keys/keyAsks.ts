/** Asks previous homes about keys that moved here, and answers the present homes of keys that moved away. */
import { createLog, onEvent, type ServiceKey, serviceKey, type Timer } from '@fuchsiaworks/kernel'
import type { FleetLink, LinkHub, ProcessContext } from '@fuchsiaworks/fleet'
import type { KeyQueryResult, KeysCommand } from '@fuchsiaworks/policy'
import type { KeyQueryMessage, KeyQueryResultMessage } from '@fuchsiaworks/wire'
import type { KeyService } from './keyService.js'

/** Milliseconds for which a question waits for a previous home that says nothing, or while one of the two is behind. */
const ASK_LIMIT_MS = 1_000

/** Milliseconds after which a previous home is asked again while the key runs there or one of the two is behind. */
const ASK_AGAIN_MS = 25

const log = createLog('keys')

type AskCommand = Extract<KeysCommand, { kind: 'ask' }>

/** A question without a final answer. */
interface Pending {
  readonly link: FleetLink
  readonly command: AskCommand
  limit: Timer
  again: Timer | undefined
}

/** Questions about keys, both ways. */
export class KeyAsks {
  readonly #pending = new Map<number, Pending>()

  constructor (readonly context: ProcessContext, hub: LinkHub, readonly keys: KeyService) {
    hub.dispatcher.on('key-ask', (link, message) => { this.#answer(link, message) })
    hub.dispatcher.on('key-told', (link, message) => { this.#onTold(link, message) })
    onEvent(hub.closed, log, ({ link }) => { this.#onClosed(link) })
  }

  /**
   * Asks the previous home of a key; what it tells goes to the keys policy.
   *
   * @param link - the router that passes the question on
   * @param command - the question
   */
  ask (link: FleetLink, command: AskCommand): void {
    this.#pending.set(command.ask, { link, command, limit: this.#limit(command.ask), again: undefined })
    this.#send(link, command)
  }

  #send (link: FleetLink, { ask, upstream, query: question }: AskCommand): void {
    link.send({ kind: 'key-ask', ask, upstream, ...question })
  }

  #limit (ask: number): Timer {
    return this.context.clock.after(ASK_LIMIT_MS, () => { this.#tell(ask, { kind: 'unknown' }) })
  }

  #answer (link: FleetLink, { ask, service, workspace, key, fingerprint, revision }: KeyQueryMessage): void {
    const fate = this.keys.fateOf({ service, workspace, key, fingerprint, revision })
    link.send({ kind: 'key-told', ask, state: fate.kind, ...detailsOf(fate) })
  }

  #onTold (link: FleetLink, message: KeyQueryResultMessage): void {
    if (this.#pending.get(message.ask)?.link === link) this.#tell(message.ask, fateIn(message))
  }

  #tell (ask: number, fate: KeyQueryResult): void {
    const pending = this.#pending.get(ask)
    if (pending === undefined) return
    const { service, workspace, key } = pending.command.query
    const name = { service, workspace, key }
    this.keys.report({ kind: 'key-told', ...name, now: this.keys.now(), wall: this.context.clock.wall(), ask, queryResult: fate })
    if (!this.keys.isAsking(name, ask)) return this.#forget(ask, pending)
    if (fate.kind === 'running') this.#extend(ask, pending)
    pending.again?.close()
    pending.again = this.context.clock.after(ASK_AGAIN_MS, () => { this.#send(pending.link, pending.command) })
  }

  /** A previous home that runs the key is not silent. */
  #extend (ask: number, pending: Pending): void {
    pending.limit.close()
    pending.limit = this.#limit(ask)
  }

  #forget (ask: number, pending: Pending): void {
    pending.limit.close()
    pending.again?.close()
    this.#pending.delete(ask)
  }

  #onClosed (link: FleetLink): void {
    for (const [ask, pending] of this.#pending) {
      if (pending.link === link) this.#tell(ask, { kind: 'unknown' })
    }
  }
}

const detailsOf = (fate: KeyQueryResult): Pick<KeyQueryResultMessage, 'answer' | 'home'> => {
  if (fate.kind === 'ended' && fate.answer !== undefined) return { answer: fate.answer }
  return fate.kind === 'earlier' ? { home: fate.home } : {}
}

const fateIn = ({ state, answer, home }: KeyQueryResultMessage): KeyQueryResult => {
  switch (state) {
    case 'ended': return { kind: 'ended', answer }
    case 'earlier': return home === undefined ? { kind: 'unknown' } : { kind: 'earlier', home }
    default: return { kind: state }
  }
}

/** Key of the questions about keys. */
export const keyAsksKey: ServiceKey<KeyAsks> = serviceKey('key-asks')
