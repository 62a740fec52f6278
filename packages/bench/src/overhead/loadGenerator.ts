/** Closed-loop load generator for throughput, and sequential requests for latency. */
import type { Pool } from 'undici'

/** A request that is sent repeatedly. */
export interface RepeatedRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
}

/** Totals of a closed loop. */
export interface ClosedLoopResult {
  readonly requests: number
  readonly bytes: number
  /** Number of occurrences of `data:` in response bodies, that is, of server-sent events. */
  readonly events: number
  readonly failures: number
  /** Milliseconds. */
  readonly span: number
}

const SSE_DATA_PREFIX = Buffer.from('data:')

const countEvents = (part: Buffer): number => {
  let count = 0
  for (let at = part.indexOf(SSE_DATA_PREFIX); at >= 0; at = part.indexOf(SSE_DATA_PREFIX, at + SSE_DATA_PREFIX.length)) count += 1
  return count
}

const sendOnce = async (pool: Pool, request: RepeatedRequest): Promise<{ status: number, bytes: number, events: number }> => {
  const res = await pool.request({ ...request, body: request.body ?? null })
  let bytes = 0
  let events = 0
  for await (const part of res.body) {
    bytes += (part as Buffer).length
    events += countEvents(part as Buffer)
  }
  return { status: res.statusCode, bytes, events }
}

/**
 * Measures latencies of targets with one request at a time, alternating between them, so that all meet the same machine load.
 *
 * @param pairs - pool and request of each target
 * @param count - number of requests to each target
 * @returns latencies of each target in milliseconds
 */
export const measureAlternating = async (pairs: ReadonlyArray<readonly [Pool, RepeatedRequest]>, count: number): Promise<number[][]> => {
  const latencies: number[][] = pairs.map(() => [])
  for (let index = 0; index < count; index++) {
    for (const [target, [pool, request]] of pairs.entries()) {
      const start = performance.now()
      await sendOnce(pool, request)
      latencies[target]?.push(performance.now() - start)
    }
  }
  return latencies
}

/**
 * Keeps a constant number of requests in progress.
 *
 * @param pool - connections to the target
 * @param request - the request that is repeated
 * @param width - number of requests in progress
 * @param span - milliseconds after which no new request starts
 * @returns totals of all requests
 */
export const runClosedLoop = async (pool: Pool, request: RepeatedRequest, width: number, span: number): Promise<ClosedLoopResult> => {
  const start = performance.now()
  const totals = { requests: 0, bytes: 0, events: 0, failures: 0 }
  const sendRepeatedly = async (): Promise<void> => {
    while (performance.now() - start < span) {
      const { status, bytes, events } = await sendOnce(pool, request)
      if (status !== 200) totals.failures += 1
      totals.requests += 1
      totals.bytes += bytes
      totals.events += events
    }
  }
  await Promise.all(Array.from({ length: width }, sendRepeatedly))
  return { ...totals, span: performance.now() - start }
}
