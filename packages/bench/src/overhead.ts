/** Measures latency, CPU time and memory that one router and one agent add to a direct call of the upstream. */
import meow from 'meow'
import { Pool } from 'undici'
import { bearerKeyOf } from './deployment/documents.js'
import { Caller } from './load/caller.js'
import { nonIdempotentPathsOf } from './load/postPaths.js'
import { waitUntilReady } from './load/waitReady.js'
import { type FleetProcessUsage, fleetUsageSince, readFleetUsage } from './measures/fleetUsage.js'
import { summariseLatency } from './measures/latency.js'
import { readProcess } from './measures/processUsage.js'
import { openIdleCallers } from './overhead/idleCallers.js'
import { type ClosedLoopResult, type RepeatedRequest, measureAlternating, runClosedLoop } from './overhead/loadGenerator.js'
import { minimalDeployment } from './overhead/minimalDeployment.js'
import { type Fleet, startFleet } from './processes/fleet.js'
import { StoppedError, runMain } from './processes/runMain.js'
import { type Cell, formatTable } from './report/table.js'

/** Upper bound of the added latency at the median. */
const ADDED_P50_LIMIT_MS = 1

/** 100 times the requests per second that one node is expected to get in two years. */
const REQUESTS_PER_SECOND_GOAL = 25 * 100

/** 100 times the tokens per second that one node is expected to get in two years. */
const TOKENS_PER_SECOND_GOAL = 8500 * 100

const cli = meow(`
  Usage
    $ npm run --silent build && node packages/bench/dist/overhead.js [options]

  Options
    --requests  requests for the latencies (default 2000)
    --seconds   length of each rate measurement (default 5)
    --width     requests in progress for the rates (default 64)
    --idle      open idle callers (default 10000)

  Exits 1 when more than ${ADDED_P50_LIMIT_MS} ms is added at the median, or a request fails, or an idle connection is lost.
`, {
  importMeta: import.meta,
  flags: {
    requests: { type: 'number', default: 2000 },
    seconds: { type: 'number', default: 5 },
    width: { type: 'number', default: 64 },
    idle: { type: 'number', default: 10_000 }
  }
})

const { flags } = cli

const headers = { authorization: `Bearer ${bearerKeyOf('caller')}`, 'content-type': 'application/json' }

const plainPath = '/members/7?nonce=o.1'

const streamRequest = (path: string, tokens: number): RepeatedRequest => {
  const body = JSON.stringify({ messages: [{ role: 'user', content: 'nonce=o.2' }], max_tokens: tokens, stream: true })
  return { method: 'POST', path, headers, body }
}

/** Tokens of one streamed response in the measurement of rates. */
const STREAM_TOKENS = 200

const upstreamUrlOf = (fleet: Fleet, service: string): string =>
  fleet.upstreams.find(upstream => upstream.service.id === service)?.control.url ?? ''

/** URL of the router itself, bypassing the relay for callers. */
const routerUrl = (fleet: Fleet): string => `http://127.0.0.1:${fleet.network.ports[0]?.callers ?? 0}`

const measureLatency = async (direct: Pool, routed: Pool): Promise<{ rows: Cell[][], added: number }> => {
  const pairs = [[direct, { method: 'GET', path: plainPath, headers }], [routed, { method: 'GET', path: `/plain${plainPath}`, headers }]] as const
  await measureAlternating(pairs, flags.requests / 10)
  const [directPercentiles = [], routedPercentiles = []] = (await measureAlternating(pairs, flags.requests)).map(summariseLatency).map(({ p50, p99 }) => [p50, p99])
  const added = [0, 1].map(index => (routedPercentiles[index] ?? 0) - (directPercentiles[index] ?? 0))
  return { rows: [['direct', ...directPercentiles], ['through router and agent', ...routedPercentiles], ['added', ...added]], added: added[0] ?? 0 }
}

const ratePerCore = (rate: number, usage: FleetProcessUsage | undefined): number => usage === undefined || usage.processorShare === 0 ? 0 : rate / usage.processorShare

