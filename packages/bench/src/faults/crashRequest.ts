/** A caller that sends a request which crashes engines, and sends it again whenever it fails. */
import { floodingWorkspace } from '../load/benchPlan.js'
import type { Caller } from '../load/caller.js'
import type { PlannedRequest, RequestResult } from '../load/loadTypes.js'
import { wallNow } from '../load/wallClock.js'
import type { Fleet } from '../processes/fleet.js'
import { CRASH_PROMPT } from './applyFault.js'

/** Milliseconds between two tries. */
const RETRY_PERIOD_MS = 500

/** Part of the nonce of such requests. */
export const CRASH_NONCE_TAG = 'crash'

/**
 * Sends the request until its time is up.
 *
 * @param fleet - the running fleet
 * @param caller - sends it
 * @param until - wall-clock time after which no more is sent
 * @returns the results of all tries
 */
export const resendCrashRequest = async (fleet: Fleet, caller: Caller, until: number): Promise<RequestResult[]> => {
  const { deployment } = fleet
  const workspace = floodingWorkspace(deployment)
  const service = deployment.services.find(({ kind }) => kind === 'engine')?.id ?? ''
  const results: RequestResult[] = []
  for (let index = 0; wallNow() < until; index++) {
    const router = workspace.routers[index % workspace.routers.length] ?? 0
    const planned: PlannedRequest = {
      nonce: `${workspace.id}.${CRASH_NONCE_TAG}`, workspace: workspace.id, service, kind: 'completion', router, at: 0, size: 8, filler: CRASH_PROMPT
    }
    results.push(await caller.send(planned, wallNow()))
    await new Promise(resolve => { setTimeout(resolve, RETRY_PERIOD_MS) })
  }
  return results
}
