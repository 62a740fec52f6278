/** Chooses the links of a process by rendezvous hashing: every process works out the same for the same view. */
import type { HostId, ServiceId, ZoneId } from '@fuchsiaworks/kernel'
import { compareForSubject, type HashedMember, pairScore } from '../keys/rendezvous.js'

/** A host that may be linked with. */
export interface Candidate extends HashedMember<HostId> {
  readonly zone: ZoneId
}

/** What an agent's plan is worked out from. */
export interface AgentPlanInput {
  readonly self: Candidate
  readonly routers: readonly Candidate[]
  /** Agents of the same service, this one included or not. */
  readonly agents: readonly Candidate[]
  readonly minRouterLinks: number
  readonly agentsPerRouter: number
  /** Routers that call for agents, with the number of the call. */
  readonly hungry: ReadonlyMap<HostId, number>
  readonly hungerLinks: number
}

/** Best routers for an agent, spread over zones. */
const spreadOverZones = (self: Candidate, routers: readonly Candidate[], count: number): Candidate[] => {
  const ranked = [...routers].sort((a, b) => compareForSubject(a, b, self.hash))
  const zones = new Set(ranked.map(router => router.zone)).size
  const perZone = Math.ceil(count / Math.max(1, zones))
  const taken = new Map<ZoneId, number>()
  const spread = ranked.filter(router => {
    const used = taken.get(router.zone) ?? 0
    taken.set(router.zone, used + 1)
    return used < perZone
  })
  const rest = ranked.filter(router => !spread.includes(router))
  return [...spread, ...rest].slice(0, count)
}

/** True when fewer than `count` agents are better placed for the router than this one. */
const isAmongTop = (self: Candidate, router: Candidate, agents: readonly Candidate[], count: number): boolean => {
  if (count <= 0) return false
  const own = pairScore(self.hash, router.hash)
  let better = 0
  for (const agent of agents) {
    if (agent.id === self.id) continue
    const score = pairScore(agent.hash, router.hash)
    if (score < own || (score === own && agent.id > self.id)) continue
    better += 1
    if (better >= count) return false
  }
  return true
}

/** Routers whose call reaches this agent: each call is meant for twice as many agents, so that not all come at once. */
const calledBy = (input: AgentPlanInput): Candidate[] => {
  const isCalled = (router: Candidate): boolean => {
    const round = input.hungry.get(router.id)
    if (round === undefined) return false
    return isAmongTop(input.self, router, input.agents, Math.max(1, input.agentsPerRouter) * 2 ** round)
  }
  return input.routers.filter(isCalled)
}

/**
 * Names the routers that an agent links with: its own best ones, those that count on it, and those that call for it.
 *
 * @param input - the agent's view
 * @returns hosts of the routers
 */
export const planAgentLinks = (input: AgentPlanInput): Set<HostId> => {
  const { self, routers, agents } = input
  const base = spreadOverZones(self, routers, input.minRouterLinks)
  const counted = routers.filter(router => isAmongTop(self, router, agents, input.agentsPerRouter))
  const planned = new Set([...base, ...counted].map(router => router.id))
  const called = calledBy(input).filter(router => !planned.has(router.id))
  for (const router of called.slice(0, input.hungerLinks)) planned.add(router.id)
  return planned
}

/** Symmetric score of two routers, so that both name the same links. */
const symmetricScore = (a: Candidate, b: Candidate): number => pairScore(Math.min(a.hash, b.hash), Math.max(a.hash, b.hash))

const bestOfZone = (self: Candidate, routers: readonly Candidate[], count: number): HostId[] =>
  [...routers].sort((a, b) => symmetricScore(self, b) - symmetricScore(self, a)).slice(0, count).map(router => router.id)

const groupByZone = (routers: readonly Candidate[]): Map<ZoneId, Candidate[]> => {
  const zones = new Map<ZoneId, Candidate[]>()
  for (const router of routers) zones.set(router.zone, [...zones.get(router.zone) ?? [], router])
  return zones
}

/**
 * Names the routers that a router dials: all of its zone, a few of each other zone, and only those with a larger id.
 *
 * @param self - the router
 * @param routers - all routers that it knows, itself included or not
 * @param perZone - links to each other zone, as seen from either side
 * @returns hosts of the routers to dial
 */
export const planRouterLinks = (self: Candidate, routers: readonly Candidate[], perZone: number): Set<HostId> => {
  const others = routers.filter(router => router.id !== self.id)
  const zones = groupByZone(others)
  const ownZone = [...zones.get(self.zone) ?? [], self]
  const planned = new Set(zones.get(self.zone)?.map(router => router.id))
  for (const [zone, members] of zones) {
    if (zone === self.zone) continue
    for (const id of bestOfZone(self, members, perZone)) planned.add(id)
    for (const member of members) {
      if (bestOfZone(member, ownZone, perZone).includes(self.id)) planned.add(member.id)
    }
  }
  return new Set([...planned].filter(id => id > self.id))
}

/** Agents of one service as candidates. */
export type AgentsByService = ReadonlyMap<ServiceId, readonly Candidate[]>
