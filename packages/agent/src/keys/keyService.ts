/** Keeps the idempotency keys whose home is the upstream of this agent. The home owns a key: no other upstream may run its requests. */
import { createLog, onEvent, type Millis, type Service, type ServiceId, type ServiceKey, serviceKey, type Timer } from '@fuchsiaworks/kernel'
import { type ActiveConfig, type ConfigurationService, listedUpstreams, type ProcessContext } from '@fuchsiaworks/fleet'
import { type KeyQuery, type KeyQueryResult, type KeysCommand, type KeysDb, keysDefinition, type KeysEvent, type ScopedKey } from '@fuchsiaworks/policy'
import type { AgentSettings } from '@fuchsiaworks/settings'

/** Milliseconds between two ticks of the policy. */
const TICK_MS = 1_000

/** Milliseconds by which the timestamp in a caller's key may be ahead of this host's wall clock. */
const CALLER_SKEW_MS = 2_000

/** Largest difference between the wall clocks of two hosts of the fleet, in milliseconds. */
const HOST_SKEW_MS = 250

/** Milliseconds within which every process has applied a new configuration. */
const CONFIG_PROPAGATION_MS = 5_000

/**
 * Milliseconds for which a reply from the previous home covers an opaque key (one without a timestamp); the reply assumes that the
 * key was presented at most this long before.
 */
const QUERY_RESULT_TTL_MS = 10_000

/** Largest response that is stored for replay, in bytes. */
export const MAX_STORED_RESPONSE_BYTES = 64 * 1024

/** Limit of all stored responses together, in bytes. */
const MAX_STORE_BYTES = 32 * 1024 * 1024

/** Limit of requests that wait for the first run of one key. */
const MAX_WAITERS = 16

const log = createLog('keys')

/** Executes a command of the keys policy. */
export type KeyCommandHandler = (command: KeysCommand) => void

/** Runs the keys policy: passes ticks, configuration changes and events to it, and its commands to the handler. */
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

  /** Limit of retained keys per workspace. */
  get maxKeysPerWorkspace (): number {
    return this.#db.config.maxKeys
  }

  /** Number of retained keys. */
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
   * Applies an event.
   *
   * @param event - event of a key
   * @returns commands for the requests of the key
   */
  decide (event: KeysEvent): KeysCommand[] {
    return keysDefinition.decide(this.#db, event)
  }

  /** Sets the handler of the commands that {@link report} yields. */
  onCommand (handle: KeyCommandHandler): void {
    this.#commandHandler = handle
  }

  /**
   * Applies an event and passes the resulting commands to the handler.
   *
   * @param event - event of a key
   */
  report (event: KeysEvent): void {
    for (const command of this.decide(event)) this.#commandHandler(command)
  }

  /**
   * Answers a query of the present home of a key that moved away from here.
   *
   * @param query - the key and the revision that moved it
   * @returns what this home knows about the key
   */
  answerKeyQuery (query: KeyQuery): KeyQueryResult {
    return keysDefinition.answerKeyQuery(this.#db, { ...query, now: this.now(), wall: this.context.clock.wall() })
  }

  /**
   * Checks whether requests still wait for the result of a query.
   *
   * @param scopedKey - the key
   * @param queryId - number of the query
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

/** Service key of the key service. */
export const keyServiceKey: ServiceKey<KeyService> = serviceKey('keys')
