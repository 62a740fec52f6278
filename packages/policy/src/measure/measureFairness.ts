/** Prints the figures of docs/FAIRNESS.md: fleet-wide fair order compared with first come, first served and with fairness within each agent. */
import { Model } from './model.js'
import { measureGaps } from './fairnessGaps.js'
import type { ModelLoad, ModelOptions, ModelOrder } from './modelTypes.js'

const ALWAYS = { from: 0, until: Number.POSITIVE_INFINITY }

const load = (workspace: string, routers: number[], overrides: Partial<ModelLoad> = {}): ModelLoad =>
  ({ workspace, weight: 1, services: [0], routers, waiting: 4, cost: [50, 1500], ...ALWAYS, ...overrides })

const loads: ModelLoad[] = [
  load('large', [0, 1, 2], { weight: 4, waiting: 30 }),
  load('flood', [0, 1, 2], { waiting: 60, cost: [50, 300] }),
  load('single', [2]),
  load('slow', [0, 1], { cost: [800, 1500] }),
  load('small', [1], { waiting: 2, cost: [50, 400] }),
  load('two', [0, 2], { weight: 2 })
]

/** Each agent has links to all routers, and most workspaces have requests at several. */
const even: ModelOptions = {
  seed: 1,
  order: 'fleet-fair',
  scope: 'service',
  routers: 3,
  agents: [0, 0, 0, 0, 0, 0],
  linksPerAgent: 3,
  slots: 4,
  loads,
  faults: [],
  delay: [0, 1],
  period: 250,
  sendBacklogToAll: false,
  duplicateCounters: false,
  patience: 600_000,
  duration: 60_000
}

/** Each agent has links to two of six routers, and most workspaces have requests at one router only. */
const uneven: ModelOptions = {
  ...even,
  routers: 6,
  linksPerAgent: 2,
  loads: [
    load('large', [0, 1, 2, 3, 4, 5], { weight: 4, waiting: 30 }),
    load('flood', [0, 1, 2], { waiting: 60, cost: [50, 300] }),
    load('single', [3]),
    load('slow', [4], { cost: [800, 1500] }),
    load('small', [5], { cost: [50, 400] }),
    load('two', [0, 3], { weight: 2 })
  ]
}

const faults: ModelOptions['faults'] = [
  { kind: 'restart', at: 15_000, process: 'r1' },
  { kind: 'partition', at: 22_000, until: 32_000, side: ['r0', 'a0', 'a1'] },
  { kind: 'pause', at: 38_000, until: 44_000, process: 'a2' },
  { kind: 'restart', at: 48_000, process: 'a3' }
]

const SEEDS = [1, 2, 3, 4]

const ORDERS: ModelOrder[] = ['fleet-fair', 'agent-fair', 'first-come']

const largest = (values: number[]): string => Math.max(...values).toFixed(0)

const mean = (values: number[], digits: number): string => (values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(digits)

const printRow = (name: string, options: ModelOptions): void => {
  const results = SEEDS.map(seed => new Model({ ...options, seed }).run())
  const gaps = results.map(result => measureGaps(result.samples))
  const cells = [
    largest(gaps.map(gap => gap.max)),
    largest(gaps.map(gap => gap.p99)),
    mean(results.map(result => result.idleShare * 100), 2),
    mean(results.map(result => result.pulls / result.handovers), 3),
    largest(results.map(result => result.counterBytes))
  ]
  console.log(`| ${name.padEnd(30)} | ${cells.map(cell => cell.padStart(9)).join(' | ')} |`)
}

console.log('| fleet and order                |   gap max |   gap p99 |    idle % |  pulls/ho |   bytes/s |')
console.log('|---|---:|---:|---:|---:|---:|')
for (const order of ORDERS) printRow(`even, ${order}`, { ...even, order })
for (const order of ORDERS) printRow(`uneven, ${order}`, { ...uneven, order })
for (const order of ORDERS) printRow(`even, faults, ${order}`, { ...even, order, faults })
for (const order of ORDERS) printRow(`uneven, faults, ${order}`, { ...uneven, order, faults })

/** Light load: 30 agents, most of them with free slots, and a request every few milliseconds. */
const light: ModelOptions = {
  ...even,
  agents: Array.from({ length: 30 }, () => 0),
  duration: 20_000,
  loads: [load('a', [0, 1, 2], { arrivalInterval: 40, cost: [50, 500] }), load('b', [1], { arrivalInterval: 70, cost: [50, 500] })]
}

for (const sendBacklogToAll of [false, true]) printRow(`light, ${sendBacklogToAll ? 'offers to all at once' : 'offers in waves'}`, { ...light, sendBacklogToAll })
