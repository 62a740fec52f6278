/** Passes questions about idempotency keys from their present homes to their previous ones, and the answers back. */
import { createLog, onEvent, type ServiceKey, serviceKey, type UpstreamId } from '@fuchsiaworks/kernel'
import type { FleetLink, LinkHub } from '@fuchsiaworks/fleet'
import type { KeyQueryMessage, KeyQueryResultMessage } from '@fuchsiaworks/wire'
import type { AgentStates } from '../links/agentStates.js'

/** Questions that wait for an answer at most; beyond it the oldest is answered as unknown. */
const MAX_PENDING = 4_096

const log = createLog('keys')

/** A question that was passed on. */
interface Passed {
  readonly asker: FleetLink
  /** The asker's number. */
  readonly ask: number
  readonly home: FleetLink
}

/** Questions by this router's own number, oldest first. */
export class KeyRelay {
  readonly #passed = new Map<number, Passed>()
  #number = 0

  constructor (hub: LinkHub, readonly states: AgentStates) {
    hub.dispatcher.on('key-ask', (link, message) => { this.#onAsk(link, message) })
    hub.dispatcher.on('key-told', (link, message) => { this.#onTold(link, message) })
    onEvent(hub.closed, log, ({ link }) => { this.#onClosed(link) })
  }

  #onAsk (asker: FleetLink, message: KeyQueryMessage): void {
    const home = this.#linkTo(message.upstream)
    if (home === undefined) return asker.send({ kind: 'key-told', ask: message.ask, state: 'unknown' })
    this.#number += 1
    this.#passed.set(this.#number, { asker, ask: message.ask, home })
    this.#bound()
    home.send({ ...message, ask: this.#number })
  }

  #linkTo (upstream: UpstreamId): FleetLink | undefined {
    let newest: FleetLink | undefined
    for (const [link, state] of this.states.all()) {
      if (state.upstream === upstream) newest = link
    }
    return newest
  }

  #onTold (home: FleetLink, message: KeyQueryResultMessage): void {
    const passed = this.#passed.get(message.ask)
    if (passed?.home !== home) return
    this.#passed.delete(message.ask)
    passed.asker.send({ ...message, ask: passed.ask })
  }

  #bound (): void {
    const [oldest] = this.#passed
    if (this.#passed.size > MAX_PENDING && oldest !== undefined) this.#answerUnknown(...oldest)
  }

  #onClosed (link: FleetLink): void {
    for (const [number, passed] of this.#passed) {
      if (passed.asker === link) this.#passed.delete(number)
      else if (passed.home === link) this.#answerUnknown(number, passed)
    }
  }

  #answerUnknown (number: number, { asker, ask }: Passed): void {
    this.#passed.delete(number)
    asker.send({ kind: 'key-told', ask, state: 'unknown' })
  }
}

/** Key of the relay of questions about keys. */
export const keyRelayKey: ServiceKey<KeyRelay> = serviceKey('key-relay')
