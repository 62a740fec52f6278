/** Calls of routers for agents, when too few agents of a service with backlog are linked. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { MembershipDb } from './membershipDb.js'
import type { CapacityRequest, MembershipCommand } from './membershipTypes.js'

/** Calls after which the circle grows no further. */
const MAX_ROUND = 8

/** Share of hungerFor between two calls. */
const CALL_AGAIN = 0.25

/**
 * Calls for agents of each service whose backlog too few agents serve.
 *
 * @param db - state of a router; changed in place
 * @param now - monotonic milliseconds
 * @returns the calls that are due
 */
export const callForAgents = (db: MembershipDb, now: Millis): MembershipCommand[] => {
  const { config } = db
  for (const service of db.calls.keys()) if (!db.backlog.includes(service)) db.calls.delete(service)
  return db.backlog.flatMap((service): MembershipCommand[] => {
    if (db.linkedAgents(service) >= config.minLinkedAgents) {
      db.calls.delete(service)
      return []
    }
    const last = db.calls.get(service)
    if (last !== undefined && now - last.at < CALL_AGAIN * config.capacityRequestTtl) return []
    const round = Math.min(MAX_ROUND, (last?.round ?? 0) + 1)
    db.calls.set(service, { round, at: now })
    return [{ kind: 'send-capacity-request', capacityRequest: { router: config.host, zone: config.zone, service, round }, toRouters: true }]
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
export const takeCall = (db: MembershipDb, call: CapacityRequest, now: Millis): MembershipCommand[] => {
  if (call.router === db.config.host) return []
  db.see(call.router, 'router', call.zone, now)
  if (db.config.role === 'router') return [{ kind: 'send-capacity-request', capacityRequest: call, toRouters: false }]
  if (call.service !== db.config.service) return []
  db.hungry.set(call.router, { round: call.round, until: now + db.config.capacityRequestTtl })
  db.stale = true
  return []
}
