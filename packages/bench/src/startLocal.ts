/** Starts a small fleet on loopback; serves until Ctrl-C, or sends a number of requests through it and checks the responses. */
import meow from 'meow'
import { DEPLOYMENTS } from './deployment/deployments.js'
import { bearerKeyOf } from './deployment/documents.js'
import { Caller } from './load/caller.js'
import type { RequestResult } from './load/loadTypes.js'
import { planMixed } from './load/mixedPlan.js'
import { runOpenLoop } from './load/openLoop.js'
import { nonIdempotentPathsOf } from './load/postPaths.js'
import { waitUntilReady } from './load/waitReady.js'
import { findDoubleRuns } from './measures/doubleRuns.js'
import { type Fleet, startFleet } from './processes/fleet.js'
import { StoppedError, runMain } from './processes/runMain.js'
import { formatOutcomes } from './report/outcomeTable.js'

/** Maximum number of faulty responses that are printed. */
const MAX_FAULTY_SHOWN = 10

/**
 * Pause before the first request. Agents that have just applied a configuration cannot tell yet whether an idempotency key
 * with a timestamp is new.
 */
const KEY_SETTLE_MS = 8_000

const cli = meow(`
  Usage
    $ npm start                        serves until Ctrl-C
    $ npm start -- --requests 200      sends 200 mixed requests; exits 0 only if all responses were right

  Options
    --requests  number of requests to send
    --seed      seed of the requests (default 1)
`, { importMeta: import.meta, flags: { requests: { type: 'number', default: 0 }, seed: { type: 'number', default: 1 } } })

const printAddresses = (fleet: Fleet): void => {
  const { deployment, callerUrls, routers, agents, upstreams } = fleet
  console.log('Routers:')
  routers.forEach((router, index) => { console.log(`  ${callerUrls[index]}  zone ${router.zone}, administration ${router.adminUrl}`) })
  console.log('Agents:')
  agents.forEach((agent, index) => {
    console.log(`  ${upstreams[index]?.id} at ${upstreams[index]?.control.url}  zone ${agent.zone}, administration ${agent.adminUrl}`)
  })
  console.log(`Workspaces: ${deployment.workspaces.map(({ id }) => `${id} (key ${bearerKeyOf(id)})`).join(', ')}`)
}

const printCurl = (fleet: Fleet): void => {
  const body = JSON.stringify({ messages: [{ role: 'user', content: 'nonce=hello Say something.' }], max_tokens: 40, stream: true })
  const key = bearerKeyOf(fleet.deployment.workspaces[0]?.id ?? '')
  console.log('\nTry:')
  console.log(`  curl -N ${fleet.callerUrls[0]}/scribe/v1/chat/completions -H 'authorization: Bearer ${key}' -H 'content-type: application/json' -d '${body}'`)
}

const printFaultyResponses = (results: readonly RequestResult[]): void => {
  for (const { planned, result, status, detail } of results.filter(item => item.result !== 'right').slice(0, MAX_FAULTY_SHOWN)) {
    console.log(`${planned.nonce} ${planned.kind}: ${result} ${status} ${detail}`)
  }
}

const sendRequests = async (fleet: Fleet, caller: Caller): Promise<number> => {
  const results = await runOpenLoop(planMixed(fleet.deployment, cli.flags.requests, cli.flags.seed), caller)
  console.log(`\n${formatOutcomes(results, ({ planned }) => `${planned.service} ${planned.kind}`)}`)
  printFaultyResponses(results)
  const doubleRuns = await findDoubleRuns(fleet, results)
  if (doubleRuns.length > 0) console.log(`Non-idempotent requests that ran more than once: ${doubleRuns.join(', ')}`)
  const right = results.filter(result => result.result === 'right').length
  console.log(`\n${right} of ${results.length} answers right`)
  return right === cli.flags.requests && doubleRuns.length === 0 ? 0 : 1
}

await runMain(async stopped => {
  const fleet = await startFleet(DEPLOYMENTS['local'] ?? cli.showHelp(2))
  const caller = new Caller(fleet.callerUrls, nonIdempotentPathsOf(fleet.deployment))
  try {
    const ready = await Promise.race([waitUntilReady(fleet, caller).then(() => true), stopped.then(() => false)])
    if (!ready) throw new StoppedError()
    printAddresses(fleet)
    if (cli.flags.requests > 0) await new Promise(resolve => { setTimeout(resolve, KEY_SETTLE_MS) })
    if (cli.flags.requests > 0) return await sendRequests(fleet, caller)
    printCurl(fleet)
    console.log('\nPress Ctrl-C to stop.')
    await stopped
    return 0
  } finally {
    await caller.close()
    await fleet.close()
  }
})
