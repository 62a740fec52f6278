/** Routers and agents of the model: the Db objects of one process each. */
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

/** Requests that one workspace may have waiting in the model. */
const MAX_WAITING = 200

/** A request of the model. */
export interface ModelRequest {
  readonly id: RequestId
  readonly workspace: WorkspaceId
  readonly service: ServiceId
  readonly cost: number
  startedAt: number
  /** Milliseconds that it has run so far. */
  ran: number
}

/** First come, first served, in the place of fair order: the oldest request anywhere goes first. */
class FirstComeDb extends FairnessDb {
  constructor (incarnation: Incarnation, now: number, readonly oldest: (service: ServiceId, workspace: WorkspaceId) => number) {
    super(incarnation, { ...DEFAULT_FAIRNESS, scope: 'service' }, now)
  }

  override virtualTime (service: ServiceId, workspace: WorkspaceId): number {
    return this.oldest(service, workspace)
  }

  override weightOf (): number {
    return Number.POSITIVE_INFINITY
  }
}

/** What routers and agents have in common. */
export class ModelProcess {
  readonly fairness: FairnessDb
  readonly exchange: ExchangeDb

  constructor (readonly name: string, readonly life: number, readonly seed: number, now: number, options: ModelOptions, oldest: (service: ServiceId, workspace: WorkspaceId) => number) {
    const incarnation = asId<Incarnation>(`${name}#${life}`)
    this.fairness = options.order === 'first-come'
      ? new FirstComeDb(incarnation, now, oldest)
      : new FairnessDb(incarnation, { ...DEFAULT_FAIRNESS, scope: options.scope }, now)
    this.fairness.setWeights(new Map(options.loads.map(({ workspace, weight }) => [asId<WorkspaceId>(workspace), weight])))
    this.exchange = exchangeDefinition.createDb(asId<HostId>(name), seed, { period: options.period })
  }
}

/** A router: its queue and whom it told. */
export class ModelRouter extends ModelProcess {
  readonly admission: AdmissionDb = admissionDefinition.createDb({ maxWaiting: MAX_WAITING })
  /** Reading at which an agent was told last, and whether that is out of date. */
  readonly told = new Map<string, { at: number, outOfDate: boolean, free: number }>()
}

/** An agent: its slots and what runs in them. */
export class ModelAgent extends ModelProcess {
  readonly dispatch: DispatchDb
  readonly running = new Map<RequestId, ModelRequest>()
  /** Routers that it keeps links to, and those that it dialled for their backlog. */
  readonly routers = new Set<string>()
  readonly dialled = new Set<string>()
  service: ServiceId = asId<ServiceId>('')

  constructor (...args: ConstructorParameters<typeof ModelProcess>) {
    super(...args)
    this.dispatch = dispatchDefinition.createDb({ pullTtl: PULL_TTL_MS, slowRouterAfter: SLOW_ROUTER_AFTER_MS, seed: this.seed })
  }
}
