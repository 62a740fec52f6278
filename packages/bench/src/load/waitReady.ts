/** Waits until every router serves every service. */
import { FuchsiaError } from '@fuchsiaworks/kernel'
import type { ServiceShape } from '../deployment/deploymentTypes.js'
import type { Fleet } from '../processes/fleet.js'
import type { Caller } from './caller.js'
import type { PlannedRequest, RequestResult } from './loadTypes.js'
import { wallNow } from './wallClock.js'

/** Milliseconds in which a fleet must be ready. */
const READY_LIMIT_MS = 30_000

/** Milliseconds between two probes of one router for one service. */
const PROBE_PERIOD_MS = 200

/** Group of the probes in the records of the stand-ins. */
export const PROBE_GROUP = 'probe'

/** The fleet did not serve in time. */
export class NotReadyError extends FuchsiaError {
  constructor (router: number, service: string, last: RequestResult) {
    super('not-ready', `router ${router + 1} does not serve ${service}: ${last.result} ${last.status} ${last.detail}`)
  }
}

const probeOf = (router: number, service: ServiceShape, workspace: string, round: number): PlannedRequest => ({
  nonce: `${PROBE_GROUP}.${router}-${service.id}-${round}`,
  workspace,
  service: service.id,
  kind: service.kind === 'engine' ? 'completion' : 'get',
  router,
  at: 0,
  size: 1,
  filler: ''
})

const waitForOne = async (fleet: Fleet, caller: Caller, router: number, service: ServiceShape): Promise<void> => {
  const workspace = fleet.deployment.workspaces.find(item => service.id in item.services)?.id ?? ''
  const limit = wallNow() + READY_LIMIT_MS
  for (let round = 0; ; round++) {
    for (const member of [...fleet.routers, ...fleet.agents]) member.assertAlive()
    const result = await caller.send(probeOf(router, service, workspace, round), wallNow())
    if (result.result === 'right') return
    if (wallNow() > limit) throw new NotReadyError(router, service.id, result)
    await new Promise(resolve => { setTimeout(resolve, PROBE_PERIOD_MS) })
  }
}

/**
 * Probes until every router answers for every service.
 *
 * @param fleet - the fleet that was started
 * @param caller - sends the probes
 * @throws NotReadyError or ChildEndedError when it does not come up
 */
export const waitReady = async (fleet: Fleet, caller: Caller): Promise<void> => {
  const { deployment, routers } = fleet
  await Promise.all(routers.flatMap((_, router) =>
    deployment.services.map(async service => { await waitForOne(fleet, caller, router, service) })))
}
