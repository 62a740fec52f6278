/** Generates the open-loop load of a bench run from a seed. */
import type { Deployment, ServiceShape, WorkspaceShape } from '../deployment/deploymentTypes.js'
import { MAX_BUSY_FACTOR, MAX_TOKENS, MEAN_TOKENS, requestsPerSecondOf } from './capacity.js'
import type { PlannedRequest, RequestKind } from './loadTypes.js'
import { type Random, drawInterval, pickWeighted, seededRandom } from './random.js'

/** A time span, in milliseconds from the start of the run. */
export interface Span {
  readonly from: number
  readonly to: number
}

/** Parameters of the planned load. */
export interface LoadOptions {
  /** Offered load as a multiple of the capacity of each service. */
  readonly load: number
  readonly span: Span
  readonly seed: number
}

/** Offered load of the flooding workspace, as a multiple of the capacity of each service that it calls. */
const FLOOD_LOAD = 4

/** Body size of uploads and downloads. */
const TRANSFER_BODY_BYTES = 50_000

/** Characters in most prompts; one in ten is ten times as long. */
const PROMPT_LENGTH = 400

const REQUEST_MIX: Readonly<Record<ServiceShape['kind'], ReadonlyArray<readonly [RequestKind, number]>>> = {
  engine: [['stream', 7], ['completion', 3]],
  plain: [['get', 10], ['post', 4], ['post-keyed', 4], ['upload', 1], ['download', 1]]
}

/** Requests of one workspace to one service at a constant mean rate. */
interface Flow {
  readonly workspace: WorkspaceShape
  readonly service: ServiceShape
  /** Mean requests per second. */
  readonly rate: number
  readonly span: Span
  /** Part of each nonce that keeps the flows of one workspace apart. */
  readonly nonceTag: string
}

const drawCappedExponential = (random: Random, mean: number, cap: number): number =>
  Math.min(cap, Math.max(1, Math.round(drawInterval(random, mean))))

const drawRequest = (random: Random, flow: Flow, at: number, index: number): PlannedRequest => {
  const { workspace, service, nonceTag } = flow
  const kind = pickWeighted(random, REQUEST_MIX[service.kind])
  const engine = service.kind === 'engine'
  const router = workspace.routers[Math.floor(random() * workspace.routers.length)] ?? 0
  const characters = PROMPT_LENGTH * (random() < 0.1 ? 10 : 1)
  const busy = drawCappedExponential(random, service.standinTimeMs, service.standinTimeMs * MAX_BUSY_FACTOR)
  return {
    nonce: `${workspace.id}.${nonceTag}-${service.id}-${index}`,
    workspace: workspace.id,
    service: service.id,
    kind,
    router,
    at,
    size: engine ? drawCappedExponential(random, MEAN_TOKENS, MAX_TOKENS) : TRANSFER_BODY_BYTES,
    filler: engine ? 'x'.repeat(characters) : '',
    ...(engine ? {} : { busyMs: busy })
  }
}

const planFlow = (random: Random, flow: Flow): PlannedRequest[] => {
  const planned: PlannedRequest[] = []
  const mean = 1000 / flow.rate
  for (let at = flow.span.from + drawInterval(random, mean); at < flow.span.to; at += drawInterval(random, mean)) {
    planned.push(drawRequest(random, flow, at, planned.length))
  }
  return planned
}

const createFlows = (deployment: Deployment, service: ServiceShape, options: LoadOptions): Flow[] => {
  const callingWorkspaces = deployment.workspaces.filter(workspace => service.id in workspace.services)
  const demand = (workspace: WorkspaceShape): number => workspace.share * (workspace.services[service.id] ?? 0)
  const total = callingWorkspaces.reduce((sum, workspace) => sum + demand(workspace), 0)
  const rate = options.load * requestsPerSecondOf(service)
  return callingWorkspaces.map(workspace =>
    ({ workspace, service, rate: rate * demand(workspace) / total, span: options.span, nonceTag: `s${options.seed}` }))
}

const sortByTime = (plan: PlannedRequest[]): PlannedRequest[] => plan.sort((a, b) => a.at - b.at)

/**
 * Plans the requests of all workspaces.
 *
 * @param deployment - the deployment
 * @param options - load, span and seed; an equal seed gives an equal plan
 * @returns the requests, ordered by time
 */
export const planLoad = (deployment: Deployment, options: LoadOptions): PlannedRequest[] => {
  const random = seededRandom(options.seed)
  return sortByTime(deployment.services.flatMap(service => createFlows(deployment, service, options)).flatMap(flow => planFlow(random, flow)))
}

/**
 * Returns the workspace that sends the flood: the last one of the deployment.
 *
 * @param deployment - the deployment
 */
export const floodingWorkspace = (deployment: Deployment): WorkspaceShape => {
  const workspace = deployment.workspaces.at(-1)
  if (workspace === undefined) throw new RangeError('the deployment has no workspaces')
  return workspace
}

/**
 * Plans the additional requests of the flooding workspace.
 *
 * @param deployment - the deployment
 * @param span - time of the flood
 * @param seed - an equal seed gives an equal plan
 * @returns the requests, ordered by time
 */
export const planFlood = (deployment: Deployment, span: Span, seed: number): PlannedRequest[] => {
  const workspace = floodingWorkspace(deployment)
  const random = seededRandom(seed + 1)
  const services = deployment.services.filter(service => service.id in workspace.services)
  const flows = services.map((service): Flow =>
    ({ workspace, service, rate: FLOOD_LOAD * requestsPerSecondOf(service), span, nonceTag: `flood${span.from}` }))
  return sortByTime(flows.flatMap(flow => planFlow(random, flow)))
}

/**
 * Merges plans into one.
 *
 * @param plans - the plans
 * @returns all requests, ordered by time
 */
export const joinPlans = (plans: ReadonlyArray<readonly PlannedRequest[]>): PlannedRequest[] => sortByTime(plans.flat())
