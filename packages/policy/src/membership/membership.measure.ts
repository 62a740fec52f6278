/** Measures link plans at the fleet size planned for two years ahead: `node packages/policy/dist/membership/membership.measure.js`. */
import { asId, type HostId, type ZoneId } from '@fuchsiaworks/kernel'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { loadStringHash } from '../keys/rendezvous.js'
import { type Candidate, planAgentLinks, planRouterLinks } from './linkPlan.js'

const ROUTERS = 390
const AGENTS = 4_200
const SERVICES = 17
const ZONES = 23
/** Links that each router plans to each other zone; links that routers there plan to it are added. */
const ROUTERS_PER_ZONE = 1
/** Live agents of a service that each router should be linked to. */
const MIN_LIVE_AGENTS = 3

const hash = await loadStringHash()
const source = xoroshiro128plus(390)
const randomUnit = (): number => (source.next() >>> 0) / 2 ** 32
const candidate = (name: string): Candidate =>
  ({ id: asId<HostId>(name), hash: hash(name), zone: asId<ZoneId>(`zone-${Math.floor(randomUnit() * ZONES)}`) })
const routers = Array.from({ length: ROUTERS }, (_, n) => candidate(`router-${n}`))
const services = Array.from({ length: SERVICES }, (_, s) =>
  Array.from({ length: Math.floor(AGENTS / SERVICES) + (s < AGENTS % SERVICES ? 1 : 0) }, (_, n) => candidate(`agent-${s}-${n}`)))

type Links = Map<HostId, Set<HostId>>
type View = (host: Candidate) => boolean
const everyHost: View = () => true

const plan = (baseLinks: number, agentsPerRouter: number, view: View): Links => {
  const links: Links = new Map()
  for (const members of services) {
    const visible = members.filter(view)
    for (const self of members) links.set(self.id, planAgentLinks({ self, routers: routers.filter(view), agents: visible, minRouterLinks: baseLinks, agentsPerRouter, capacityRequests: new Map(), capacityRequestLinks: 0 }))
  }
  return links
}

const minMeanMax = (values: readonly number[]): string => {
  const sorted = [...values].sort((a, b) => a - b)
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  return `${sorted[0] ?? 0} / ${mean.toFixed(1)} / ${sorted.at(-1) ?? 0}`
}

const routerDegrees = (links: Links): number[] => {
  const degree = new Map<HostId, number>(routers.map(router => [router.id, 0]))
  for (const set of links.values()) for (const id of set) degree.set(id, (degree.get(id) ?? 0) + 1)
  return [...degree.values()]
}

/** Share of (router, service) pairs with fewer than WANTED live agents. */
const underLinkedShare = (links: Links, isLive: View): number => {
  let underLinkedCount = 0
  for (const members of services) {
    const count = new Map<HostId, number>()
    for (const agent of members) if (isLive(agent)) for (const id of links.get(agent.id) ?? []) count.set(id, (count.get(id) ?? 0) + 1)
    underLinkedCount += routers.filter(router => (count.get(router.id) ?? 0) < MIN_LIVE_AGENTS).length
  }
  return underLinkedCount / (ROUTERS * SERVICES)
}

const randomlyDead = (share: number): View => {
  const dead = new Set(services.flat().filter(() => randomUnit() < share).map(agent => agent.id))
  return host => !dead.has(host.id)
}

const zoneDown: View = host => host.zone !== 'zone-0'

/** Share of links that are in only one of two plans. */
const differingShare = (a: Links, b: Links): number => {
  let both = 0
  let any = 0
  for (const [id, set] of a) {
    const other = b.get(id) ?? new Set<HostId>()
    const shared = [...set].filter(peer => other.has(peer)).length
    both += shared
    any += set.size + other.size - shared
  }
  return 1 - both / any
}

const randomlyMissing = (hosts: readonly Candidate[], share: number): View => {
  const missing = new Set(hosts.filter(() => randomUnit() < share).map(host => host.id))
  return host => !missing.has(host.id)
}

/** Links when half of the agents follow one plan and half the other. */
const mixViews = (a: Links, b: Links): Links =>
  new Map([...a].map(([id, set], n) => [id, n % 2 === 0 ? set : b.get(id) ?? set]))

const percent = (share: number): string => `${(100 * share).toFixed(3)}`

console.log('links between agents and routers (minimum / mean / maximum):')
console.table([[4, 0], [8, 0], [16, 0], [0, 4], [4, 4], [4, 6], [4, 8]].map(([base = 0, top = 0]) => {
  const links = plan(base, top, everyHost)
  return {
    'base links': base,
    'agents per router': top,
    'links of an agent': minMeanMax([...links.values()].map(set => set.size)),
    'links of a router': minMeanMax(routerDegrees(links)),
    'fewer than 3 agents, all live %': percent(underLinkedShare(links, everyHost)),
    'fewer than 3, 1 % dead %': percent(underLinkedShare(links, randomlyDead(0.01))),
    'fewer than 3, 10 % dead %': percent(underLinkedShare(links, randomlyDead(0.1))),
    'fewer than 3, zone dead undetected %': percent(underLinkedShare(links, zoneDown))
  }
}))

console.log('links that differ when a second membership view lacks hosts (4 base links, 6 agents per router):')
const completeView = plan(4, 6, everyHost)
console.table([0.001, 0.01, 0.05].map(share => {
  const lacksRouters = randomlyMissing(routers, share)
  const lacksAgents = randomlyMissing(services.flat(), share)
  return {
    'hosts missing %': 100 * share,
    'routers missing: links differ %': percent(differingShare(completeView, plan(4, 6, lacksRouters))),
    'agents missing: links differ %': percent(differingShare(completeView, plan(4, 6, lacksAgents))),
    'both views in one fleet, fewer than 3 agents %': percent(underLinkedShare(mixViews(completeView, plan(4, 6, lacksAgents)), everyHost))
  }
}))

const plannedDials = routers.map(self => planRouterLinks(self, routers, ROUTERS_PER_ZONE))
const neighbours = new Map<HostId, Set<HostId>>(routers.map(router => [router.id, new Set<HostId>()]))
routers.forEach((self, n) => {
  for (const peer of plannedDials[n] ?? []) {
    neighbours.get(self.id)?.add(peer)
    neighbours.get(peer)?.add(self.id)
  }
})

const hopsFrom = (start: HostId): number => {
  const seen = new Set([start])
  let frontier = [start]
  let hops = -1
  while (frontier.length > 0) {
    hops += 1
    frontier = frontier.flatMap(id => [...neighbours.get(id) ?? []]).filter(id => !seen.has(id) && seen.add(id).size > 0)
  }
  return seen.size === ROUTERS ? hops : Infinity
}

console.log(`links between routers: ${minMeanMax([...neighbours.values()].map(set => set.size))}, most hops ${Math.max(...routers.map(router => hopsFrom(router.id)))}`)

const timed = (run: () => void, times: number): string => {
  run()
  const start = performance.now()
  for (let n = 0; n < times; n += 1) run()
  return ((performance.now() - start) / times).toFixed(2)
}
const agents = services[0] ?? []
const [self] = agents
const [router] = routers
if (self !== undefined && router !== undefined) {
  console.log(`time to plan links of an agent: ${timed(() => planAgentLinks({ self, routers, agents, minRouterLinks: 4, agentsPerRouter: 6, capacityRequests: new Map(), capacityRequestLinks: 0 }), 200)} ms`)
  console.log(`time to plan links of a router: ${timed(() => planRouterLinks(router, routers, ROUTERS_PER_ZONE), 20)} ms`)
}
