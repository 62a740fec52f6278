/** Calls of routers for agents, when too few agents of a service with backlog are linked. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { MembershipDb } from './membershipDb.js'
import type { HungerCall, MembershipCommand } from './membershipTypes.js'

/** Calls after which the circle grows no further. */
const MAX_ROUND = 8

/** Share of hungerFor between two calls. */
const RESEND_FRACTION = 0.25

/**
 * Calls for agents of each service whose backlog too few agents serve.
 *
 * @param db - state of a router; changed in place
 * @param now - monotonic milliseconds
 * @returns the calls that are due
 */
export const requestCapacity = (db: MembershipDb, now: Millis): MembershipCommand[] => {
  const { config } = db
  for (const service of db.sentCapacityRequests.keys()) if (!db.backlog.includes(service)) db.sentCapacityRequests.delete(service)
  return db.backlog.flatMap((service): MembershipCommand[] => {
    if (db.linkedAgents(service) >= config.wantedAgents) {
      db.sentCapacityRequests.delete(service)
      return []
    }
    const last = db.sentCapacityRequests.get(service)
    if (last !== undefined && now - last.at < RESEND_FRACTION * config.hungerFor) return []
    const round = Math.min(MAX_ROUND, (last?.round ?? 0) + 1)
    db.sentCapacityRequests.set(service, { round, at: now })
    return [{ kind: 'tell-hunger', call: { router: config.host, zone: config.zone, service, round }, toRouters: true }]
  })
}

/**
 * Takes the call of a router: an agent of the service may link with it, another router passes it on to its agents.
 *
 * @param db - changed in place
 * @param call - who calls for what
 * @param now - monotonic milliseconds
 * @returns the call to pass on, for a router
 */
export const onCapacityRequest = (db: MembershipDb, call: HungerCall, now: Millis): MembershipCommand[] => {
  if (call.router === db.config.host) return []
  db.recordHost(call.router, 'router', call.zone, now)
  if (db.config.role === 'router') return [{ kind: 'tell-hunger', call, toRouters: false }]
  if (call.service !== db.config.service) return []
  db.capacityRequests.set(call.router, { round: call.round, until: now + db.config.hungerFor })
  db.linkPlanStale = true
  return []
}
