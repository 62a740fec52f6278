/** Plans the links of a process by rendezvous hashing: processes with the same membership view compute the same plan. */
import type { HostId, ServiceId, ZoneId } from '@fuchsiaworks/kernel'
import { compareForSubject, type HashedMember, pairScore } from '../keys/rendezvous.js'

/** A host that may be linked to. */
export interface Candidate extends HashedMember<HostId> {
  readonly zone: ZoneId
}

/** Membership view and settings from which an agent's links are planned. */
export interface AgentPlanInput {
  readonly self: Candidate
  readonly routers: readonly Candidate[]
  /** Agents of the same service, with or without this one. */
  readonly agents: readonly Candidate[]
  readonly minRouterLinks: number
  readonly agentsPerRouter: number
  /** Rounds of the current capacity requests, by requesting router. */
  readonly capacityRequests: ReadonlyMap<HostId, number>
  readonly capacityRequestLinks: number
}

/** Highest-ranked routers for an agent, spread evenly over zones; the next in rank of any zone fill the rest of `count`. */
const spreadOverZones = (self: Candidate, routers: readonly Candidate[], count: number): Candidate[] => {
  const ranked = [...routers].sort((a, b) => compareForSubject(a, b, self.hash))
  const zones = new Set(ranked.map(router => router.zone)).size
  const perZone = Math.ceil(count / Math.max(1, zones))
  const perZoneCount = new Map<ZoneId, number>()
  const spread = ranked.filter(router => {
    const used = perZoneCount.get(router.zone) ?? 0
    perZoneCount.set(router.zone, used + 1)
    return used < perZone
  })
  const rest = ranked.filter(router => !spread.includes(router))
  return [...spread, ...rest].slice(0, count)
}

/** True when fewer than `count` agents rank above this one for the router. */
const isAmongTop = (self: Candidate, router: Candidate, agents: readonly Candidate[], count: number): boolean => {
  if (count <= 0) return false
  const ownScore = pairScore(self.hash, router.hash)
  let higherRanked = 0
  for (const agent of agents) {
    if (agent.id === self.id) continue
    const score = pairScore(agent.hash, router.hash)
    if (score < ownScore || (score === ownScore && agent.id > self.id)) continue
    higherRanked += 1
    if (higherRanked >= count) return false
  }
  return true
}

/** Routers whose capacity request includes this agent. Each round includes twice as many agents as the one before, so that they do not all connect at once. */
const requestingRouters = (input: AgentPlanInput): Candidate[] => {
  const isIncluded = (router: Candidate): boolean => {
    const round = input.capacityRequests.get(router.id)
    if (round === undefined) return false
    return isAmongTop(input.self, router, input.agents, Math.max(1, input.agentsPerRouter) * 2 ** round)
  }
  return input.routers.filter(isIncluded)
}

/**
 * Plans the links of an agent: to its own highest-ranked routers, to the routers for which it is among the highest-ranked
 * agents, and to routers that request capacity.
 *
 * @param input - the agent's membership view
 * @returns hosts of the routers
 */
export const planAgentLinks = (input: AgentPlanInput): Set<HostId> => {
  const { self, routers, agents } = input
  const base = spreadOverZones(self, routers, input.minRouterLinks)
  const ranked = routers.filter(router => isAmongTop(self, router, agents, input.agentsPerRouter))
  const planned = new Set([...base, ...ranked].map(router => router.id))
  const requesting = requestingRouters(input).filter(router => !planned.has(router.id))
  for (const router of requesting.slice(0, input.capacityRequestLinks)) planned.add(router.id)
  return planned
}

/** Score of two routers, symmetric so that both plan the same links. */
const symmetricScore = (a: Candidate, b: Candidate): number => pairScore(Math.min(a.hash, b.hash), Math.max(a.hash, b.hash))

const highestRanked = (self: Candidate, routers: readonly Candidate[], count: number): HostId[] =>
  [...routers].sort((a, b) => symmetricScore(self, b) - symmetricScore(self, a)).slice(0, count).map(router => router.id)

const groupByZone = (routers: readonly Candidate[]): Map<ZoneId, Candidate[]> => {
  const zones = new Map<ZoneId, Candidate[]>()
  for (const router of routers) zones.set(router.zone, [...zones.get(router.zone) ?? [], router])
  return zones
}

/**
 * Plans the routers that a router dials: all of its zone and a few of each other zone. Of two routers, the one with the
 * smaller id dials.
 *
 * @param self - the router
 * @param routers - all known routers, with or without itself
 * @param perZone - links from each router to each other zone; links that routers there plan to this one are added
 * @returns hosts of the routers to dial
 */
export const planRouterLinks = (self: Candidate, routers: readonly Candidate[], perZone: number): Set<HostId> => {
  const others = routers.filter(router => router.id !== self.id)
  const zones = groupByZone(others)
  const ownZone = [...zones.get(self.zone) ?? [], self]
  const planned = new Set(zones.get(self.zone)?.map(router => router.id))
  for (const [zone, members] of zones) {
    if (zone === self.zone) continue
    for (const id of highestRanked(self, members, perZone)) planned.add(id)
    for (const member of members) {
      if (highestRanked(member, ownZone, perZone).includes(self.id)) planned.add(member.id)
    }
  }
  return new Set([...planned].filter(id => id > self.id))
}

/** Agents of one service as candidates. */
export type AgentsByService = ReadonlyMap<ServiceId, readonly Candidate[]>
