/** A caller that sends a request which crashes engines, and sends it again whenever it fails. */
import { floodingWorkspace } from '../load/benchPlan.js'
import type { Caller } from '../load/caller.js'
import type { PlannedRequest, RequestResult } from '../load/loadTypes.js'
import { wallNow } from '../load/wallClock.js'
import type { Fleet } from '../processes/fleet.js'
import { CRASH_TEXT } from './applyFault.js'

/** Milliseconds between two tries. */
const RESEND_PERIOD_MS = 500

/** Part of the nonce of such requests. */
export const CRASH_NONCE = 'crash'

/**
 * Sends the request until its time is up.
 *
 * @param fleet - the running fleet
 * @param caller - sends it
 * @param until - wall-clock time after which no more is sent
 * @returns the results of all tries
 */
export const resendCrashing = async (fleet: Fleet, caller: Caller, until: number): Promise<RequestResult[]> => {
  const { deployment } = fleet
  const workspace = floodingWorkspace(deployment)
  const service = deployment.services.find(({ kind }) => kind === 'engine')?.id ?? ''
  const results: RequestResult[] = []
  for (let index = 0; wallNow() < until; index++) {
    const router = workspace.routers[index % workspace.routers.length] ?? 0
    const planned: PlannedRequest = {
      nonce: `${workspace.id}.${CRASH_NONCE}`, workspace: workspace.id, service, kind: 'completion', router, at: 0, size: 8, filler: CRASH_TEXT
    }
    results.push(await caller.send(planned, wallNow()))
    await new Promise(resolve => { setTimeout(resolve, RESEND_PERIOD_MS) })
  }
  return results
}
