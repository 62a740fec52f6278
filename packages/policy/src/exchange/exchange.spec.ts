import { describe, it } from 'node:test'
import { asId, type HostId, type Incarnation, type RequestId, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { decideFairness } from '../fairness/fairness.js'
import { fairnessDefinition } from '../fairness/fairnessDefinition.js'
import type { FairnessDb } from '../fairness/fairnessDb.js'
import { decideExchange } from './exchange.js'
import type { ExchangeDb } from './exchangeDb.js'
import { exchangeDefinition } from './exchangeDefinition.js'
import { bytesPerRound, selectExchangeLevel, type FleetSizes } from './exchangeLevel.js'
import type { ExchangeCommand, Relation } from './exchangeTypes.js'

const service = asId<ServiceId>('scribe')
const a = asId<WorkspaceId>('a')

class Process {
  readonly fairness: FairnessDb
  readonly exchange: ExchangeDb
  #request = 0

  constructor (readonly name: string) {
    this.fairness = fairnessDefinition.createDb(asId<Incarnation>(name), 0)
    this.exchange = exchangeDefinition.createDb(asId<HostId>(name), 1)
  }

  serve (cost: number, now = 0): void {
    decideFairness(this.fairness, { kind: 'work-started', request: asId<RequestId>(`${this.#request++}`), service, workspace: a, estimate: cost, now })
  }

  get served (): number { return this.fairness.virtualTime(service, a) }
}

const deliver = (from: Process, to: Process, commands: ExchangeCommand[], now: number): void => {
  for (const command of commands) {
    if (command.kind === 'send' && command.link === to.name) decideExchange(to.exchange, to.fairness, { kind: 'counters-received', link: from.name, counters: command.counters, now })
  }
}

const link = (one: Process, relationOfOne: Relation, other: Process, relationOfOther: Relation, now = 0): void => {
  const pairs = [[one, other, relationOfOther], [other, one, relationOfOne]] as const
  const commands = pairs.map(([from, to, relation]) => decideExchange(from.exchange, from.fairness, { kind: 'peer-joined', link: to.name, relation, incarnation: asId(to.name), now }))
  pairs.forEach(([from, to], i) => { deliver(from, to, commands[i] ?? [], now) })
}

const unlink = (one: Process, other: Process): void => {
  decideExchange(one.exchange, one.fairness, { kind: 'peer-gone', link: other.name, now: 0 })
  decideExchange(other.exchange, other.fairness, { kind: 'peer-gone', link: one.name, now: 0 })
}

const runRounds = (processes: Process[], from: number): void => {
  for (let now = from; now < from + 5_000; now += 1_000) {
    for (const process of processes) {
      const commands = decideExchange(process.exchange, process.fairness, { kind: 'tick', now })
      for (const to of processes) deliver(process, to, commands, now)
    }
  }
}

const LARGE_FLEET: FleetSizes = { scope: 'fleet', routers: 390, agents: 4200, zones: 23, services: 17, linksPerAgent: 4, backloggedPairs: 56, activePairs: 560 }
const SMALL_FLEET: FleetSizes = { scope: 'fleet', routers: 3, agents: 10, zones: 4, services: 2, linksPerAgent: 3, backloggedPairs: 8, activePairs: 32 }

describe('counter exchange', () => {
  it('sends a complete update to a new process, and only changes afterwards', () => {
    const [r, x, y] = [new Process('r'), new Process('x'), new Process('y')]
    x.serve(7)
    link(r, 'hub', x, 'leaf')
    link(r, 'hub', y, 'leaf')
    expect(y.served).toEqual(7)
    runRounds([r, x, y], 0)
    const later = decideExchange(r.exchange, r.fairness, { kind: 'tick', now: 20_000 })
    expect(later.map(command => command.kind === 'send' && command.counters.entries.length)).toEqual([0, 0])
    expect(decideExchange(r.exchange, r.fairness, { kind: 'tick', now: 20_250 })).toEqual([])
  })

  it('sends a restarted process the counters that its earlier incarnation sent over a link of the same name', () => {
    const [r, x, restarted] = [new Process('r'), new Process('x'), new Process('x')]
    x.serve(7)
    link(r, 'hub', x, 'leaf')
    unlink(r, x)
    link(r, 'hub', restarted, 'leaf')
    expect([r.served, restarted.served]).toEqual([7, 7])
  })

  it('merges counters received before their sender joined', () => {
    const [r, x] = [new Process('r'), new Process('x')]
    x.serve(7)
    const messages = decideExchange(x.exchange, x.fairness, { kind: 'peer-joined', link: 'r', relation: 'hub', incarnation: asId('r'), now: 0 })
    deliver(x, r, messages, 0)
    decideExchange(r.exchange, r.fairness, { kind: 'peer-joined', link: 'x', relation: 'leaf', incarnation: asId('x'), now: 10 })
    expect(r.served).toEqual(7)
  })

  it('counts all service once in a tree of sums, also after a child moves to another parent', () => {
    const [root, other, child, leaf] = [new Process('root'), new Process('other'), new Process('child'), new Process('leaf')]
    const processes = [root, other, child, leaf]
    processes.forEach((process, i) => { process.serve(10 ** i) })
    link(root, 'mesh', other, 'mesh')
    link(root, 'parent', child, 'child')
    link(child, 'parent', leaf, 'child')
    runRounds(processes, 0)
    expect(processes.map(process => process.served)).toEqual([1111, 1111, 1111, 1111])
    unlink(root, child)
    leaf.serve(5_000)
    runRounds(processes, 10_000)
    link(other, 'parent', child, 'child', 20_000)
    runRounds(processes, 20_000)
    expect(processes.map(process => process.served)).toEqual([6111, 6111, 6111, 6111])
  })

  it('converges to the same totals after any sequence of service, moves and rounds in trees', () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('serve' as const), who: fc.nat(4), cost: fc.integer({ min: 1, max: 50 }) }),
      fc.record({ kind: fc.constant('move' as const), child: fc.integer({ min: 2, max: 4 }), to: fc.nat(1) }),
      fc.record({ kind: fc.constant('rounds' as const) }),
      fc.record({ kind: fc.constant('rest' as const), span: fc.integer({ min: 600_000, max: 10_000_000 }) })
    )
    fc.assert(fc.property(fc.array(step, { maxLength: 25 }), steps => {
      const processes = ['r0', 'r1', 'c2', 'c3', 'c4'].map(name => new Process(name))
      const processAt = (index: number): Process => processes[index] ?? new Process('none')
      const parents = new Map([2, 3, 4].map(child => [child, child % 2]))
      link(processAt(0), 'mesh', processAt(1), 'mesh')
      for (const [child, parent] of parents) link(processAt(parent), 'parent', processAt(child), 'child')
      let now = 0
      let served = 0
      for (const event of steps) {
        now += 10_000
        if (event.kind === 'rounds') runRounds(processes, now)
        if (event.kind === 'rest') now += event.span
        if (event.kind === 'serve') {
          processAt(event.who).serve(event.cost, now)
          served += event.cost
        }
        if (event.kind !== 'move') continue
        unlink(processAt(parents.get(event.child) ?? 0), processAt(event.child))
        parents.set(event.child, event.to)
        link(processAt(event.to), 'parent', processAt(event.child), 'child', now)
      }
      runRounds(processes, now + 10_000)
      expect(processes.map(process => process.served)).toEqual(processes.map(() => served))
    }), { seed: 20261203, numRuns: 200 })
  })

  it('counts service given by a disconnected child once after the child reconnects to the same parent', () => {
    const [root, child] = [new Process('root'), new Process('child')]
    link(root, 'parent', child, 'child')
    child.serve(3)
    runRounds([root, child], 0)
    unlink(root, child)
    child.serve(4)
    root.serve(10)
    link(root, 'parent', child, 'child', 10_000)
    runRounds([root, child], 10_000)
    expect([root.served, child.served]).toEqual([17, 17])
  })

  it('extends the interval between rounds to stay within the byte budget', () => {
    const [r, x] = [new Process('r'), new Process('x')]
    link(r, 'hub', x, 'leaf')
    for (let i = 0; i < 5_000; i++) decideFairness(r.fairness, { kind: 'work-started', request: asId<RequestId>(`${i}`), service, workspace: asId<WorkspaceId>(`w${i}`), estimate: 1, now: 0 })
    decideExchange(r.exchange, r.fairness, { kind: 'tick', now: 0 })
    expect(r.exchange.nextRoundAt >= 3_000).toEqual(true)
  })

  it('lets an agent with free slots dial a router with a backlog once, and releases the link when it is unused', () => {
    const [r, x] = [new Process('r'), new Process('x')]
    link(r, 'hub', x, 'leaf')
    decideExchange(r.exchange, r.fairness, { kind: 'own-backlog', service, entries: [{ workspace: a, waiting: 9 }], now: 0 })
    runRounds([r, x], 0)
    const slots = { kind: 'slots', service, upstreams: 4, linked: new Set<HostId>(), now: 5_000 } as const
    expect(decideExchange(x.exchange, x.fairness, { ...slots, free: 0 })).toEqual([])
    expect(decideExchange(x.exchange, x.fairness, { ...slots, free: 1 })).toEqual([{ kind: 'dial', router: asId<HostId>('r') }])
    expect(decideExchange(x.exchange, x.fairness, { ...slots, free: 1 })).toEqual([])
    decideExchange(x.exchange, x.fairness, { kind: 'tick', now: 40_000 })
    expect(decideExchange(x.exchange, x.fairness, { ...slots, free: 1, now: 40_000 })).toEqual([{ kind: 'release', router: asId<HostId>('r') }])
  })

  it('exchanges totals by agent in a small fleet and sums by zone in a large one', () => {
    expect([selectExchangeLevel(SMALL_FLEET, 20_000), selectExchangeLevel(LARGE_FLEET, 20_000)]).toEqual(['agent', 'zone'])
    expect(bytesPerRound('zone', LARGE_FLEET)).toBeLessThanOrEqual(25_000)
  })
})
