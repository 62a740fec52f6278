/** Command line of the soak. */
import meow from 'meow'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { runSoak, type SoakResult } from './soak.js'
import { describeFault } from './schedule/faultSchedule.js'
import { REGRESSIONS } from './regressions.js'

const cli = meow(`
  Usage
    $ npm run soak -- [--seed N] [--seconds S]

  Runs gateways as processes under load, injects faults from outside, and checks what callers and upstreams see.

  Options
    --seed         first seed (default: from the clock)
    --seeds        number of consecutive seeds to run (default: 1)
    --seconds      length of each soak, the last 10 of them without faults (default: 30)
    --gateways     number of gateways (default: 4)
    --regressions  runs every seed that has failed before
    --schedule     prints the fault schedule also when no promise was broken

  Exit codes
    0  every promise was kept   1  a promise was broken
`, {
  importMeta: import.meta,
  flags: {
    seed: { type: 'number' },
    seeds: { type: 'number', default: 1 },
    seconds: { type: 'number', default: 30 },
    gateways: { type: 'number', default: 4 },
    regressions: { type: 'boolean', default: false },
    schedule: { type: 'boolean', default: false }
  }
})

/** Upper bound of seeds drawn from the clock, so that they are short to type. */
const SEED_RANGE = 1_000_000

const formatOutcomes = ({ observations }: SoakResult): string => {
  const counts = new Map<string, number>()
  for (const { end, kind } of observations.requests) {
    if (kind === 'probe') continue
    const name = end === undefined ? 'open' : end.kind === 'response' ? String(end.status) : end.kind
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].sort().map(([name, count]) => `${name}: ${count}`).join(', ')
}

const printResult = (seed: number, seconds: number, gateways: number, result: SoakResult): void => {
  const { violation, schedule, evidence } = result
  console.log(`soak: seed ${seed}, ${seconds} s, ${gateways} gateways, ${schedule.length} faults: ${violation === undefined ? 'every promise was kept' : 'BROKEN'} (${formatOutcomes(result)})`)
  if (violation !== undefined || cli.flags.schedule) for (const fault of schedule) console.log(`  ${describeFault(fault)}`)
  if (violation === undefined) return
  console.log(`  broken: ${violation.invariant}`)
  console.log(`  seen: ${violation.description}`)
  for (const line of evidence) console.log(`  ${line}`)
}

setLogLevel('error')
// `process.exit` runs the exit handlers that end the gateway processes.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(1) })
const { flags } = cli
const firstSeed = flags.seed ?? Date.now() % SEED_RANGE
const soaks = flags.regressions
  ? REGRESSIONS
  : Array.from({ length: flags.seeds }, (_, index) => ({ seed: firstSeed + index, seconds: flags.seconds, gateways: flags.gateways }))
let failures = 0
for (const { seed, seconds, gateways } of soaks) {
  const result = await runSoak({ seed, seconds, gateways })
  printResult(seed, seconds, gateways, result)
  if (result.violation !== undefined) failures += 1
}
if (soaks.length > 1) console.log(`soak: ${soaks.length} seeds, ${failures} with a broken promise`)
process.exit(failures === 0 ? 0 : 1)
