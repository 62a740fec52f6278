/** Specification of the fairness of a simulated fleet. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { DEFAULT_FAIRNESS } from '../fairness/fairnessDefinition.js'
import { gapBound } from '../fairness/gapBound.js'
import { Model } from './model.js'
import { measureGaps } from './fairnessGaps.js'
import type { ModelFault, ModelLoad, ModelOptions, ModelSample } from './modelTypes.js'

const SEED = 20261203
const LOAD_END_MS = 24_000
const SETTLE_MS = 14_000
const LAST_FAULT_MS = 9_000
const SLOTS = 3
const AGENTS = 4
/** Cost estimates of the model are up to three times too high. */
const MAX_ESTIMATE_FACTOR = 3
const LARGEST_COST = 100
const EXCHANGE_PERIOD_MS = 50
/** Age of counters: two exchange rounds, each up to a tick late, and four message delays. */
const COUNTER_AGE_MS = 2 * (EXCHANGE_PERIOD_MS + 50) + 4 * 2

const load = (workspace: string, routers: number[], overrides: Partial<ModelLoad> = {}): ModelLoad =>
  ({ workspace, weight: 1, services: [0], routers, waiting: 3, cost: [20, LARGEST_COST], from: 0, until: LOAD_END_MS, ...overrides })

const base: ModelOptions = {
  seed: 1,
  order: 'fleet-fair',
  scope: 'service',
  routers: 3,
  agents: Array.from({ length: AGENTS }, () => 0),
  linksPerAgent: 3,
  slots: SLOTS,
  loads: [load('a', [0, 1, 2], { weight: 4, waiting: 10 }), load('b', [0, 1, 2], { waiting: 25, cost: [20, 50] }), load('c', [2]), load('d', [0, 1], { weight: 2 })],
  faults: [],
  delay: [0, 2],
  period: EXCHANGE_PERIOD_MS,
  sendBacklogToAll: false,
  duplicateCounters: true,
  patience: 600_000,
  duration: LOAD_END_MS
}

/** Two workspaces use one service each, one uses both. */
const TWO_SERVICES = [load('a', [0, 1]), load('b', [1, 2], { services: [0, 1] }), load('c', [0, 2], { services: [1] })]

const BOUND = gapBound({ slots: SLOTS * AGENTS, largestCost: LARGEST_COST * MAX_ESTIMATE_FACTOR, leastWeight: 1, slotRate: 1, propagationDelay: COUNTER_AGE_MS })

const processName = fc.constantFrom('r0', 'r1', 'r2', 'a0', 'a1', 'a2', 'a3')
const faultStart = fc.integer({ min: 500, max: LAST_FAULT_MS - 7_000 })
const faultSpan = fc.integer({ min: 100, max: 7_000 })
const fault: fc.Arbitrary<ModelFault> = fc.oneof(
  fc.record({ kind: fc.constant('restart' as const), at: fc.integer({ min: 500, max: LAST_FAULT_MS }), process: processName }),
  fc.tuple(faultStart, faultSpan, processName).map(([at, length, process]) => ({ kind: 'pause' as const, at, until: at + length, process })),
  fc.tuple(faultStart, faultSpan, fc.subarray(['r0', 'r1', 'r2', 'a0', 'a1', 'a2', 'a3'], { minLength: 1, maxLength: 6 }))
    .map(([at, length, side]) => ({ kind: 'partition' as const, at, until: at + length, side }))
)
/** One to three faults, or the same fault twice in succession. */
const faults = fc.oneof(
  fc.array(fault, { minLength: 1, maxLength: 3 }),
  fault.map(first => [first, first.kind === 'restart' ? { ...first, at: first.at + 400 } : { ...first, at: first.until + 200, until: first.until + 900 }])
)

const scope = fc.constantFrom('service' as const, 'fleet' as const)

const samplesFrom = (samples: readonly ModelSample[], at: number): ModelSample[] => samples.filter(sample => sample.at >= at)

/** Longest time for which a backlogged workspace received no service, in milliseconds. */
const longestStarvation = (samples: readonly ModelSample[]): number => {
  const lastServed = new Map<string, { served: number, at: number }>()
  let longest = 0
  for (const { at, served, waiting } of samples) {
    for (const pair of waiting) {
      const last = lastServed.get(pair)
      const now = served.get(pair) ?? 0
      if (last === undefined || last.served < now) lastServed.set(pair, { served: now, at })
      else longest = Math.max(longest, at - last.at)
    }
    for (const pair of [...lastServed.keys()]) if (!waiting.has(pair)) lastServed.delete(pair)
  }
  return longest
}

const roundValues = (values: Map<string, number>): Array<[string, number]> => [...values].map(([key, value]) => [key, Math.round(value)])

