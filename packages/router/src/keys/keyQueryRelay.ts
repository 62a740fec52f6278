/**
 * Relays queries about idempotency keys from the agent of a key's current home to the agent of its previous home, and the
 * replies back. The home of a key is the upstream that owns it.
 */
import { createLog, onEvent, type ServiceKey, serviceKey, type UpstreamId } from '@fuchsiaworks/kernel'
import type { FleetLink, LinkHub } from '@fuchsiaworks/fleet'
import type { KeyQueryMessage, KeyQueryResultMessage } from '@fuchsiaworks/wire'
import type { AgentStates } from '../links/agentStates.js'

/** Maximum number of pending queries. When it is exceeded, the oldest query receives the reply `unknown`. */
const MAX_PENDING_QUERIES = 4_096

const log = createLog('keys')

/** A forwarded query without a reply yet. */
interface PendingQuery {
  readonly requester: FleetLink
  /** Query id chosen by the requester. */
  readonly originalId: number
  readonly homeLink: FleetLink
}

/** Forwards queries under ids of its own, because ids of different requesters may collide. */
export class KeyQueryRelay {
  /** Pending queries by forwarded id, oldest first. */
  readonly #pending = new Map<number, PendingQuery>()
  #lastQueryId = 0

  constructor (hub: LinkHub, readonly agentStates: AgentStates) {
    hub.dispatcher.on('key-ask', (link, message) => { this.#onQuery(link, message) })
    hub.dispatcher.on('key-told', (link, message) => { this.#onReply(link, message) })
    onEvent(hub.closed, log, ({ link }) => { this.#onLinkClosed(link) })
  }

  #onQuery (requester: FleetLink, message: KeyQueryMessage): void {
    const home = this.#findAgentLink(message.upstream)
    if (home === undefined) return requester.send({ kind: 'key-told', ask: message.ask, state: 'unknown' })
    this.#lastQueryId += 1
    this.#pending.set(this.#lastQueryId, { requester, originalId: message.ask, homeLink: home })
    this.#limitPending()
    home.send({ ...message, ask: this.#lastQueryId })
  }

  /** @returns the link whose first state arrived last, if several links report the upstream */
  #findAgentLink (upstream: UpstreamId): FleetLink | undefined {
    let newest: FleetLink | undefined
    for (const [link, state] of this.agentStates.entries()) {
      if (state.upstream === upstream) newest = link
    }
    return newest
  }

  #onReply (home: FleetLink, message: KeyQueryResultMessage): void {
    const pending = this.#pending.get(message.ask)
    if (pending?.homeLink !== home) return
    this.#pending.delete(message.ask)
    pending.requester.send({ ...message, ask: pending.originalId })
  }

  #limitPending (): void {
    const [oldest] = this.#pending
    if (this.#pending.size > MAX_PENDING_QUERIES && oldest !== undefined) this.#replyUnknown(...oldest)
  }

  #onLinkClosed (link: FleetLink): void {
    for (const [queryId, pending] of this.#pending) {
      if (pending.requester === link) this.#pending.delete(queryId)
      else if (pending.homeLink === link) this.#replyUnknown(queryId, pending)
    }
  }

  #replyUnknown (queryId: number, { requester, originalId }: PendingQuery): void {
    this.#pending.delete(queryId)
    requester.send({ kind: 'key-told', ask: originalId, state: 'unknown' })
  }
}

export const keyQueryRelayKey: ServiceKey<KeyQueryRelay> = serviceKey('key-query-relay')
