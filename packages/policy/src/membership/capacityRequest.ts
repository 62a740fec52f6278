/** Capacity requests: a router with backlog for a service and too few linked agents asks further agents to connect. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { MembershipDb } from './membershipDb.js'
import type { CapacityRequest, MembershipCommand } from './membershipTypes.js'

/** Round after which a request is not widened to more agents. */
const MAX_ROUND = 8

/** Interval between two requests, as a fraction of their time to live. */
const RESEND_FRACTION = 0.25

/**
 * Returns the capacity requests that are due, for each service with backlog and too few linked agents.
 *
 * @param db - state of a router; changed in place
 * @param now - monotonic milliseconds
 * @returns commands to send the requests
 */
export const requestCapacity = (db: MembershipDb, now: Millis): MembershipCommand[] => {
  const { config } = db
  for (const service of db.sentCapacityRequests.keys()) if (!db.backlog.includes(service)) db.sentCapacityRequests.delete(service)
  return db.backlog.flatMap((service): MembershipCommand[] => {
    if (db.linkedAgents(service) >= config.minLinkedAgents) {
      db.sentCapacityRequests.delete(service)
      return []
    }
    const last = db.sentCapacityRequests.get(service)
    if (last !== undefined && now - last.at < RESEND_FRACTION * config.capacityRequestTtl) return []
    const round = Math.min(MAX_ROUND, (last?.round ?? 0) + 1)
    db.sentCapacityRequests.set(service, { round, at: now })
    return [{ kind: 'send-capacity-request', capacityRequest: { router: config.host, zone: config.zone, service, round }, toRouters: true }]
  })
}

/**
 * Applies a capacity request of a router. An agent of the service adds it to its link plan; another router forwards it to
 * its linked agents.
 *
 * @param db - changed in place
 * @param request - the request
 * @param now - monotonic milliseconds
 * @returns on a router, the command to forward the request
 */
export const onCapacityRequest = (db: MembershipDb, request: CapacityRequest, now: Millis): MembershipCommand[] => {
  if (request.router === db.config.host) return []
  db.recordHost(request.router, 'router', request.zone, now)
  if (db.config.role === 'router') return [{ kind: 'send-capacity-request', capacityRequest: request, toRouters: false }]
  if (request.service !== db.config.service) return []
  db.capacityRequests.set(request.router, { round: request.round, until: now + db.config.capacityRequestTtl })
  db.linkPlanStale = true
  return []
}
