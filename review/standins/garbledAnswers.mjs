/**
 * One worker of a streaming service garbles a few of its answers. Meanwhile clients send requests to another, sound service. The rule CONFIG is checked on
 * those: what is still unanswered at its route's `timeout_ms` has a final answer half a second later.
 */
import { Deployment, keepAliveAgent, send, sleep } from './deployment.mjs'

/** One in so many of the answers of one worker of three is garbled, for so long: the share and length of `garble` in the site file. */
const GARBLE_EVERY = 20
const TROUBLE_MS = 5500

const STREAMS_PER_SECOND = 40
const ACTIONS_PER_SECOND = 10
const TIMEOUT_MS = 1000
const FINAL_ANSWER_MS = 500

/**
 * @param recordPath - file for what was sent, answered and run
 * @param garble - how the worker garbles: `endless` or `status`
 * @param isTroubled - false to leave the disruption out
 * @returns whether the rule was broken
 */
const check = async (recordPath, garble, isTroubled) => {
  const deployment = new Deployment(recordPath)
  try {
    return await play(deployment, garble, isTroubled)
  } finally {
    await deployment.close()
  }
}

const play = async (deployment, garble, isTroubled) => {
  await deployment.store.start('127.0.7.100')
  const route = { kind: 'streaming', timeout_ms: 12000, target_latency_ms: 800, priority: 1, max_attempts: 2, public: true, session_affinity: false, stream_resume: true, gap_target_ms: 250 }
  deployment.store.put('op/config', {
    version: 7,
    routes: [
      { ...route, name: 'r-draft', host: 'review.example', prefix: '/draft/', service: 'model' },
      { name: 'r-action', host: 'review.example', prefix: '/action/', kind: 'non_idempotent', timeout_ms: TIMEOUT_MS, target_latency_ms: 400, priority: 2, max_attempts: 1, public: true, session_affinity: false, service: 'desk' }
    ],
    services: [
      { name: 'model', health_check: '/health', max_connections: 370, protocol: 'h1', tls: false, cold_s: 0, cold_per_s: 0 },
      { name: 'desk', health_check: '/health', max_connections: 110, protocol: 'h1', tls: false, cold_s: 0, cold_per_s: 0 }
    ],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000, tokens_per_s: 154000 },
    tenants: []
  })
  const models = []
  for (const nth of [1, 2, 3]) models.push(await deployment.startWorker({ host: `127.0.7.${110 + nth}`, service: 'model', zone: nth % 2 === 1 ? 'zone-a' : 'zone-b', id: `i-model-${nth}`, events: 10, eventMs: 50 }))
  for (const nth of [1, 2]) await deployment.startWorker({ host: `127.0.7.${120 + nth}`, service: 'desk', zone: nth % 2 === 1 ? 'zone-a' : 'zone-b', id: `i-desk-${nth}`, slots: 16, workMs: 60 })
  await deployment.planGateways(2)
  for (const gateway of deployment.gateways) deployment.startGateway(gateway)
  for (const gateway of deployment.gateways) await deployment.waitReady(gateway)
  await sleep(4000)

  const agent = keepAliveAgent()
  const results = []
  const pending = []
  const sendLater = (perSecond, options) => setInterval(() => {
    const gateway = deployment.gateways[Math.floor(Math.random() * deployment.gateways.length)]
    pending.push(send(gateway, { ...options, agent }).then(result => {
      results.push(result)
      deployment.record(`${result.sentAt} sent ${result.attempt} ${result.path} to gateway ${result.gateway}; ${result.end} ${result.status} after ${result.endedAt - result.sentAt} ms`)
    }))
  }, 1000 / perSecond)
  const timers = [
    sendLater(STREAMS_PER_SECOND, { method: 'POST', path: '/draft/1', body: 'draft', deadlineMs: 12000 }),
    sendLater(ACTIONS_PER_SECOND, { method: 'POST', path: '/action/1', body: 'action', deadlineMs: 3000 })
  ]
  await sleep(5000)
  deployment.record(`${Date.now()} trouble ${isTroubled ? 'begins' : 'is left out'}`)
  if (isTroubled) models[0].child.send({ garble, every: GARBLE_EVERY })
  await sleep(TROUBLE_MS)
  models[0].child.send({ every: 0 })
  deployment.record(`${Date.now()} trouble ends`)
  await sleep(12000)
  for (const timer of timers) clearInterval(timer)
  await Promise.all(pending)
  agent.destroy()

  const actions = results.filter(({ path }) => path.startsWith('/action/'))
  const atTimeout = actions.filter(({ sentAt, endedAt }) => endedAt - sentAt >= TIMEOUT_MS)
  const unanswered = atTimeout.filter(({ end, sentAt, endedAt }) => end !== 'complete' || endedAt - sentAt > TIMEOUT_MS + FINAL_ANSWER_MS)
  const ranUnanswered = unanswered.filter(({ attempt }) => deployment.runs.some(run => run.attempt === attempt)).length
  const exits = deployment.gateways.reduce((sum, { exits }) => sum + exits, 0)
  const summary = `${deployment.notes.filter(({ kind }) => kind === 'garbled').length} garbled answers; ${actions.length} requests to the sound service, ${actions.filter(({ status }) => status === 200).length} answered with 200, ` +
    `${atTimeout.length} unanswered at the timeout, ${unanswered.length} of them without a final answer 0.5 s later (${ranUnanswered} had run); longest wait ${Math.max(...actions.map(({ sentAt, endedAt }) => endedAt - sentAt))} ms; ${exits} gateways ended`
  deployment.record(summary)
  console.log(summary)
  if (!isTroubled && actions.some(({ status }) => status !== 200)) throw new Error('requests failed without the disruption')
  return unanswered.length >= 8 && unanswered.length > atTimeout.length / 2
}

/** Runs the check as a program. */
export const run = (recordPath, garble, isTroubled) => {
  check(recordPath, garble, isTroubled).then(isBroken => { process.exit(isBroken ? 1 : 0) }, err => {
    console.error(err)
    process.exit(2)
  })
}
