/** Plans links and decides the work state from the host list, the configuration and the state of links. */
import { assertNever, type HostId, type Millis } from '@fuchsiaworks/kernel'
import { requestCapacity, onCapacityRequest } from './capacityRequest.js'
import { planAgentLinks, planRouterLinks } from './linkPlan.js'
import type { KnownHost, Leaving, MembershipDb } from './membershipDb.js'
import type { MembershipCommand, MembershipEvent } from './membershipTypes.js'
import { scheduleReturn, setZonesOut, updateWorkState } from './workGate.js'

/** Records that hosts leave, and broadcasts those that were not known to leave. */
const onLeavingReceived = (db: MembershipDb, hosts: readonly HostId[]): MembershipCommand[] => {
  const newlyLeaving = hosts.filter(id => {
    const leaving = db.leaving(id)
    if (leaving === undefined || leaving.reported) return false
    leaving.reported = true
    return true
  })
  if (newlyLeaving.length === 0) return []
  db.linkPlanStale = true
  return [{ kind: 'broadcast-leaving', hosts: newlyLeaving }]
}

/** Applies the leaving state of the host list. A report by a peer or the host is cleared only when the list stops listing the host as leaving, since a list without it may be older than the report. */
const applyListedLeaving = (leaving: Leaving, listedAsLeaving: boolean): void => {
  if (leaving.list && !listedAsLeaving) leaving.reported = false
  leaving.list = listedAsLeaving
}

const onHostsListed = (db: MembershipDb, event: Extract<MembershipEvent, { kind: 'hosts-listed' }>): MembershipCommand[] => {
  for (const listed of event.hosts) {
    if (listed.host === db.config.host) {
      applyListedLeaving(db.selfLeaving, listed.leaving)
      continue
    }
    const host = db.recordHost(listed.host, listed.role, listed.zone, event.now)
    if (listed.service !== undefined) host.service = listed.service
    if (host.leaving.list !== listed.leaving) db.linkPlanStale = true
    applyListedLeaving(host.leaving, listed.leaving)
  }
  return onLeavingReceived(db, event.hosts.filter(host => host.leaving).map(host => host.host))
}

const onConfigured = (db: MembershipDb, event: Extract<MembershipEvent, { kind: 'configured' }>): void => {
  if (event.revision <= db.revision) return
  db.revision = event.revision
  setZonesOut(db, event.zonesOut)
  db.linkPlanStale = true
  for (const router of event.routers) if (router.host !== db.config.host) db.recordHost(router.host, 'router', router.zone, event.now)
  for (const upstream of event.upstreams) {
    if (upstream.host !== db.config.host) db.recordHost(upstream.host, 'agent', upstream.zone, event.now).service = upstream.service
  }
  db.configured = new Set([...event.routers, ...event.upstreams].map(entry => entry.host))
  const leavingHosts = new Set(event.upstreams.filter(upstream => upstream.leaving).map(upstream => upstream.host))
  db.selfLeaving.configuration = leavingHosts.has(db.config.host)
  for (const [id, host] of db.hosts) host.leaving.configuration = leavingHosts.has(id)
}

const onLinkUp = (db: MembershipDb, event: Extract<MembershipEvent, { kind: 'link-up' }>): void => {
  const host = db.recordHost(event.peer, event.role, event.zone, event.now)
  if (event.service !== undefined) host.service = event.service
  if (host.incarnation !== undefined && host.incarnation !== event.incarnation) host.leaving.reported = false
  host.incarnation = event.incarnation
  host.linked = true
  host.suspected = false
  host.lastAliveAt = event.now
  host.unreachableUntil = -Infinity
  db.linkPlanStale = true
}

/** Leaves a host out of the link plan for the redial delay; the next router in rank replaces it. */
const markUnreachable = (db: MembershipDb, host: KnownHost, now: Millis): void => {
  host.unreachableUntil = now + db.config.redialDelay
  host.triedSince = host.unreachableUntil
  db.linkPlanStale = true
}

const onLinkDown = (db: MembershipDb, event: Extract<MembershipEvent, { kind: 'link-down' }>): void => {
  const host = db.hosts.get(event.peer)
  if (host === undefined) return
  host.linked = false
  markUnreachable(db, host, event.now)
}

