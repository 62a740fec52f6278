/** Compares fairness per service with fairness across the fleet, for workspaces that use different services. */
import { Model } from './model.js'
import { measureGaps } from './fairnessGaps.js'
import type { ModelLoad, ModelOptions, ModelResult } from './modelTypes.js'
import type { FairnessScope } from '../fairness/fairnessTypes.js'

const SCOPES: FairnessScope[] = ['service', 'fleet']

const DURATION_MS = 40_000

const load = (workspace: string, services: number[]): ModelLoad =>
  ({ workspace, weight: 1, services, routers: [0, 1], waiting: 5, cost: [50, 500], from: 0, until: Number.POSITIVE_INFINITY })

const baseOptions: ModelOptions = {
  seed: 1,
  order: 'fleet-fair',
  scope: 'service',
  routers: 2,
  agents: [0, 0, 0, 1, 1, 1],
  linksPerAgent: 2,
  slots: 3,
  loads: [],
  faults: [],
  delay: [0, 1],
  period: 250,
  sendBacklogToAll: false,
  duplicateCounters: false,
  patience: 600_000,
  duration: DURATION_MS
}

/** Smallest share of a backlogged workspace at a service, relative to its equal share of the slot time there (3 agents of 3 slots). */
const smallestRelativeShare = (loads: readonly ModelLoad[], result: ModelResult): number => {
  const last = result.samples.at(-1)
  const shares = loads.flatMap(({ workspace, services }) => services.map(service => {
    const sharingWorkspaces = loads.filter(other => other.services.includes(service)).length
    const capacity = 9 * DURATION_MS
    return (last?.served.get(`${workspace}/${service}`) ?? 0) * sharingWorkspaces / capacity
  }))
  return Math.min(...shares)
}

const workspaceOf = (pair: string): string => pair.slice(0, pair.indexOf('/'))

const printRow = (name: string, scope: FairnessScope, loads: readonly ModelLoad[]): void => {
  const result = new Model({ ...baseOptions, scope, loads }).run()
  const cells = [measureGaps(result.samples, workspaceOf).max.toFixed(0), measureGaps(result.samples).max.toFixed(0), smallestRelativeShare(loads, result).toFixed(2)]
  console.log(`| ${`${name}, ${scope}`.padEnd(36)} | ${cells.map(cell => cell.padStart(9)).join(' | ')} |`)
}

const TOPOLOGIES: ReadonlyArray<readonly [name: string, loads: readonly ModelLoad[]]> = [
  ['one per combination', [load('a', [0]), load('b', [0, 1]), load('c', [1])]],
  ['two on both, three on one', [load('a', [0]), load('b', [0, 1]), load('c', [0, 1]), load('d', [1]), load('e', [1])]],
  ['one on both, alone at the second', [load('a', [0]), load('b', [0, 1]), load('c', [0]), load('d', [0])]],
  ['all on both', [load('a', [0, 1]), load('b', [0, 1]), load('c', [0, 1])]],
  ['none on both', [load('a', [0]), load('b', [0]), load('c', [1]), load('d', [1]), load('e', [1])]]
]

console.log('| workspaces and scope                 | fleet gap | serv. gap |  share of |')
console.log('|---|---:|---:|---:|')
for (const [name, loads] of TOPOLOGIES) for (const scope of SCOPES) printRow(name, scope, loads)
