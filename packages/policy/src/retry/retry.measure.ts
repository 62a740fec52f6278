/** Measures how much load retries add while every attempt fails: `node packages/policy/dist/retry/retry.measure.js`. */
import { asId, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { decideRetry } from './retry.js'
import { RetryDb } from './retryDb.js'

const FAULT_MS = 60_000
const SERVICES = 17
const WORKSPACES = 16
const upstream = asId<UpstreamId>('u')

/** Retries per hundred first attempts over a fleet in which every attempt fails for a minute. */
const retriesPercent = (routers: number, fleetRate: number, budgetPercent: number): number => {
  let firstAttempts = 0
  let retries = 0
  for (let router = 0; router < routers; router += 1) {
    const db = new RetryDb({ budgetPercent, floorPerSecond: 0.1, burst: 10, maxAttempts: 3, pullTtl: 2_000, pullMargin: 200 })
    const intervalMs = 1_000 * routers / fleetRate
    for (let now = 0; now < FAULT_MS; now += intervalMs) {
      const request = asId<RequestId>(`r${firstAttempts}`)
      const service = asId<ServiceId>(`s${firstAttempts % SERVICES}`)
      const workspace = asId<WorkspaceId>(`w${firstAttempts % WORKSPACES}`)
      firstAttempts += 1
      decideRetry(db, { kind: 'request-opened', now, request, service, workspace, idempotent: true, deadline: FAULT_MS * 2 })
      for (let retried = true; retried;) {
        decideRetry(db, { kind: 'attempt-started', now, request, upstream })
        const [command] = decideRetry(db, { kind: 'response-failed', now, request, upstream, outcome: 'unknown', crashed: false, quarantined: false })
        retried = command?.kind === 'retry'
        if (retried) retries += 1
      }
    }
  }
  return 100 * retries / firstAttempts
}

console.table([[2, 20], [4, 200], [40, 1_000], [390, 9_700]].map(([routers = 0, rate = 0]) => ({
  routers,
  'requests a second': rate,
  'no budget': retriesPercent(routers, rate, 1_000_000).toFixed(1),
  'budget of 10 in 100': retriesPercent(routers, rate, 10).toFixed(1),
  'budget of 20 in 100': retriesPercent(routers, rate, 20).toFixed(1)
})))
