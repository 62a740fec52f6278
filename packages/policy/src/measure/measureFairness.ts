/** Prints the figures of docs/FAIRNESS.md: our order beside first come, first served and fairness inside each agent. */
import { Model } from './model.js'
import { measureGaps } from './readings.js'
import type { ModelLoad, ModelOptions, ModelOrder } from './modelTypes.js'

const ALWAYS = { from: 0, until: Number.POSITIVE_INFINITY }

const load = (workspace: string, routers: number[], more: Partial<ModelLoad> = {}): ModelLoad =>
  ({ workspace, weight: 1, services: [0], routers, waiting: 4, cost: [50, 1500], ...ALWAYS, ...more })

const loads: ModelLoad[] = [
  load('large', [0, 1, 2], { weight: 4, waiting: 30 }),
  load('flood', [0, 1, 2], { waiting: 60, cost: [50, 300] }),
  load('single', [2]),
  load('slow', [0, 1], { cost: [800, 1500] }),
  load('small', [1], { waiting: 2, cost: [50, 400] }),
  load('two', [0, 2], { weight: 2 })
]

const base: ModelOptions = {
  seed: 1,
  order: 'fleet-fair',
  scope: 'service',
  routers: 3,
  agents: [0, 0, 0, 0, 0, 0],
  slots: 4,
  loads,
  faults: [],
  delay: [0, 1],
  unruly: false,
  patience: 600_000,
  duration: 60_000
}

const FAULTS: ModelOptions['faults'] = [
  { kind: 'restart', at: 15_000, process: 'r1' },
  { kind: 'partition', at: 22_000, until: 32_000, side: ['r0', 'a0', 'a1'] },
  { kind: 'pause', at: 38_000, until: 44_000, process: 'a2' },
  { kind: 'restart', at: 48_000, process: 'a3' }
]

const row = (name: string, options: ModelOptions): void => {
  const result = new Model(options).run()
  const gaps = measureGaps(result.samples)
  const cells = [name.padEnd(28), gaps.max.toFixed(0), gaps.p99.toFixed(0), (result.idleShare * 100).toFixed(2), (result.pulls / result.handovers).toFixed(3), result.counterBytes.toFixed(0)]
  console.log(cells.map(cell => cell.padStart(9)).join(' '))
}

const ORDERS: ModelOrder[] = ['fleet-fair', 'agent-fair', 'first-come']

console.log('order                          gap max   gap p99  idle %  pulls/ho  bytes/s')
for (const order of ORDERS) row(order, { ...base, order })
for (const order of ORDERS) row(`${order}, faults`, { ...base, order, faults: FAULTS })
