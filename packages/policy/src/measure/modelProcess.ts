/** Routers and agents of the model, each with the policy databases of one process. */
import { asId, type HostId, type Incarnation, type RequestId, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { AdmissionDb } from '../admission/admissionDb.js'
import { admissionDefinition } from '../admission/admissionDefinition.js'
import type { DispatchDb } from '../dispatch/dispatchDb.js'
import { dispatchDefinition, PULL_TTL_MS, SLOW_ROUTER_AFTER_MS } from '../dispatch/dispatchDefinition.js'
import type { ExchangeDb } from '../exchange/exchangeDb.js'
import { exchangeDefinition } from '../exchange/exchangeDefinition.js'
import { FairnessDb } from '../fairness/fairnessDb.js'
import { DEFAULT_FAIRNESS } from '../fairness/fairnessDefinition.js'
import type { ModelOptions } from './modelTypes.js'

/** Limit of waiting requests per workspace in the model. */
const MAX_WAITING = 200

/** A request of the model. */
export interface ModelRequest {
  readonly id: RequestId
  readonly workspace: WorkspaceId
  readonly service: ServiceId
  readonly cost: number
  startedAt: number
  /** Run time so far, in milliseconds. */
  ran: number
}

/** Replaces fair order by first come, first served: the oldest waiting request of the fleet goes first. */
class FirstComeDb extends FairnessDb {
  constructor (incarnation: Incarnation, now: number, readonly oldestWaitingSince: (service: ServiceId, workspace: WorkspaceId) => number) {
    super(incarnation, { ...DEFAULT_FAIRNESS, scope: 'service' }, now)
  }

  override virtualTime (service: ServiceId, workspace: WorkspaceId): number {
    return this.oldestWaitingSince(service, workspace)
  }

  override weightOf (): number {
    return Number.POSITIVE_INFINITY
  }
}

/** Common base of routers and agents. */
export class ModelProcess {
  readonly fairness: FairnessDb
  readonly exchange: ExchangeDb

  constructor (readonly name: string, readonly generation: number, readonly seed: number, now: number, options: ModelOptions, oldestWaitingSince: (service: ServiceId, workspace: WorkspaceId) => number) {
    const incarnation = asId<Incarnation>(`${name}#${generation}`)
    this.fairness = options.order === 'first-come'
      ? new FirstComeDb(incarnation, now, oldestWaitingSince)
      : new FairnessDb(incarnation, { ...DEFAULT_FAIRNESS, scope: options.scope }, now)
    this.fairness.setWeights(new Map(options.loads.map(({ workspace, weight }) => [asId<WorkspaceId>(workspace), weight])))
    this.exchange = exchangeDefinition.createDb(asId<HostId>(name), seed, { period: options.period })
  }
}

/** A router: its queues and the backlog updates it sent. */
export class ModelRouter extends ModelProcess {
  readonly admission: AdmissionDb = admissionDefinition.createDb({ maxWaiting: MAX_WAITING })
  /** By agent: time of the last backlog update, whether the backlog changed since, and the agent's free slots. */
  readonly backlogUpdates = new Map<string, { at: number, outOfDate: boolean, free: number }>()
}

/** An agent: its slots and running requests. */
export class ModelAgent extends ModelProcess {
  readonly dispatch: DispatchDb
  readonly running = new Map<RequestId, ModelRequest>()
  /** Routers that it keeps links to. */
  readonly routers = new Set<string>()
  /** Further routers that it dialled for their backlog. */
  readonly dialled = new Set<string>()
  service: ServiceId = asId<ServiceId>('')

  constructor (...args: ConstructorParameters<typeof ModelProcess>) {
    super(...args)
    this.dispatch = dispatchDefinition.createDb({ pullTtl: PULL_TTL_MS, slowRouterAfter: SLOW_ROUTER_AFTER_MS, seed: this.seed })
  }
}
