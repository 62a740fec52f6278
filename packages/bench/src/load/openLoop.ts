/** Open-loop load generator: sends requests at their planned times, regardless of how slow the responses are. */
import type { Caller } from './caller.js'
import type { PlannedRequest, RequestResult } from './loadTypes.js'
import { wallNow } from './wallClock.js'

/** Period in which the plan is checked for due requests. */
const POLL_PERIOD_MS = 2

/**
 * Sends each request at its planned time. The latency of a request that is sent late still counts from its planned time, so
 * that a stall of the sender is not hidden (coordinated omission).
 *
 * @param plan - the requests, ordered by time
 * @param caller - sends the requests
 * @param onResult - called with each result when its request ends
 * @returns all results, in the order in which the requests ended
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
