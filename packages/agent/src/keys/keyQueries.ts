/**
 * Exchanges queries about idempotency keys whose home (the upstream that owns the key) changed with the configuration: queries the
 * previous homes of keys that moved to this upstream, and replies to the queries about keys that moved away.
 */
import { createLog, onEvent, type ServiceKey, serviceKey, type Timer } from '@fuchsiaworks/kernel'
import type { FleetLink, LinkHub, ProcessContext } from '@fuchsiaworks/fleet'
import type { KeyQueryResult, KeysCommand } from '@fuchsiaworks/policy'
import type { KeyQueryMessage, KeyQueryResultMessage } from '@fuchsiaworks/wire'
import type { KeyService } from './keyService.js'

/**
 * Milliseconds after which a query ends as `unknown`, because the previous home did not reply or one of the two homes has not
 * applied the newest configuration.
 */
const QUERY_TIMEOUT_MS = 1_000

/** Milliseconds between repetitions of a query while the key runs at the previous home or one of the two homes has not applied the newest configuration. */
const QUERY_RETRY_INTERVAL_MS = 25

const log = createLog('keys')

type QueryCommand = Extract<KeysCommand, { kind: 'ask' }>

/** A query without a final result. */
interface PendingQuery {
  readonly link: FleetLink
  readonly command: QueryCommand
  timeout: Timer
  retryTimer: Timer | undefined
}

/** Sends queries about keys and replies to those of other homes. Routers relay both. */
export class KeyQueries {
  readonly #pending = new Map<number, PendingQuery>()

  constructor (readonly context: ProcessContext, hub: LinkHub, readonly keys: KeyService) {
    hub.dispatcher.on('key-ask', (link, message) => { this.#onQuery(link, message) })
    hub.dispatcher.on('key-told', (link, message) => { this.#onResult(link, message) })
    onEvent(hub.closed, log, ({ link }) => { this.#onLinkClosed(link) })
  }

  /**
   * Queries the previous home of a key; the result goes to the keys policy.
   *
   * @param link - the router that relays the query
   * @param command - the query
   */
  send (link: FleetLink, command: QueryCommand): void {
    this.#pending.set(command.ask, { link, command, timeout: this.#startTimeout(command.ask), retryTimer: undefined })
    this.#sendQuery(link, command)
  }

  #sendQuery (link: FleetLink, { ask, upstream, query }: QueryCommand): void {
    link.send({ kind: 'key-ask', ask, upstream, ...query })
  }

  #startTimeout (queryId: number): Timer {
    return this.context.clock.after(QUERY_TIMEOUT_MS, () => { this.#applyResult(queryId, { kind: 'unknown' }) })
  }

  #onQuery (link: FleetLink, { ask, service, workspace, key, fingerprint, revision }: KeyQueryMessage): void {
    const result = this.keys.answerKeyQuery({ service, workspace, key, fingerprint, revision })
    link.send({ kind: 'key-told', ask, state: result.kind, ...resultFieldsOf(result) })
  }

  #onResult (link: FleetLink, message: KeyQueryResultMessage): void {
    if (this.#pending.get(message.ask)?.link === link) this.#applyResult(message.ask, queryResultIn(message))
  }

  #applyResult (queryId: number, result: KeyQueryResult): void {
    const pending = this.#pending.get(queryId)
    if (pending === undefined) return
    const { service, workspace, key } = pending.command.query
    const scopedKey = { service, workspace, key }
    this.keys.report({ kind: 'key-told', ...scopedKey, now: this.keys.now(), wall: this.context.clock.wall(), ask: queryId, queryResult: result })
    if (!this.keys.isQueryPending(scopedKey, queryId)) return this.#forget(queryId, pending)
    if (result.kind === 'running') this.#restartTimeout(queryId, pending)
    pending.retryTimer?.close()
    pending.retryTimer = this.context.clock.after(QUERY_RETRY_INTERVAL_MS, () => { this.#sendQuery(pending.link, pending.command) })
  }

  /** Extends a query whose key still runs at the previous home: the run may exceed the timeout, which covers only missing replies. */
  #restartTimeout (queryId: number, pending: PendingQuery): void {
    pending.timeout.close()
    pending.timeout = this.#startTimeout(queryId)
  }

  #forget (queryId: number, pending: PendingQuery): void {
    pending.timeout.close()
    pending.retryTimer?.close()
    this.#pending.delete(queryId)
  }

  #onLinkClosed (link: FleetLink): void {
    for (const [queryId, pending] of this.#pending) {
      if (pending.link === link) this.#applyResult(queryId, { kind: 'unknown' })
    }
  }
}

const resultFieldsOf = (result: KeyQueryResult): Pick<KeyQueryResultMessage, 'answer' | 'home'> => {
  if (result.kind === 'ended' && result.answer !== undefined) return { answer: result.answer }
  return result.kind === 'earlier' ? { home: result.home } : {}
}

const queryResultIn = ({ state, answer, home }: KeyQueryResultMessage): KeyQueryResult => {
  switch (state) {
    case 'ended': return { kind: 'ended', answer }
    case 'earlier': return home === undefined ? { kind: 'unknown' } : { kind: 'earlier', home }
    default: return { kind: state }
  }
}

/** Service key of the queries about keys. */
export const keyQueriesKey: ServiceKey<KeyQueries> = serviceKey('key-queries')
