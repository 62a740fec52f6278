/** Measures how the cost of a router's queue and of an agent's choice of the next pull grows with their sizes. */
import { asId, type Incarnation, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import {
  type AdmissionDb, admissionDefinition, backlogForUpstream, type DispatchDb, dispatchDefinition, fairnessDefinition, PULL_TTL_MS, SLOW_ROUTER_AFTER_MS
} from '@fuchsiaworks/policy'
import { measureCpuMicros, measureHeapKib, type Slope, measureSlope } from './slopes.js'

const service = asId<ServiceId>('service-1')
const agentRef = { agent: 'agent-1', upstream: asId<UpstreamId>('upstream-1'), zone: asId<ZoneId>('zone-1') }

/** Longest wait of a request; so long that none is refused. */
const PATIENCE_MS = 1e9

const workspaceOf = (index: number): WorkspaceId => asId<WorkspaceId>(`workspace-${index}`)

const enqueueRequest = (db: AdmissionDb, id: string, workspace: number): void => {
  admissionDefinition.decide(db, {
    kind: 'request-arrived', request: asId<RequestId>(id), service, workspace: workspaceOf(workspace), patience: PATIENCE_MS, estimate: 1000, idempotent: true, now: 0
  })
}

const createQueue = (waiting: number, workspaces: number): AdmissionDb => {
  const db = admissionDefinition.createDb({ maxWaiting: 1e9 })
  for (let index = 0; index < waiting; index += 1) enqueueRequest(db, `request-${index}`, index % workspaces)
  return db
}

/** Measures the arrival of one request together with one pull. */
const admissionMicros = (db: AdmissionDb): number => {
  let next = 0
  return measureCpuMicros(() => {
    enqueueRequest(db, `next-${next}`, 0)
    next += 1
    admissionDefinition.decide(db, { kind: 'pull', pull: next, from: agentRef, service, workspace: workspaceOf(0), now: 1 })
  })
}

const WAITING = [100, 1_000, 5_000] as const
const WORKSPACES = [10, 70, 280] as const
const ROUTERS = [5, 13, 24] as const
const BACKLOGGED = [2, 28, 280] as const

/** Number of backlogged workspaces of each router while the number of routers varies. */
const FIXED_WORKSPACES = 28

/** Number of linked routers while the number of workspaces varies. */
const FIXED_ROUTERS = 13

const createDispatch = (routers: number, workspaces: number): DispatchDb => {
  const db = dispatchDefinition.createDb({ pullTtl: PULL_TTL_MS, slowRouterAfter: SLOW_ROUTER_AFTER_MS, seed: 1 })
  for (let router = 0; router < routers; router += 1) {
    const entries = Array.from({ length: workspaces }, (_, index) => ({ workspace: workspaceOf(index), waiting: 1e9, oldestWait: index, headCost: 1000 }))
    db.setOffers(`router-${router}`, service, entries, 0)
  }
  return db
}

/** Measures one cycle of an agent: a slot becomes free, a pull is chosen and answered, and the request ends. */
const pullMicros = (routers: number, workspaces: number): number => {
  const db = createDispatch(routers, workspaces)
  const fairness = fairnessDefinition.createDb(asId<Incarnation>('agent-1'), 0)
  const request = asId<RequestId>('request-1')
  db.limit = 1
  return measureCpuMicros(() => {
    const [pull] = dispatchDefinition.decide(db, fairness, { kind: 'tick', now: 0 })
    if (pull === undefined) throw new Error('agent did not pull a request although a slot was free')
    dispatchDefinition.decide(db, fairness, { kind: 'pull-answered', pull: pull.pull, request, now: 0 })
    db.endRequest(request)
  })
}

/** @returns slopes of the cost of queue and choice */
export const measureQueueSlopes = (): Slope[] => [
  measureSlope({ name: 'admission: arrival and pull', unit: 'us', against: 'waiting requests' }, WAITING, size => admissionMicros(createQueue(size, 28))),
  measureSlope({ name: 'admission: arrival and pull', unit: 'us', against: 'backlogged workspaces' }, WORKSPACES, size => admissionMicros(createQueue(1_000, size))),
  measureSlope({ name: 'admission: tick', unit: 'us', against: 'waiting requests' }, WAITING, size => {
    const db = createQueue(size, 28)
    return measureCpuMicros(() => { admissionDefinition.decide(db, { kind: 'tick', now: 1 }) })
  }),
  measureSlope({ name: 'admission: view of the backlog', unit: 'us', against: 'backlogged workspaces' }, WORKSPACES, size => {
    const db = createQueue(1_000, size)
    return measureCpuMicros(() => { backlogForUpstream(db, service, agentRef, 1) })
  }),
  measureSlope({ name: 'admission: heap', unit: 'KiB', against: 'waiting requests' }, WAITING, size => measureHeapKib(() => createQueue(size, 28))),
  measureSlope({ name: 'dispatch: one pull', unit: 'us', against: 'linked routers' }, ROUTERS, size => pullMicros(size, FIXED_WORKSPACES)),
  measureSlope({ name: 'dispatch: one pull', unit: 'us', against: 'backlogged workspaces' }, BACKLOGGED, size => pullMicros(FIXED_ROUTERS, size))
]
