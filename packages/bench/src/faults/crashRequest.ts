/** Sends a crash-causing request again and again, like a caller that retries after each failure. */
import { floodingWorkspace } from '../load/benchPlan.js'
import type { Caller } from '../load/caller.js'
import type { PlannedRequest, RequestResult } from '../load/loadTypes.js'
import { wallNow } from '../load/wallClock.js'
import type { Fleet } from '../processes/fleet.js'
import { CRASH_PROMPT } from './applyFault.js'

/** Pause between the end of an attempt and the next attempt. */
const RETRY_PERIOD_MS = 500

/** Part of the nonce after the workspace. */
export const CRASH_NONCE_TAG = 'crash'

/**
 * Sends the crash-causing request until a deadline, through the routers of its workspace in turn.
 *
 * @param fleet - the running fleet
 * @param caller - sends the requests
 * @param until - wall-clock time after which no attempt starts
 * @returns the results of all attempts
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
