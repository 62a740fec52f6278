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
    --seed         first seed (default: drawn from the clock)
    --seeds        number of seeds, one after the other (default: 1)
    --seconds      length of each soak, the last 10 of them without faults (default: 30)
    --gateways     number of gateways (default: 4)
    --regressions  runs every seed that has once failed
    --schedule     prints the schedule also when all promises are kept

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

/** Seeds drawn from the clock stay below this, so that they are short to type. */
const SEED_RANGE = 1_000_000

const countOf = ({ ledger }: SoakResult): string => {
  const ends = new Map<string, number>()
  for (const { end, kind } of ledger.requests) {
    if (kind === 'probe') continue
    const name = end === undefined ? 'open' : end.kind === 'answer' ? String(end.status) : end.kind
    ends.set(name, (ends.get(name) ?? 0) + 1)
  }
  return [...ends].sort().map(([name, count]) => `${name}: ${count}`).join(', ')
}

const report = (seed: number, seconds: number, gateways: number, result: SoakResult): void => {
  const { broken, schedule, lines } = result
  console.log(`soak: seed ${seed}, ${seconds} s, ${gateways} gateways, ${schedule.length} faults: ${broken === undefined ? 'every promise was kept' : 'BROKEN'} (${countOf(result)})`)
  if (broken !== undefined || cli.flags.schedule) for (const fault of schedule) console.log(`  ${describeFault(fault)}`)
  if (broken === undefined) return
  console.log(`  broken: ${broken.promise}`)
  console.log(`  seen: ${broken.what}`)
  for (const line of lines) console.log(`  ${line}`)
}

setLogLevel('error')
// Ending by way of `exit` ends the gateways, too.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(1) })
const { flags } = cli
const first = flags.seed ?? Date.now() % SEED_RANGE
const runs = flags.regressions
  ? REGRESSIONS
  : Array.from({ length: flags.seeds }, (_, nth) => ({ seed: first + nth, seconds: flags.seconds, gateways: flags.gateways }))
let failures = 0
for (const { seed, seconds, gateways } of runs) {
  const result = await runSoak({ seed, seconds, gateways })
  report(seed, seconds, gateways, result)
  if (result.broken !== undefined) failures += 1
}
if (runs.length > 1) console.log(`soak: ${runs.length} seeds, ${failures} with a broken promise`)
process.exit(failures === 0 ? 0 : 1)
