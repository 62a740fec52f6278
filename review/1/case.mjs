/**
 * A route is split between two services; in each, workers of two software versions serve side by side. All gateways are killed at once and come back, three times; clients
 * take their streams up with `Last-Event-Id` and `Resumes`. The rule ORDER is checked: at most two streams hold events of two versions of one service.
 */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment, send, sleep } from '../standins/deployment.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const TROUBLE = process.env.TROUBLE !== '0'

const GATEWAYS = 3
const WORKERS_PER_VERSION = 2
/** Time for which the gateways are dark, and between two kills; the site file has up to 2 s of darkness. */
const DARK_MS = 300
const BETWEEN_KILLS_MS = 3500
const KILLS = 3

/** Streams that may hold events of two versions of one service. */
const MAX_JOINED = 2

const STREAMS_PER_SECOND = 40
const EVENTS = 130
const EVENT_MS = 60
const DEADLINE_MS = 12_000
/** Retries of a client within its deadline, and the pause before each. */
const RETRIES = 5
const RETRY_PAUSE_MS = 1500

/** Events that have arrived whole, as `[id, service and version of the worker]`. */
const eventsOf = text => [...text.matchAll(/id: (\d+)\ndata: (\S+)-\d+\n\n/g)].map(([, id, version]) => [Number(id), version])

const hexId = () => Math.floor(Math.random() * 0xffffffff).toString(16).padStart(8, '0')

/** Headers of a prompt of which workers hold no part. */
const promptHeaders = () => ({ 'X-Model': 'm', 'X-Token-Count': '600,420', 'X-Prompt-Prefix': `${hexId()}:400,${hexId()}:200` })

/** One client: sends a request, and takes the stream up as often as its connection breaks. */
const runClient = async deployment => {
  const startedAt = Date.now()
  const prompt = promptHeaders()
  const events = []
  let first
  let isComplete = false
  let takeUps = 0
  for (let tries = 0; tries <= RETRIES && !isComplete; tries++) {
    const leftMs = startedAt + DEADLINE_MS - Date.now()
    if (leftMs < 100) break
    const gateway = deployment.gateways[Math.floor(Math.random() * GATEWAYS)]
    const last = events.at(-1)
    const headers = last === undefined ? prompt : { ...prompt, 'Last-Event-Id': last[0], Resumes: first }
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
  for (const [at, [name, version]] of [['model-a', 'v1'], ['model-a', 'v2'], ['model-b', 'v1'], ['model-b', 'v2']].entries()) {
    for (let nth = 1; nth <= WORKERS_PER_VERSION; nth++) {
      const worker = { host: `127.0.7.${110 + at * 10 + nth}`, service: name, version, zone: nth % 2 === 1 ? 'zone-a' : 'zone-b', id: `i-${name}-${version}-${nth}` }
      await deployment.startWorker({ ...worker, text: `${name}.${version}`, events: EVENTS, eventMs: EVENT_MS })
    }
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
  for (let kill = 0; kill < KILLS; kill++) {
    deployment.record(`${Date.now()} ${TROUBLE ? 'all gateways are killed' : 'no kill'}`)
    if (TROUBLE) for (const { child } of deployment.gateways) child.kill('SIGKILL')
    await sleep(DARK_MS)
    if (TROUBLE) for (const gateway of deployment.gateways) deployment.startGateway(gateway)
    await sleep(BETWEEN_KILLS_MS)
  }
  clearInterval(timer)
  const streams = await Promise.all(clients)

  const hasTwo = list => new Set(list).size < list.length
  const joined = streams.filter(({ versions }) => hasTwo([...versions].map(version => version.split('.')[0])))
  const acrossServices = streams.filter(({ versions }) => new Set([...versions].map(version => version.split('.')[0])).size > 1)
  const isComplete = stream => stream.isComplete && stream.isWhole
  const summary = `${streams.length} streams, ${streams.filter(isComplete).length} complete, ${streams.filter(({ takeUps }) => takeUps > 0).length} taken up and gone on with; ` +
    `${joined.length} hold events of two versions of one service (${joined.filter(isComplete).length} of them complete with status 200), ${acrossServices.length} hold events of two services`
  deployment.record(summary)
  for (const { first, versions } of joined) deployment.record(`joined: ${first}, ${[...versions].join(' and ')}`)
  console.log(summary)
  if (!TROUBLE && streams.some(({ isComplete, isWhole }) => !isComplete || !isWhole)) throw new Error('streams failed without the disruption')
  return joined.length > MAX_JOINED
}

main().then(isBroken => { process.exit(isBroken ? 1 : 0) }, err => {
  console.error(err)
  process.exit(2)
})
