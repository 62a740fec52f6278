/** Probes a started fleet until every router serves every service. */
import { FuchsiaError } from '@fuchsiaworks/kernel'
import type { ServiceShape } from '../deployment/deploymentTypes.js'
import type { Fleet } from '../processes/fleet.js'
import type { Caller } from './caller.js'
import type { PlannedRequest, RequestKind, RequestResult } from './loadTypes.js'
import { wallNow } from './wallClock.js'

const READY_TIMEOUT_MS = 30_000

/** Pause after a failed probe. */
const PROBE_PERIOD_MS = 200

/** Consecutive keyed requests that must succeed, for each upstream of the service. */
const KEYED_PROBES_PER_UPSTREAM = 3

/** First part of the nonces of probes; stand-ins group their records by it. */
export const PROBE_NONCE_PREFIX = 'probe'

/** A router did not serve a service within the timeout. */
export class NotReadyError extends FuchsiaError {
  constructor (router: number, service: string, lastResult: RequestResult | undefined) {
    const lastResponse = lastResult === undefined ? 'no response' : `${lastResult.result} ${lastResult.status} ${lastResult.detail}`
    super('not-ready', `router ${router + 1} did not serve ${service} in time; last probe: ${lastResponse}`)
  }
}

/** A kind of request, and how many of them a router must serve in a row. */
interface Probe {
  readonly router: number
  readonly service: ServiceShape
  readonly kind: RequestKind
  readonly successesInRow: number
}

const planProbe = (probe: Probe, workspace: string, attempt: number): PlannedRequest => ({
  nonce: `${PROBE_NONCE_PREFIX}.${probe.router}-${probe.service.id}-${probe.kind}-${attempt}`,
  workspace,
  service: probe.service.id,
  kind: probe.kind,
  router: probe.router,
  at: 0,
  size: 1,
  filler: ''
})

/**
 * Lists the probes of a router for a service. For some time after its start an agent cannot tell that an idempotency key is
 * new, so keyed requests have to succeed in a row, as many as it takes to reach the home agents of all upstreams.
 */
const listProbes = (router: number, service: ServiceShape): Probe[] => {
  if (service.kind === 'engine') return [{ router, service, kind: 'completion', successesInRow: 1 }]
  const get: Probe = { router, service, kind: 'get', successesInRow: 1 }
  const keyed: Probe = { router, service, kind: 'post-keyed', successesInRow: KEYED_PROBES_PER_UPSTREAM * service.upstreamZones.length }
  return service.notIdempotentPaths.length === 0 ? [get] : [get, keyed]
}

const sleep = async (ms: number): Promise<undefined> =>
  await new Promise(resolve => { setTimeout(() => { resolve(undefined) }, ms).unref() })

const waitForProbe = async (fleet: Fleet, caller: Caller, probe: Probe): Promise<void> => {
  const { router, service, successesInRow } = probe
  const workspace = fleet.deployment.workspaces.find(item => service.id in item.services)?.id ?? ''
  const deadline = wallNow() + READY_TIMEOUT_MS
  let lastResult: RequestResult | undefined
  for (let attempt = 0, successes = 0; wallNow() < deadline; attempt++) {
    for (const fleetProcess of [...fleet.routers, ...fleet.agents]) fleetProcess.assertAlive()
    const result = caller.send(planProbe(probe, workspace, attempt), wallNow())
    lastResult = await Promise.race([result, sleep(deadline - wallNow())])
    successes = lastResult?.result === 'right' ? successes + 1 : 0
    if (successes === successesInRow) return
    if (successes === 0) await sleep(PROBE_PERIOD_MS)
  }
  throw new NotReadyError(router, service.id, lastResult)
}

/**
 * Probes all routers for all services until each probe succeeds.
 *
 * @param fleet - the started fleet
 * @param caller - sends the probes
 * @throws NotReadyError after the timeout
 * @throws ChildEndedError when a router or an agent exits
 */
export const waitUntilReady = async (fleet: Fleet, caller: Caller): Promise<void> => {
  const { deployment, routers } = fleet
  await Promise.all(routers.flatMap((_, router) =>
    deployment.services.flatMap(service => listProbes(router, service)).map(async probe => { await waitForProbe(fleet, caller, probe) })))
}
