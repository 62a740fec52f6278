/** Keeps the idempotency keys that this agent's upstream is the home of. */
import { createLog, onEvent, type Millis, type Service, type ServiceId, type ServiceKey, serviceKey, type Timer } from '@fuchsiaworks/kernel'
import { type ActiveConfig, type ConfigurationService, listedUpstreams, type ProcessContext } from '@fuchsiaworks/fleet'
import { type KeyQueryResult, type ScopedKey, type KeyQuery, type KeysCommand, type KeysDb, keysDefinition, type KeysEvent } from '@fuchsiaworks/policy'
import type { AgentSettings } from '@fuchsiaworks/settings'

/** Milliseconds between two ticks of the policy. */
const TICK_MS = 1_000

/** Milliseconds by which a caller's clock may be ahead. */
const CALLER_SKEW_MS = 2_000

/** Largest difference between the clocks of two hosts, in milliseconds. */
const HOST_SKEW_MS = 250

/** Milliseconds within which a configuration is in force everywhere. */
const CONFIG_PROPAGATION_MS = 5_000

/** Milliseconds within which the word of a previous home counts for an opaque key. */
const QUERY_RESULT_TTL_MS = 10_000

/** Bytes of the largest answer that is kept to be given again. */
export const MAX_STORED_RESPONSE_BYTES = 64 * 1024

/** Bytes of all answers that are kept. */
const MAX_STORE_BYTES = 32 * 1024 * 1024

/** Requests that may wait for the first run of one key. */
const MAX_WAITERS = 16

const log = createLog('keys')

/** Carries out what the keys policy decides for requests. */
export type KeyCommandHandler = (command: KeysCommand) => void

/** Joins the keys policy to time and configuration. */
export class KeyService implements Service {
  readonly #db: KeysDb
  #commandHandler: KeyCommandHandler = () => {}
  #timer: Timer | undefined

  constructor (readonly context: ProcessContext, configuration: ConfigurationService, settings: AgentSettings) {
    this.#db = keysDefinition.createDb(settings.upstream, {
      get window () { return configuration.effective.keys.rememberMs },
      callerSkew: CALLER_SKEW_MS,
      hostSkew: HOST_SKEW_MS,
      configPropagation: CONFIG_PROPAGATION_MS,
      queryResultTtl: QUERY_RESULT_TTL_MS,
      get maxKeys () { return configuration.effective.keys.maxRemembered },
      maxResponseBytes: MAX_STORED_RESPONSE_BYTES,
      maxStoreBytes: MAX_STORE_BYTES,
      maxWaiters: MAX_WAITERS
    }, context.hash)
    onEvent(configuration.changes, log, active => { this.#applyConfig(active) })
  }

  /** Keys that are remembered for one workspace at most. */
  get capacity (): number {
    return this.#db.config.maxKeys
  }

  /** Keys that are remembered. */
  get size (): number {
    return this.#db.size
  }

  start (): void {
    this.#timer = this.context.clock.every(TICK_MS, () => { this.decide({ kind: 'tick', now: this.now() }) })
  }

  close (): void {
    this.#timer?.close()
  }

  /** @returns monotonic milliseconds */
  now (): Millis {
    return this.context.clock.now()
  }

  /**
   * Tells the policy of an event.
   *
   * @param event - what happened to a key
   * @returns what follows for the requests of the key
   */
  decide (event: KeysEvent): KeysCommand[] {
    return keysDefinition.decide(this.#db, event)
  }

  /** Sets who carries out commands for requests that waited. */
  onCommand (handle: KeyCommandHandler): void {
    this.#commandHandler = handle
  }

  /**
   * Tells the policy of an event, and has the commands for requests that waited carried out.
   *
   * @param event - what happened to a key
   */
  report (event: KeysEvent): void {
    for (const command of this.decide(event)) this.#commandHandler(command)
  }

  /**
   * Answers the present home of a key of which this was the home.
   *
   * @param question - the key
   * @returns what is known here
   */
  answerKeyQuery (query: KeyQuery): KeyQueryResult {
    return keysDefinition.answerKeyQuery(this.#db, { ...query, now: this.now(), wall: this.context.clock.wall() })
  }

  /**
   * Tells whether requests still wait for the answer to a question.
   *
   * @param name - the key
   * @param ask - number of the question
   */
  isQueryPending (scopedKey: ScopedKey, queryId: number): boolean {
    const state = this.#db.find(scopedKey)?.state
    return state?.kind === 'asking' && state.ask === queryId
  }

  #applyConfig ({ config, revision }: ActiveConfig): void {
    const now = this.now()
    const wall = this.context.clock.wall()
    for (const service of Object.keys(config.services) as ServiceId[]) {
      this.report({ kind: 'upstreams-listed', now, wall, service, upstreams: listedUpstreams(config, service), revision })
    }
  }
}

/** Key of the key service. */
export const keyServiceKey: ServiceKey<KeyService> = serviceKey('keys')
