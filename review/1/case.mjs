/**
 * A route is split between two services, whose workers have different software versions. All gateways are killed at once and come back; clients take their
 * streams up with `Last-Event-Id`. The rule ORDER is checked: no stream is joined from pieces of the runs of two versions.
 */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment, send, sleep } from '../standins/deployment.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const TROUBLE = process.env.TROUBLE !== '0'

const GATEWAYS = 3
const WORKERS_PER_SERVICE = 3
/** Time for which the gateways are dark; the site file has up to 2 s. */
const DARK_MS = 1000

const STREAMS_PER_SECOND = 15
const EVENTS = 100
const EVENT_MS = 60
const DEADLINE_MS = 12_000
/** Retries of a client within its deadline, and the pause before each. */
const RETRIES = 5
const RETRY_PAUSE_MS = 400

/** Events that have arrived whole, as `[id, version]`. */
const eventsOf = text => [...text.matchAll(/id: (\d+)\ndata: (\w+)-\d+\n\n/g)].map(([, id, version]) => [Number(id), version])

/** One client: sends a request, and takes the stream up as often as its connection breaks. */
const runClient = async deployment => {
  const startedAt = Date.now()
  const events = []
  let first
  let isComplete = false
  let takeUps = 0
  for (let tries = 0; tries <= RETRIES && !isComplete; tries++) {
    const leftMs = startedAt + DEADLINE_MS - Date.now()
    if (leftMs < 100) break
    const gateway = deployment.gateways[Math.floor(Math.random() * GATEWAYS)]
    const last = events.at(-1)
    const headers = last === undefined ? {} : { 'Last-Event-Id': last[0], Resumes: first }
    const result = await send(gateway, { method: 'POST', path: '/draft/1', body: 'draft', headers, deadlineMs: leftMs, agent: false })
    const added = result.status === 200 ? eventsOf(result.body) : []
    events.push(...added)
    if (added.length > 0) first ??= result.attempt
    if (last !== undefined && added.length > 0) takeUps += 1
    isComplete = result.status === 200 && result.end === 'complete'
    deployment.record(`${result.sentAt} sent ${result.attempt} to gateway ${result.gateway}${last === undefined ? '' : ` takes up ${first} after event ${last[0]}`}; ${result.end} ${result.status}, events ${added[0]?.join(' ') ?? 'none'} to ${added.at(-1)?.join(' ') ?? 'none'}`)
    if (!isComplete) await sleep(Math.max(RETRY_PAUSE_MS, Number(result.headers['retry-after'] ?? 0) * 1000))
  }
  return { first, takeUps, isComplete, isWhole: events.length === EVENTS && events.every(([id], at) => id === at), versions: new Set(events.map(([, version]) => version)) }
}

const main = async () => {
  const deployment = new Deployment(join(FOLDER, 'record.txt'))
  try {
    return await play(deployment)
  } finally {
    await deployment.close()
  }
}

const play = async deployment => {
  await deployment.store.start('127.0.7.100')
  const service = { health_check: '/health', max_connections: 370, protocol: 'h1', tls: false, cold_s: 3, cold_per_s: 14, engine: { slots: 64, kv_capacity_tokens: 534044, kv_token_bytes: 163840, link_mbps: 1100000, moves: true, backups: true, stride: 6, most: 12, pin_ms: 4000, hold_ms: 2000, handle_s: 5, models: [{ name: 'm' }] } }
  deployment.store.put('op/config', {
    version: 7,
    routes: [{ name: 'r-draft', host: 'review.example', prefix: '/draft/', kind: 'streaming', timeout_ms: DEADLINE_MS, target_latency_ms: 800, priority: 1, traffic_split: [{ service: 'model-a', weight: 50 }, { service: 'model-b', weight: 50 }], max_attempts: 2, public: true, session_affinity: true, stream_resume: true, gap_target_ms: 250 }],
    services: [{ ...service, name: 'model-a' }, { ...service, name: 'model-b' }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000, tokens_per_s: 154000 },
    tenants: []
  })
  for (const [at, [name, version]] of [['model-a', 'v1'], ['model-b', 'v2']].entries()) {
    for (let nth = 1; nth <= WORKERS_PER_SERVICE; nth++) await deployment.startWorker({ host: `127.0.7.${110 + at * 10 + nth}`, service: name, version, zone: nth % 2 === 1 ? 'zone-a' : 'zone-b', id: `i-${name}-${nth}`, events: EVENTS, eventMs: EVENT_MS })
  }
  await deployment.planGateways(GATEWAYS)
  for (const gateway of deployment.gateways) deployment.startGateway(gateway)
  deployment.startRecorders()
  for (const gateway of deployment.gateways) await deployment.waitReady(gateway)
  // Longer than a stream may last, so that the gateways have seen all versions that may serve one.
  await sleep(4000)

  const clients = []
  const timer = setInterval(() => { clients.push(runClient(deployment)) }, 1000 / STREAMS_PER_SECOND)
  await sleep(6000)
  if (TROUBLE) {
    deployment.record(`${Date.now()} all gateways are killed`)
    for (const { child } of deployment.gateways) child.kill('SIGKILL')
    await sleep(DARK_MS)
    deployment.record(`${Date.now()} all gateways start again`)
    for (const gateway of deployment.gateways) deployment.startGateway(gateway)
  }
  await sleep(4000)
  clearInterval(timer)
  const streams = await Promise.all(clients)

  const joined = streams.filter(({ isComplete, isWhole, versions }) => isComplete && isWhole && versions.size > 1)
  const summary = `${streams.length} streams, ${streams.filter(({ isComplete }) => isComplete).length} complete, ${streams.filter(({ takeUps }) => takeUps > 0).length} taken up and gone on with, ${joined.length} of them joined from two versions and ended as complete with status 200`
  deployment.record(summary)
  for (const { first, versions } of joined) deployment.record(`joined: ${first}, versions ${[...versions].join(' and ')}`)
  console.log(summary)
  if (!TROUBLE && streams.some(({ isComplete, isWhole }) => !isComplete || !isWhole)) throw new Error('streams failed without the disruption')
  return joined.length > 0
}

main().then(isBroken => { process.exit(isBroken ? 1 : 0) }, err => {
  console.error(err)
  process.exit(2)
})
