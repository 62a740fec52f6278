/** Measures the fleet in the shape of a deployment under load and faults. */
import meow from 'meow'
import { type RunOptions, runBench } from './benchRun.js'
import { DEPLOYMENTS } from './deployment/deployments.js'
import { FAULT_KINDS, scheduleFaults } from './faults/faultTypes.js'
import { Caller } from './load/caller.js'
import { nonIdempotentPathsOf } from './load/postPaths.js'
import { waitUntilReady } from './load/waitReady.js'
import { judgeRun } from './measures/verdicts.js'
import { startFleet } from './processes/fleet.js'
import { StoppedError, runMain } from './processes/runMain.js'
import { formatReport, writeReport } from './report/runReport.js'

const cli = meow(`
  Usage
    $ npm run bench -- DEPLOYMENT [options]

  DEPLOYMENT is ${Object.keys(DEPLOYMENTS).join(', ')}.

  Options
    --fault    ${FAULT_KINDS.join(', ')}; two joined by + (default none)
    --twice    each fault comes twice
    --seconds  length of the load (default 60)
    --load     offered load as a multiple of capacity (default 0.5)
    --seed     seed of the load (default 1)

  Exits 1 when a verdict fails.
`, {
  importMeta: import.meta,
  flags: {
    fault: { type: 'string', default: 'none' },
    twice: { type: 'boolean', default: false },
    seconds: { type: 'number', default: 60 },
    load: { type: 'number', default: 0.5 },
    seed: { type: 'number', default: 1 }
  }
})

const name = cli.input[0] ?? 'prairie'

const main = async (stopped: Promise<void>): Promise<number> => {
  const { fault, twice, seconds, load, seed } = cli.flags
  const deployment = DEPLOYMENTS[name] ?? cli.showHelp(2)
  const options: RunOptions = { faults: scheduleFaults(fault, twice, seconds * 1000), lengthMs: seconds * 1000, load, seed }
  const fleet = await startFleet(deployment)
  const caller = new Caller(fleet.callerUrls, nonIdempotentPathsOf(deployment), router => fleet.routers[router]?.accepting === true)
  const interrupted = stopped.then(() => { throw new StoppedError() })
  try {
    await Promise.race([waitUntilReady(fleet, caller), interrupted])
    const bench = await Promise.race([runBench(fleet, caller, options), interrupted])
    const report = {
      name: [name, fault, ...(twice ? ['twice'] : []), `load${load}`, `seed${seed}`].join('-'),
      options: { deployment: name, fault, twice, seconds, load, seed },
      ...bench,
      verdicts: judgeRun(bench.measures)
    }
    console.log(`${formatReport(report)}\n\n${writeReport(report).join('\n')}`)
    return report.verdicts.every(({ pass }) => pass) ? 0 : 1
  } finally {
    await caller.close()
    await fleet.close()
  }
}

await runMain(main)
