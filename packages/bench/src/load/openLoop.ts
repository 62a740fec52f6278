/** Sends planned requests at their own times, however slow the answers are. */
import type { Caller } from './caller.js'
import type { PlannedRequest, RequestResult } from './loadTypes.js'
import { wallNow } from './wallClock.js'

/** Milliseconds between two looks at the plan. */
const POLL_PERIOD_MS = 2

/**
 * Sends each request when its time has come. A request that is sent late still counts from its intended time, so that a
 * stall of the sender shows in the latency (coordinated omission).
 *
 * @param plan - the requests in order of their times
 * @param caller - sends them
 * @param onResult - called with each result as it ends
 * @returns all results, in order of their ends
 */
export const runOpenLoop = async (
  plan: readonly PlannedRequest[],
  caller: Pick<Caller, 'send'>,
  onResult: (result: RequestResult) => void = () => {}
): Promise<RequestResult[]> => {
  const start = wallNow()
  const results: RequestResult[] = []
  const pending: Array<Promise<void>> = []
  const send = async (planned: PlannedRequest): Promise<void> => {
    const result = await caller.send(planned, start + planned.at)
    results.push(result)
    onResult(result)
  }
  let next = 0
  while (next < plan.length) {
    const now = wallNow() - start
    for (let planned = plan[next]; planned !== undefined && planned.at <= now; planned = plan[next]) {
      pending.push(send(planned))
      next += 1
    }
    await new Promise(resolve => { setTimeout(resolve, POLL_PERIOD_MS) })
  }
  await Promise.all(pending)
  return results
}