describe('a simulated fleet with faults', () => {
  it('keeps the gap within the bound, starves no workspace, and converges on the same totals', () => {
    fc.assert(fc.property(faults, fc.integer({ min: 0, max: 1e6 }), scope, (chosen, seed, scope) => {
      const model = new Model({ ...base, seed, scope, faults: chosen })
      const result = model.run()
      const totalsByProcess = model.settle(SETTLE_MS)
      const lostAgents = chosen.filter(({ kind }) => kind === 'restart').length
      const settledFrom = LAST_FAULT_MS + DEFAULT_FAIRNESS.creditMs
      expect(measureGaps(samplesFrom(result.samples, settledFrom)).max).toBeLessThanOrEqual(BOUND)
      expect(longestStarvation(result.samples)).toBeLessThanOrEqual(DEFAULT_FAIRNESS.creditMs + LARGEST_COST * MAX_ESTIMATE_FACTOR)
      for (const totals of totalsByProcess) expect(roundValues(totals)).toEqual(roundValues(totalsByProcess[0] ?? new Map()))
      for (const [pair, served] of model.served) {
        const error = Math.abs((totalsByProcess[0]?.get(pair) ?? 0) - served)
        expect(error).toBeLessThanOrEqual(lostAgents * SLOTS * (LARGEST_COST * MAX_ESTIMATE_FACTOR + COUNTER_AGE_MS) + 0.5)
      }
    }), { seed: SEED, numRuns: 12 })
  })

  it('keeps the gap within the bound without faults, and fills a free slot within a round trip', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 1e6 }), fc.integer({ min: 1, max: 3 }), scope, (seed, linksPerAgent, scope) => {
      const duration = 10_000
      const result = new Model({ ...base, seed, scope, linksPerAgent, duration }).run()
      expect(measureGaps(result.samples).max).toBeLessThanOrEqual(BOUND)
      const idle = result.idleShare * SLOTS * AGENTS * duration
      expect(idle).toBeLessThanOrEqual(result.handovers * (2 * base.delay[1] + 1) + SLOTS * AGENTS * 20)
    }), { seed: SEED, numRuns: 6 })
  })

  it('keeps a bound that first come, first served exceeds, and has a smaller gap than fairness within each agent', () => {
    const gapOf = (order: ModelOptions['order']): number => measureGaps(new Model({ ...base, order, linksPerAgent: 1, duration: 10_000 }).run().samples).max
    expect(gapOf('first-come')).toBeGreaterThan(BOUND)
    expect(gapOf('agent-fair')).toBeGreaterThan(5 * gapOf('fleet-fair'))
  })

  it('with fleet scope, counts service across services and gives a workspace at least a quarter of its equal share at each', () => {
    const run = (scope: ModelOptions['scope']): ModelSample[] => [...new Model({ ...base, scope, loads: TWO_SERVICES, agents: [0, 0, 1, 1], duration: 15_000 }).run().samples]
    const fleet = run('fleet')
    const gapOf = (samples: ModelSample[]): number => measureGaps(samples, pair => pair.slice(0, pair.indexOf('/'))).max
    expect(gapOf(fleet)).toBeLessThanOrEqual(BOUND)
    expect(gapOf(run('service'))).toBeGreaterThan(BOUND)
    const equalShare = SLOTS * 2 * 15_000 / 2
    for (const service of [0, 1]) expect(fleet.at(-1)?.served.get(`b/${service}`) ?? 0).toBeGreaterThanOrEqual(equalShare / 4)
  })

  it('gives no credit for idle time to a workspace, whichever router its requests arrive at afterwards', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 1e6 }), fc.nat(2), scope, fc.boolean(), (seed, router, scope, restartRouter) => {
      const loads = [load('always', [0, 1]), load('back', [router], { from: 8_000 })]
      const faults: ModelFault[] = restartRouter ? [{ kind: 'restart', at: 7_500, process: `r${router}` }] : []
      const { samples } = new Model({ ...base, seed, scope, loads, faults, duration: 16_000 }).run()
      expect(measureGaps(samples).max).toBeLessThanOrEqual(BOUND)
    }), { seed: SEED, numRuns: 8 })
  })

  it('refuses no request of a small workspace during a flood of another, and bounds its wait', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 1e6 }), seed => {
      const loads = [load('flood', [0, 1, 2], { waiting: 120 }), load('small', [1], { waiting: 1, cost: [20, 100] })]
      const { refusals, longestWait } = new Model({ ...base, seed, loads, patience: 4_000, duration: 6_000 }).run()
      expect(refusals.get('small')).toEqual(undefined)
      expect(longestWait.get('small') ?? 0).toBeLessThanOrEqual(LARGEST_COST * MAX_ESTIMATE_FACTOR)
    }), { seed: SEED, numRuns: 3 })
  })
})
