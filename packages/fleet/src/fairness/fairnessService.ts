/** Totals of service by workspace, as this process knows them. */
import { createLog, type Millis, onEvent, type Service, type ServiceKey, serviceKey, type Timer, type WorkspaceId } from '@fuchsiaworks/kernel'
import { type FairnessDb, fairnessDefinition, type FairnessEvent } from '@fuchsiaworks/policy'
import type { FleetConfig } from '@fuchsiaworks/settings'
import type { ConfigurationService } from '../configuration/configurationService.js'
import type { ProcessContext } from '../context/processContext.js'

/** Milliseconds between two ticks of the policy. */
const TICK_MS = 250

const log = createLog('fairness')

/** Joins the fairness policy to time and configuration. */
export class FairnessService implements Service {
  readonly db: FairnessDb
  #timer: Timer | undefined

  constructor (readonly context: ProcessContext, configuration: ConfigurationService) {
    this.db = fairnessDefinition.createDb(context.identity.incarnation, context.clock.now())
    onEvent(configuration.changes, log, ({ config }) => { this.decide({ kind: 'weights-changed', weights: weightsOf(config) }) })
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
   * @param event - what happened
   */
  decide (event: FairnessEvent): void {
    for (const { reason, service, workspace, amount } of fairnessDefinition.decide(this.db, event)) {
      log.debug('credit was forfeited', { reason, service, workspace, amount })
    }
  }
}

/**
 * Reads the weights of a configuration.
 *
 * @param config - the configuration in force
 * @returns weight by workspace
 */
export const weightsOf = (config: FleetConfig): Map<WorkspaceId, number> =>
  new Map(Object.entries(config.workspaces).map(([id, { weight }]) => [id as WorkspaceId, weight]))

/** Key of the fairness service. */
export const fairnessKey: ServiceKey<FairnessService> = serviceKey('fairness')
