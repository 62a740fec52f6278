/** Specification of membership: link plans and the work state. */
import { before, describe, it } from 'node:test'
import { asId, type HostId, type Incarnation, type ServiceId, type UpstreamId, type ZoneId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { loadStringHash, type StringHash } from '../keys/rendezvous.js'
import { planAgentLinks, planRouterLinks } from './linkPlan.js'
import { decideMembership } from './membership.js'
import { MembershipDb } from './membershipDb.js'
import type { ListedHost, MembershipCommand, MembershipConfig, MembershipEvent } from './membershipTypes.js'

const SEED = 1_204
const service = asId<ServiceId>('scribe')
const zone = (n: number): ZoneId => asId<ZoneId>(`z${n}`)
const host = (name: string): HostId => asId<HostId>(name)
const incarnation = (n: number): Incarnation => asId<Incarnation>(`i${n}`)
const config: MembershipConfig = {
  role: 'agent',
  host: host('a0'),
  zone: zone(0),
  service,
  minRouterLinks: 2,
  agentsPerRouter: 1,
  capacityRequestLinks: 1,
  minLinkedAgents: 2,
  routersPerZone: 1,
  heartbeat: 500,
  suspectAfter: 1_500,
  forgetAfter: 60_000,
  redialDelay: 5_000,
  linger: 2_000,
  capacityRequestTtl: 10_000,
  returnJitter: 4_000
}

let hash: StringHash

const router = (n: number, leaving = false): ListedHost => ({ host: host(`r${n}`), role: 'router', zone: zone(n % 3), leaving })
const listed = (now: number, hosts: ListedHost[]): MembershipEvent => ({ kind: 'hosts-listed', now, hosts })
const configured = (now: number, revision: number, zonesOut: ZoneId[] = [], leaving: HostId[] = []): MembershipEvent => ({
  kind: 'configured',
  now,
  revision,
  zonesOut,
  routers: [],
  upstreams: ['a0', 'a1'].map(name => ({ upstream: asId<UpstreamId>(name), host: host(name), service, zone: zone(0), leaving: leaving.includes(host(name)) }))
})
const tick = (now: number, random = 0.5): MembershipEvent => ({ kind: 'tick', now, random })
const linkUp = (now: number, name: string, n = 1): MembershipEvent =>
  ({ kind: 'link-up', now, peer: host(name), role: 'router', zone: zone(0), incarnation: incarnation(n) })

/** Applies events and returns the resulting commands as text. */
const decideAll = (db: MembershipDb, ...events: MembershipEvent[]): string[] => events.flatMap(event => decideMembership(db, event)).map(describeCommand)

const describeCommand = (command: MembershipCommand): string => {
  switch (command.kind) {
    case 'work-state': return command.state
    case 'broadcast-leaving': return `broadcast ${command.hosts.join()}`
    case 'start-cold': return 'cold'
    case 'send-capacity-request': return `request ${command.capacityRequest.router} ${command.capacityRequest.service} ${command.capacityRequest.round}`
    default: return `${command.kind} ${command.peer}`
  }
}

const createDb = (change: Partial<MembershipConfig> = {}): MembershipDb => new MembershipDb({ ...config, ...change }, hash)

describe('membership', () => {
  before(async () => { hash = await loadStringHash() })

  it('accepts work once configured, and none while its zone is out or it leaves, whichever source reports it first', () => {
    expect(decideAll(createDb(), configured(0, 1))).toEqual(['open'])
    expect(decideAll(createDb(), configured(0, 1, [zone(0)]))).toEqual(['zone-out'])
    expect(decideAll(createDb(), configured(0, 1, [], [host('a0')]))).toEqual(['leaving'])
    expect(decideAll(createDb(), configured(0, 1), { kind: 'leaving-received', now: 1, hosts: [host('a0')] })).toEqual(['open', 'broadcast a0', 'leaving'])
    expect(decideAll(createDb(), configured(0, 1), listed(1, [{ ...router(0), host: host('a0'), leaving: true }]))).toEqual(['open', 'broadcast a0', 'leaving'])
    expect(decideAll(createDb(), configured(0, 1), { kind: 'drain', now: 1 })).toEqual(['open', 'broadcast a0', 'leaving'])
  })

  it('ignores a stale source after a newer one', () => {
    const db = createDb()
    decideAll(db, configured(0, 5, [zone(0)]))
    expect(decideAll(db, configured(1, 4))).toEqual([])
    decideAll(db, configured(2, 6), { kind: 'leaving-received', now: 3, hosts: [host('a0')] })
    expect(decideAll(db, listed(4, [{ ...router(0), host: host('a0') }]), tick(9_000))).toEqual([])
    expect(db.workState).toEqual('leaving')
  })

  it('clears the leaving state when a newer revision, or the host list that reported it, clears it', () => {
    const db = createDb()
    decideAll(db, configured(0, 1, [], [host('a0')]))
    expect(decideAll(db, configured(1, 2))).toEqual(['open'])
    const self = (leaving: boolean): ListedHost => ({ ...router(0), host: host('a0'), leaving })
    decideAll(db, listed(2, [self(true)]))
    expect(decideAll(db, listed(3, [self(false)]))).toEqual(['open'])
  })

  it('starts cold after a random delay when its zone returns', () => {
    const db = createDb()
    decideAll(db, configured(0, 1, [zone(0)]), tick(1))
    expect(decideAll(db, configured(100, 2))).toEqual(['returning'])
    expect(decideAll(db, tick(200, 0.25), tick(1_199, 0.9))).toEqual([])
    expect(decideAll(db, tick(1_200))).toEqual(['cold', 'open'])
  })

  it('dials routers across zones, and the next in rank when one is unreachable', () => {
    const db = createDb({ agentsPerRouter: 0 })
    const first = decideAll(db, configured(0, 1), listed(0, [0, 1, 2, 3, 4, 5].map(n => router(n))), tick(0)).filter(text => text.startsWith('dial'))
    expect(first.length).toEqual(2)
    const [dead, alive] = first.map(text => text.slice(5))
    const later = decideAll(db, linkUp(10, alive!), tick(1_499), tick(1_500))
    expect(later.length).toEqual(1)
    const next = later[0]!.slice(5)
    decideAll(db, linkUp(1_600, next))
    const peersAlive = (now: number): MembershipEvent[] => [alive!, next].map(peer => ({ kind: 'peer-alive', now, peer: host(peer) }))
    expect(decideAll(db, ...peersAlive(3_500), tick(3_500))).toEqual([`disconnect ${dead}`])
    expect(decideAll(db, ...peersAlive(6_500), tick(6_500))).toEqual([`dial ${dead}`])
  })

  it('keeps a live peer that is missing from the host list, and removes one that no source names any more', () => {
    const db = createDb()
    decideAll(db, listed(0, [router(0), router(1)]), tick(0), linkUp(1, 'r0'))
    expect(decideAll(db, listed(90_000, []), { kind: 'peer-alive', now: 90_000, peer: host('r0') }, tick(90_000)).filter(text => text.includes('r0'))).toEqual([])
    expect(db.hosts.get(host('r0'))?.linked).toEqual(true)
    decideAll(db, tick(99_000))
    expect(db.hosts.has(host('r1'))).toEqual(false)
  })

  it('replaces a silent connection once, but suspects no peer until a heartbeat period after a pause of its own process', () => {
    const db = createDb()
    decideAll(db, listed(0, [router(0)]), tick(0), linkUp(1, 'r0'))
    expect(decideAll(db, { kind: 'paused', now: 30_000, length: 29_000 }, tick(30_000), tick(30_499))).toEqual([])
    expect(decideAll(db, tick(30_500), tick(30_600))).toEqual(['replace-connection r0'])
    expect(decideAll(db, { kind: 'peer-alive', now: 30_700, peer: host('r0') }, tick(32_200))).toEqual(['replace-connection r0'])
  })

  it('keeps its links to a router that leaves or whose zone is out, so that its queued requests are served', () => {
    const db = createDb()
    decideAll(db, configured(0, 1), listed(0, [router(0), router(1)]), tick(0), linkUp(1, 'r0'), linkUp(1, 'r1'))
    const after = decideAll(db, configured(2, 2, [zone(1)]), listed(3, [router(0, true), router(1)]), tick(4), tick(9_000))
    expect(after.filter(text => text.startsWith('disconnect'))).toEqual([])
  })

  it('clears the reported leaving state of a host when its process restarts', () => {
    const db = createDb()
    decideAll(db, listed(0, [router(0)]), tick(0), linkUp(1, 'r0', 1), { kind: 'leaving-received', now: 2, hosts: [host('r0')] })
    expect(db.hosts.get(host('r0'))?.leaving.reported).toEqual(true)
    decideAll(db, linkUp(3, 'r0', 2))
    expect(db.hosts.get(host('r0'))?.leaving.reported).toEqual(false)
  })

  it('links to a router that requests capacity of its service, until the request expires and up to its limit of links', () => {
    const db = createDb({ minRouterLinks: 1, agentsPerRouter: 0 })
    const dialled = (): number => [...db.hosts.values()].filter(each => each.dialled).length
    const capacityRequest = (n: number, of = service): MembershipEvent =>
      ({ kind: 'capacity-request-received', now: 1, capacityRequest: { router: host(`r${n}`), zone: zone(0), service: of, round: 2 } })
    decideAll(db, configured(0, 1), listed(0, [0, 1, 2, 3].map(n => router(n))), tick(0), capacityRequest(0, asId<ServiceId>('other')), tick(1))
    expect(dialled()).toEqual(1)
    decideAll(db, ...[0, 1, 2, 3].map(n => capacityRequest(n)), tick(2))
    expect(dialled()).toEqual(2)
    for (const each of db.hosts.values()) if (each.dialled) decideAll(db, linkUp(3, each.candidate.id))
    decideAll(db, tick(10_001), tick(12_001))
    expect(dialled()).toEqual(1)
  })

  it('includes twice as many agents in each round of a capacity request, so that they do not all connect at once', () => {
    const candidate = (name: string): { id: HostId, hash: number, zone: ZoneId } => ({ id: host(name), hash: hash(name), zone: zone(0) })
    const agents = Array.from({ length: 64 }, (_, n) => candidate(`a${n}`))
    const requestingRouter = candidate('r0')
    const includedAgents = (round: number): number => agents.filter(self => planAgentLinks({
      self, routers: [requestingRouter], agents, minRouterLinks: 0, agentsPerRouter: 0, capacityRequests: new Map([[requestingRouter.id, round]]), capacityRequestLinks: 1
    }).size > 0).length
    expect([1, 2, 3, 6].map(includedAgents)).toEqual([2, 4, 8, 64])
  })

  it('requests capacity in growing rounds while too few agents are linked for its backlog', () => {
    const db = createDb({ role: 'router', host: host('r0'), service: undefined })
    const agent = (name: string): MembershipEvent => ({ ...linkUp(2, name), role: 'agent', service } as MembershipEvent)
    expect(decideAll(db, { kind: 'backlog-counted', now: 0, services: [service] }, tick(0), tick(2_499), tick(2_500))).toEqual(['request r0 scribe 1', 'request r0 scribe 2'])
    expect(decideAll(db, agent('a0'), agent('a1'), tick(5_000))).toEqual(['replace-connection a0', 'replace-connection a1'])
    expect(decideAll(db, { kind: 'capacity-request-received', now: 5_001, capacityRequest: { router: host('r1'), zone: zone(0), service, round: 3 } })).toEqual(['request r1 scribe 3'])
  })

  it('assigns each router its number of agents from independent agent plans, and plans each link between routers from exactly one end', () => {
    const candidate = (name: string, n: number): { id: HostId, hash: number, zone: ZoneId } => ({ id: host(name), hash: hash(name), zone: zone(n % 4) })
    fc.assert(fc.property(fc.integer({ min: 2, max: 30 }), fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 4 }), (routerCount, agentCount, top) => {
      const routers = Array.from({ length: routerCount }, (_, n) => candidate(`r${n}`, n))
      const agents = Array.from({ length: agentCount }, (_, n) => candidate(`a${n}`, n))
      const plans = agents.map(self => planAgentLinks({ self, routers, agents, minRouterLinks: 0, agentsPerRouter: top, capacityRequests: new Map(), capacityRequestLinks: 0 }))
      const served = routers.every(each => plans.filter(plan => plan.has(each.id)).length === Math.min(top, agentCount))
      const dials = routers.flatMap(self => [...planRouterLinks(self, routers, top)].map(peer => `${self.id} ${peer}`))
      const degree = routers.map(self => dials.filter(dial => dial.split(' ').includes(self.id)).length)
      return served && new Set(dials).size === dials.length && degree.every(count => count > 0)
    }), { seed: SEED, numRuns: 60 })
  })

  it('accepts no work while the newest revision forbids it, over any order of events', () => {
    const event = fc.oneof(
      fc.record({ kind: fc.constant('configured' as const), revision: fc.integer({ min: 1, max: 30 }) }),
      fc.record({ kind: fc.constant('tick' as const) }),
      fc.record({ kind: fc.constant('paused' as const) }))
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(3_000), event, fc.double({ min: 0, max: 0.99, noNaN: true })), { maxLength: 60 }), steps => {
      const db = createDb()
      let now = 0
      let newest = 0
      for (const [span, each, random] of steps) {
        now += span
        if (each.kind === 'configured') {
          newest = Math.max(newest, each.revision)
          decideAll(db, configured(now, each.revision, each.revision % 3 === 0 ? [zone(0)] : [], each.revision % 5 === 0 ? [host('a0')] : []))
        } else decideAll(db, each.kind === 'tick' ? tick(now, random) : { kind: 'paused', now, length: span })
        const forbidden = newest === 0 || newest % 3 === 0 || newest % 5 === 0
        if (forbidden && db.workState === 'open') return false
      }
      if (newest === 0 || newest % 3 === 0 || newest % 5 === 0) return true
      decideAll(db, tick(now + 1), tick(now + 1 + config.returnJitter))
      return db.workState === 'open'
    }), { seed: SEED, numRuns: 1_000 })
  })
})
