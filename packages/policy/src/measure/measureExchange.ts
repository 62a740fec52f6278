/** Prints bytes per second and the period of counter exchange rounds, by exchange level and fleet size. */
import { bytesPerRound, type ExchangeLevel, selectExchangeLevel, type FleetSizes } from '../exchange/exchangeLevel.js'

/** Counter traffic that a process may send, in bytes per second. */
const BUDGET_BYTES_PER_S = 20_000

const LEVELS: ExchangeLevel[] = ['agent', 'router', 'zone']

/** Shortest period between rounds, in milliseconds. */
const MIN_PERIOD_MS = 250

const FLEETS: ReadonlyArray<readonly [name: string, sizes: FleetSizes]> = [
  ['Prairie', { scope: 'fleet', routers: 3, agents: 10, zones: 4, services: 2, linksPerAgent: 3, backloggedPairs: 8, activePairs: 32 }],
  ['Moreton', { scope: 'fleet', routers: 3, agents: 9, zones: 3, services: 2, linksPerAgent: 3, backloggedPairs: 8, activePairs: 32 }],
  ['40 routers, 420 agents', { scope: 'fleet', routers: 40, agents: 420, zones: 23, services: 17, linksPerAgent: 4, backloggedPairs: 56, activePairs: 560 }],
  ['390 routers, 4,200 agents, by service', { scope: 'service', routers: 390, agents: 4200, zones: 23, services: 17, linksPerAgent: 4, backloggedPairs: 56, activePairs: 560 }],
  ['390 routers, 4,200 agents', { scope: 'fleet', routers: 390, agents: 4200, zones: 23, services: 17, linksPerAgent: 4, backloggedPairs: 56, activePairs: 560 }]
]

console.log('| fleet | level | bytes per round | period ms | bytes/s | chosen |')
console.log('|---|---|---:|---:|---:|---|')
for (const [name, sizes] of FLEETS) {
  for (const level of LEVELS) {
    const bytes = bytesPerRound(level, sizes)
    const period = Math.max(MIN_PERIOD_MS, bytes * 1000 / BUDGET_BYTES_PER_S)
    const chosen = selectExchangeLevel(sizes, BUDGET_BYTES_PER_S) === level ? 'yes' : ''
    console.log(`| ${name} | ${level} | ${bytes.toFixed(0)} | ${period.toFixed(0)} | ${(bytes * 1000 / period).toFixed(0)} | ${chosen} |`)
  }
}
