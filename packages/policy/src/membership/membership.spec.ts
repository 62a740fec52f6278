/** Specification of membership: links and the work state. */
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
const life = (n: number): Incarnation => asId<Incarnation>(`i${n}`)
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
const up = (now: number, name: string, n = 1): MembershipEvent =>
  ({ kind: 'link-up', now, peer: host(name), role: 'router', zone: zone(0), incarnation: life(n) })

/** Sends events and gathers what they lead to, as text. */
const play = (db: MembershipDb, ...events: MembershipEvent[]): string[] => events.flatMap(event => decideMembership(db, event)).map(show)

const show = (command: MembershipCommand): string => {
  switch (command.kind) {
    case 'work-state': return command.state
    case 'broadcast-leaving': return `tell ${command.hosts.join()}`
    case 'start-cold': return 'cold'
    case 'send-capacity-request': return `call ${command.capacityRequest.router} ${command.capacityRequest.service} ${command.capacityRequest.round}`
    default: return `${command.kind} ${command.peer}`
  }
}

const make = (change: Partial<MembershipConfig> = {}): MembershipDb => new MembershipDb({ ...config, ...change }, hash)

describe('membership', () => {
  before(async () => { hash = await loadStringHash() })

  it('takes work once configured, and none while its zone is out or it leaves, whoever says so first', () => {
    expect(play(make(), configured(0, 1))).toEqual(['open'])
    expect(play(make(), configured(0, 1, [zone(0)]))).toEqual(['zone-out'])
    expect(play(make(), configured(0, 1, [], [host('a0')]))).toEqual(['leaving'])
    expect(play(make(), configured(0, 1), { kind: 'leaving-received', now: 1, hosts: [host('a0')] })).toEqual(['open', 'tell a0', 'leaving'])
    expect(play(make(), configured(0, 1), listed(1, [{ ...router(0), host: host('a0'), leaving: true }]))).toEqual(['open', 'tell a0', 'leaving'])
    expect(play(make(), configured(0, 1), { kind: 'drain', now: 1 })).toEqual(['open', 'tell a0', 'leaving'])
  })

  it('lets no stale source undo what a newer one said', () => {
    const db = make()
    play(db, configured(0, 5, [zone(0)]))
    expect(play(db, configured(1, 4))).toEqual([])
    play(db, configured(2, 6), { kind: 'leaving-received', now: 3, hosts: [host('a0')] })
    expect(play(db, listed(4, [{ ...router(0), host: host('a0') }]), tick(9_000))).toEqual([])
    expect(db.workState).toEqual('leaving')
  })

  it('takes back a leave that a newer revision or the list itself takes back', () => {
    const db = make()
    play(db, configured(0, 1, [], [host('a0')]))
    expect(play(db, configured(1, 2))).toEqual(['open'])
    const self = (leaving: boolean): ListedHost => ({ ...router(0), host: host('a0'), leaving })
    play(db, listed(2, [self(true)]))
    expect(play(db, listed(3, [self(false)]))).toEqual(['open'])
  })

  it('starts cold after a random wait when its zone returns', () => {
    const db = make()
    play(db, configured(0, 1, [zone(0)]), tick(1))
    expect(play(db, configured(100, 2))).toEqual(['returning'])
    expect(play(db, tick(200, 0.25), tick(1_199, 0.9))).toEqual([])
    expect(play(db, tick(1_200))).toEqual(['cold', 'open'])
  })

  it('dials routers over zones, and the next best when one cannot be reached', () => {
    const db = make({ agentsPerRouter: 0 })
    const first = play(db, configured(0, 1), listed(0, [0, 1, 2, 3, 4, 5].map(n => router(n))), tick(0)).filter(text => text.startsWith('dial'))
    expect(first.length).toEqual(2)
    const [dead, alive] = first.map(text => text.slice(5))
    const later = play(db, up(10, alive!), tick(1_499), tick(1_500))
    expect(later.length).toEqual(1)
    const next = later[0]!.slice(5)
    play(db, up(1_600, next))
    const heard = (now: number): MembershipEvent[] => [alive!, next].map(peer => ({ kind: 'peer-alive', now, peer: host(peer) }))
    expect(play(db, ...heard(3_500), tick(3_500))).toEqual([`hang-up ${dead}`])
    expect(play(db, ...heard(6_500), tick(6_500))).toEqual([`dial ${dead}`])
  })

  it('keeps a live peer that is missing from the list, and forgets one that nothing names any more', () => {
    const db = make()
    play(db, listed(0, [router(0), router(1)]), tick(0), up(1, 'r0'))
    expect(play(db, listed(90_000, []), { kind: 'peer-alive', now: 90_000, peer: host('r0') }, tick(90_000)).filter(text => text.includes('r0'))).toEqual([])
    expect(db.hosts.get(host('r0'))?.linked).toEqual(true)
    play(db, tick(99_000))
    expect(db.hosts.has(host('r1'))).toEqual(false)
  })

  it('replaces a silent connection once, but judges no peer after its own pause until a heartbeat period has passed', () => {
    const db = make()
    play(db, listed(0, [router(0)]), tick(0), up(1, 'r0'))
    expect(play(db, { kind: 'paused', now: 30_000, length: 29_000 }, tick(30_000), tick(30_499))).toEqual([])
    expect(play(db, tick(30_500), tick(30_600))).toEqual(['replace-connection r0'])
    expect(play(db, { kind: 'peer-alive', now: 30_700, peer: host('r0') }, tick(32_200))).toEqual(['replace-connection r0'])
  })

  it('keeps its links to a router that leaves or whose zone is out, so that what waits there is served', () => {
    const db = make()
    play(db, configured(0, 1), listed(0, [router(0), router(1)]), tick(0), up(1, 'r0'), up(1, 'r1'))
    const after = play(db, configured(2, 2, [zone(1)]), listed(3, [router(0, true), router(1)]), tick(4), tick(9_000))
    expect(after.filter(text => text.startsWith('disconnect'))).toEqual([])
  })

  it('takes the leave of a host for one life of its process', () => {
    const db = make()
    play(db, listed(0, [router(0)]), tick(0), up(1, 'r0', 1), { kind: 'leaving-received', now: 2, hosts: [host('r0')] })
    expect(db.hosts.get(host('r0'))?.leaving.reported).toEqual(true)
    play(db, up(3, 'r0', 2))
    expect(db.hosts.get(host('r0'))?.leaving.reported).toEqual(false)
  })

  it('answers a router that calls for its service, for a while and within its bound', () => {
    const db = make({ minRouterLinks: 1, agentsPerRouter: 0 })
    const dialled = (): number => [...db.hosts.values()].filter(each => each.dialled).length
    const call = (n: number, of = service): MembershipEvent =>
      ({ kind: 'capacity-request-received', now: 1, capacityRequest: { router: host(`r${n}`), zone: zone(0), service: of, round: 2 } })
    play(db, configured(0, 1), listed(0, [0, 1, 2, 3].map(n => router(n))), tick(0), call(0, asId<ServiceId>('other')), tick(1))
    expect(dialled()).toEqual(1)
    play(db, ...[0, 1, 2, 3].map(n => call(n)), tick(2))
    expect(dialled()).toEqual(2)
    for (const each of db.hosts.values()) if (each.dialled) play(db, up(3, each.candidate.id))
    play(db, tick(10_001), tick(12_001))
    expect(dialled()).toEqual(1)
  })

  it('is called by a router in the round that is meant for it, so that not all agents come at once', () => {
    const candidate = (name: string): { id: HostId, hash: number, zone: ZoneId } => ({ id: host(name), hash: hash(name), zone: zone(0) })
    const agents = Array.from({ length: 64 }, (_, n) => candidate(`a${n}`))
    const called = candidate('r0')
    const answers = (round: number): number => agents.filter(self => planAgentLinks({
      self, routers: [called], agents, minRouterLinks: 0, agentsPerRouter: 0, hungry: new Map([[called.id, round]]), hungerLinks: 1
    }).size > 0).length
    expect([1, 2, 3, 6].map(answers)).toEqual([2, 4, 8, 64])
  })

  it('calls for agents, more widely each time, while its backlog has too few of them', () => {
    const db = make({ role: 'router', host: host('r0'), service: undefined })
    const agent = (name: string): MembershipEvent => ({ ...up(2, name), role: 'agent', service } as MembershipEvent)
    expect(play(db, { kind: 'backlog-counted', now: 0, services: [service] }, tick(0), tick(2_499), tick(2_500))).toEqual(['call r0 scribe 1', 'call r0 scribe 2'])
    expect(play(db, agent('a0'), agent('a1'), tick(5_000))).toEqual(['replace-connection a0', 'replace-connection a1'])
    expect(play(db, { kind: 'capacity-request-received', now: 5_001, capacityRequest: { router: host('r1'), zone: zone(0), service, round: 3 } })).toEqual(['call r1 scribe 3'])
  })

  it('gives each router the same agents in every agent\'s plan, and both ends of a router pair the same link', () => {
    const candidate = (name: string, n: number): { id: HostId, hash: number, zone: ZoneId } => ({ id: host(name), hash: hash(name), zone: zone(n % 4) })
    fc.assert(fc.property(fc.integer({ min: 2, max: 30 }), fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 4 }), (routerCount, agentCount, top) => {
      const routers = Array.from({ length: routerCount }, (_, n) => candidate(`r${n}`, n))
      const agents = Array.from({ length: agentCount }, (_, n) => candidate(`a${n}`, n))
      const plans = agents.map(self => planAgentLinks({ self, routers, agents, minRouterLinks: 0, agentsPerRouter: top, hungry: new Map(), hungerLinks: 0 }))
      const served = routers.every(each => plans.filter(plan => plan.has(each.id)).length === Math.min(top, agentCount))
      const dials = routers.flatMap(self => [...planRouterLinks(self, routers, top)].map(peer => `${self.id} ${peer}`))
      const degree = routers.map(self => dials.filter(dial => dial.split(' ').includes(self.id)).length)
      return served && new Set(dials).size === dials.length && degree.every(count => count > 0)
    }), { seed: SEED, numRuns: 60 })
  })

  it('takes no work while any newest word is against it, over any order of events', () => {
    const event = fc.oneof(
      fc.record({ kind: fc.constant('c' as const), revision: fc.integer({ min: 1, max: 30 }) }),
      fc.record({ kind: fc.constant('t' as const) }),
      fc.record({ kind: fc.constant('p' as const) }))
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(3_000), event, fc.double({ min: 0, max: 0.99, noNaN: true })), { maxLength: 60 }), steps => {
      const db = make()
      let now = 0
      let newest = 0
      for (const [span, each, random] of steps) {
        now += span
        if (each.kind === 'c') {
          newest = Math.max(newest, each.revision)
          play(db, configured(now, each.revision, each.revision % 3 === 0 ? [zone(0)] : [], each.revision % 5 === 0 ? [host('a0')] : []))
        } else play(db, each.kind === 't' ? tick(now, random) : { kind: 'paused', now, length: span })
        const barred = newest === 0 || newest % 3 === 0 || newest % 5 === 0
        if (barred && db.workState === 'open') return false
      }
      if (newest === 0 || newest % 3 === 0 || newest % 5 === 0) return true
      play(db, tick(now + 1), tick(now + 1 + config.returnJitter))
      return db.workState === 'open'
    }), { seed: SEED, numRuns: 1_000 })
  })
})