const measureRate = async (fleet: Fleet, name: string, upstream: string, pool: Pool, request: RepeatedRequest): Promise<{ row: Cell[], loop: ClosedLoopResult }> => {
  const before = readFleetUsage(fleet)
  const loop = await runClosedLoop(pool, request, flags.width, flags.seconds * 1000)
  const usage = fleetUsageSince(fleet, before)
  const router = usage.find(({ role }) => role === 'router')
  const agent = usage.find(item => item.role === 'agent' && item.name.includes(upstream))
  const units = loop.events > 0 ? loop.events : loop.requests
  const rate = units * 1000 / loop.span
  return { row: [name, rate, ratePerCore(rate, router), ratePerCore(rate, agent), 100 * (router?.processorShare ?? 0), 100 * (agent?.processorShare ?? 0), loop.failures], loop }
}

const measureMemory = async (fleet: Fleet): Promise<{ row: Cell[], lostCallers: number }> => {
  const pid = fleet.routers[0]?.pid ?? 0
  const before = readProcess(pid)?.residentBytes ?? 0
  const request = `GET /plain${plainPath} HTTP/1.1\r\nhost: x\r\nauthorization: ${headers.authorization}\r\n\r\n`
  const callers = await openIdleCallers(routerUrl(fleet), request, flags.idle)
  const after = readProcess(pid)?.residentBytes ?? 0
  const open = callers.openCount()
  callers.close()
  return { row: [flags.idle, open, before / 1e6, after / 1e6, (after - before) / 1e3 / flags.idle], lostCallers: flags.idle - open }
}

const measureOverhead = async (fleet: Fleet): Promise<number> => {
  const direct = new Pool(upstreamUrlOf(fleet, 'plain'))
  const engine = new Pool(upstreamUrlOf(fleet, 'engine'))
  const routed = new Pool(routerUrl(fleet))
  const latency = await measureLatency(direct, routed)
  console.log(`${formatTable([`GET, ${flags.requests} each in turn`, 'p50 ms', 'p99 ms'], latency.rows)}\n`)
  const rates = [
    await measureRate(fleet, 'direct requests', 'plain', direct, { method: 'GET', path: plainPath, headers }),
    await measureRate(fleet, 'requests', 'plain', routed, { method: 'GET', path: `/plain${plainPath}`, headers }),
    await measureRate(fleet, 'direct streamed events', 'engine', engine, streamRequest('/v1/chat/completions', STREAM_TOKENS)),
    await measureRate(fleet, 'streamed events', 'engine', routed, streamRequest('/engine/v1/chat/completions', STREAM_TOKENS))
  ]
  console.log(formatTable(['rate', 'per s', 'per s and core of router', 'per s and core of agent', 'router core %', 'agent core %', 'failures'], rates.map(({ row }) => row)))
  console.log(`Goal for one node: ${REQUESTS_PER_SECOND_GOAL} requests and ${TOKENS_PER_SECOND_GOAL} tokens a second.\n`)
  const memory = await measureMemory(fleet)
  console.log(formatTable(['idle callers', 'still open', 'router MB before', 'router MB after', 'KB a caller'], [memory.row]))
  await Promise.all([direct, engine, routed].map(async pool => { await pool.destroy() }))
  const failures = rates.reduce((sum, { loop }) => sum + loop.failures, 0)
  return latency.added < ADDED_P50_LIMIT_MS && failures === 0 && memory.lostCallers === 0 ? 0 : 1
}

await runMain(async stopped => {
  const fleet = await startFleet(minimalDeployment)
  const caller = new Caller(fleet.callerUrls, nonIdempotentPathsOf(minimalDeployment))
  try {
    const interrupted = stopped.then(() => { throw new StoppedError() })
    await Promise.race([waitUntilReady(fleet, caller), interrupted])
    return await Promise.race([measureOverhead(fleet), interrupted])
  } finally {
    await caller.close()
    await fleet.close()
  }
})