const plannedLinks = (db: MembershipDb, now: Millis): Set<HostId> => {
  const { config, self } = db
  const routers = db.routers(now)
  if (config.role === 'router') return planRouterLinks(self, routers, config.routersPerZone)
  const capacityRequests = new Map([...db.capacityRequests].map(([router, request]) => [router, request.round]))
  const { minRouterLinks, agentsPerRouter, capacityRequestLinks } = config
  return planAgentLinks({ self, routers, agents: db.agents(config.service), minRouterLinks, agentsPerRouter, capacityRequests, capacityRequestLinks })
}

/** Dials newly planned routers, and records since when a dialled one is no longer planned. */
const updateLinks = (db: MembershipDb, now: Millis): MembershipCommand[] => {
  const planned = plannedLinks(db, now)
  const commands: MembershipCommand[] = []
  for (const [id, host] of db.hosts) {
    if (host.role !== 'router' || !(host.dialled || planned.has(id))) continue
    if (!planned.has(id)) {
      host.unplannedSince ??= now
      continue
    }
    host.unplannedSince = undefined
    if (host.dialled) continue
    host.dialled = true
    host.triedSince = now
    commands.push({ kind: 'dial', peer: id })
  }
  return commands
}

const disconnectUnplanned = (db: MembershipDb, now: Millis): MembershipCommand[] => {
  const commands: MembershipCommand[] = []
  for (const [id, host] of db.hosts) {
    if (host.unplannedSince === undefined || now - host.unplannedSince < db.config.linger) continue
    host.unplannedSince = undefined
    host.dialled = false
    commands.push({ kind: 'disconnect', peer: id })
  }
  return commands
}

const suspectSilentPeers = (db: MembershipDb, now: Millis): MembershipCommand[] => {
  if (now < db.suspectFrom) return []
  const isSilent = (host: KnownHost): boolean => host.linked && !host.suspected && now - host.lastAliveAt >= db.config.suspectAfter
  return [...db.hosts.values()].filter(isSilent).map(host => {
    host.suspected = true
    return { kind: 'replace-connection', peer: host.candidate.id }
  })
}

const onTick = (db: MembershipDb, now: Millis, random: number): MembershipCommand[] => {
  const expired = db.removeExpired(now).map((peer): MembershipCommand => ({ kind: 'disconnect', peer }))
  scheduleReturn(db, now, random)
  const suspects = suspectSilentPeers(db, now)
  for (const host of db.hosts.values()) {
    if (host.linked || host.unreachableUntil > now) continue
    if (host.dialled && now - host.triedSince >= db.config.suspectAfter) markUnreachable(db, host, now)
    else if (host.unreachableUntil > db.plannedAt) db.linkPlanStale = true
  }
  const dials = db.linkPlanStale ? updateLinks(db, now) : []
  if (db.linkPlanStale) db.plannedAt = now
  db.linkPlanStale = false
  return [...expired, ...suspects, ...dials, ...disconnectUnplanned(db, now), ...requestCapacity(db, now)]
}

const applyEvent = (db: MembershipDb, event: MembershipEvent): MembershipCommand[] => {
  switch (event.kind) {
    case 'hosts-listed':
      return onHostsListed(db, event)
    case 'configured':
      onConfigured(db, event)
      return []
    case 'link-up':
      onLinkUp(db, event)
      return []
    case 'peer-alive': {
      const host = db.hosts.get(event.peer)
      if (host === undefined) return []
      host.lastAliveAt = event.now
      host.suspected = false
      return []
    }
    case 'link-down':
      onLinkDown(db, event)
      return []
    case 'leaving-received':
      return onLeavingReceived(db, event.hosts)
    case 'capacity-request-received':
      return onCapacityRequest(db, event.capacityRequest, event.now)
    case 'backlog-counted':
      db.backlog = event.services
      return []
    case 'drain':
      return onLeavingReceived(db, [db.config.host])
    case 'paused':
      db.suspectFrom = event.now + db.config.heartbeat
      return []
    case 'tick':
      return onTick(db, event.now, event.random)
    default:
      return assertNever(event)
  }
}

/**
 * Applies one event and returns the resulting commands.
 *
 * @param db - membership state of this process; changed in place
 * @param event - the event
 * @returns the commands, in order of execution
 */
export const decideMembership = (db: MembershipDb, event: MembershipEvent): MembershipCommand[] =>
  [...applyEvent(db, event), ...updateWorkState(db, event.now)]
