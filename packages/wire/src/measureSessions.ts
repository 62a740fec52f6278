/**
 * Benchmark of sessions: CPU time, throughput and overhead bytes of small messages, and the cost of idle sessions.
 * Run with `node packages/wire/dist/measureSessions.js`. Both ends run in this process; figures are per end unless the
 * output says otherwise.
 */
import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { asId, newId, systemClock } from '@fuchsiaworks/kernel'
import { dialSessions } from './link/dialSessions.js'
import { listenSessions } from './link/listenSessions.js'
import type { Message } from './protocol/protocolTypes.js'
import type { Identity, LinkOptions, Session, SessionDialer } from './session/sessionTypes.js'

/** Messages sent per event loop iteration. */
const BATCH_SIZES = [1, 8, 64] as const

/** Messages per measurement. */
const MEASURED_MESSAGES = 200_000

/** Messages sent before a measurement to warm up the JIT compiler. */
const WARM_UP_MESSAGES = 50_000

/** Size in bytes of a server-sent event with one token, as written by an inference engine. */
const TOKEN_BYTES = 200

/** Unacknowledged bytes above which the sender pauses. */
const MAX_UNCONFIRMED_BYTES = 1024 * 1024

/** Numbers of concurrent idle sessions to measure. */
const IDLE_SESSION_COUNTS = [100, 400, 1600] as const

/** Duration of the measurement of idle sessions in milliseconds. */
const IDLE_MEASUREMENT_MS = 16_000

/** Milliseconds between heartbeats. */
const HEARTBEAT_MS = 1_000

/** Idle heartbeat intervals to measure, in milliseconds. */
const IDLE_HEARTBEAT_INTERVALS_MS = [HEARTBEAT_MS, 4 * HEARTBEAT_MS] as const

/** Bytes of the IP and TCP headers of a segment, with TCP timestamps. */
const SEGMENT_HEADER_BYTES = 52

interface Point {
  readonly size: number
  readonly value: number
}

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const identity = (host: string, role: Identity['role']): Identity =>
  ({ host: asId(host), incarnation: newId(), role, zone: asId('zone-a') })

const optionsOf = (host: string, role: Identity['role']): LinkOptions & { readonly host: string } => ({
  identity: identity(host, role),
  linkKey: 'a key for measurements',
  clock: systemClock,
  heartbeat: HEARTBEAT_MS,
  silence: 3 * HEARTBEAT_MS,
  expiry: 30 * HEARTBEAT_MS,
  host: '127.0.0.1'
})

const sleep = async (span: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, span) }) }
const nextTurn = async (): Promise<void> => { await new Promise(resolve => { setImmediate(resolve) }) }

const nextSession = async (sessions: SessionDialer['sessions']): Promise<Session> =>
  await new Promise(resolve => { sessions.take(1).observe(resolve) })

/** TCP relay to one port that counts bytes and chunks; a chunk is counted as one segment. */
class CountingRelay {
  bytes = 0
  segments = 0
  readonly #server: Server

  constructor (target: number) {
    this.#server = createServer({ noDelay: true }, dialerSocket => {
      const listenerSocket = connect({ port: target, host: '127.0.0.1', noDelay: true })
      for (const [from, to] of [[dialerSocket, listenerSocket], [listenerSocket, dialerSocket]] as const) {
        from.on('error', () => {}).on('data', data => {
          this.bytes += data.length
          this.segments += 1
          to.write(data)
        }).on('close', () => { to.destroy() })
      }
    })
  }

  async open (): Promise<number> {
    await new Promise<void>(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    return (this.#server.address() as AddressInfo).port
  }

  close (): void { this.#server.close() }
}

const tokenMessage = (data: Uint8Array): Message => ({ kind: 'response-body', request: asId('aBcDeFgHiJkL'), data })

/** Sends `count` messages, `batch` per event loop iteration, and waits until the receiver has them all. */
const sendBatches = async (sender: Session, receiver: Session, count: number, batch: number): Promise<void> => {
  const data = Buffer.alloc(TOKEN_BYTES, 'x')
  const message = tokenMessage(data)
  const arrived = receiver.messages.take(count).drain()
  for (let sent = 0; sent < count; sent += batch) {
    for (let i = 0; i < batch; i++) sender.send(message)
    await nextTurn()
    while (sender.unconfirmedBytes > MAX_UNCONFIRMED_BYTES) await nextTurn()
  }
  await arrived
}

const cpuMicros = ({ user, system }: NodeJS.CpuUsage): number => user + system

const measureStreams = async (): Promise<void> => {
  const server = await listenSessions({ ...optionsOf('router-1', 'router'), port: 0 })
  const arrival = nextSession(server.sessions)
  const dialer = dialSessions({ ...optionsOf('agent-1', 'agent'), port: server.address.port })
  const dialerSession = await nextSession(dialer.sessions)
  const listenerSession = await arrival
  console.log('\nbatch  messages/s  CPU us per message (both ends)')
  for (const batch of BATCH_SIZES) {
    await sendBatches(dialerSession, listenerSession, WARM_UP_MESSAGES, batch)
    const [start, cpu] = [performance.now(), process.cpuUsage()]
    await sendBatches(dialerSession, listenerSession, MEASURED_MESSAGES, batch)
    const seconds = (performance.now() - start) / 1000
    const cpuMicrosPerMessage = cpuMicros(process.cpuUsage(cpu)) / MEASURED_MESSAGES
    console.log(`${String(batch).padStart(5)}  ${(MEASURED_MESSAGES / seconds).toFixed(0).padStart(10)}  ${cpuMicrosPerMessage.toFixed(2)}`)
  }
  dialer.close()
  await server.close()
}

/** Runs a function with a session over a counting relay. */
const withRelay = async (
  overrides: Partial<LinkOptions>, run: (dialerSession: Session, listenerSession: Session, relay: CountingRelay) => Promise<void>
): Promise<void> => {
  const server = await listenSessions({ ...optionsOf('router-1', 'router'), ...overrides, port: 0 })
  const relay = new CountingRelay(server.address.port)
  const arrival = nextSession(server.sessions)
  const dialer = dialSessions({ ...optionsOf('agent-1', 'agent'), ...overrides, port: await relay.open() })
  const dialerSession = await nextSession(dialer.sessions)
  await run(dialerSession, await arrival, relay)
  dialer.close()
  relay.close()
  await server.close()
}

const measureBytes = async (): Promise<void> => {
  console.log(`\nbatch  overhead bytes per message of ${TOKEN_BYTES} data bytes (both directions, without TCP and IP headers)`)
  await withRelay({}, async (dialerSession, listenerSession, relay) => {
    for (const batch of BATCH_SIZES) {
      const before = relay.bytes
      await sendBatches(dialerSession, listenerSession, WARM_UP_MESSAGES, batch)
      console.log(`${String(batch).padStart(5)}  ${((relay.bytes - before) / WARM_UP_MESSAGES - TOKEN_BYTES).toFixed(1)}`)
    }
  })
}

const measureHeartbeats = async (): Promise<void> => {
  console.log('\nidle heartbeat ms  bytes/s  segments/s  bytes/s with TCP and IP headers and one TCP ACK per two segments')
  for (const idleHeartbeat of IDLE_HEARTBEAT_INTERVALS_MS) {
    await withRelay({ idleHeartbeat }, async (_dialerSession, _listenerSession, relay) => {
      await sleep(3 * idleHeartbeat)
      const [bytes, segments] = [relay.bytes, relay.segments]
      await sleep(IDLE_MEASUREMENT_MS)
      const seconds = IDLE_MEASUREMENT_MS / 1000
      const [byteRate, segmentRate] = [(relay.bytes - bytes) / seconds, (relay.segments - segments) / seconds]
      const wireRate = byteRate + segmentRate * 1.5 * SEGMENT_HEADER_BYTES
      console.log(`${String(idleHeartbeat).padStart(17)}  ${byteRate.toFixed(1)}  ${segmentRate.toFixed(1)}  ${wireRate.toFixed(0)}`)
    })
  }
}

const openDialers = async (port: number, count: number): Promise<SessionDialer[]> => {
  const dialers: SessionDialer[] = []
  while (dialers.length < count) {
    const group = Array.from({ length: Math.min(50, count - dialers.length) }, (_, index) =>
      dialSessions({ ...optionsOf(`agent-${dialers.length + index}`, 'agent'), port }))
    await Promise.all(group.map(async dialer => await nextSession(dialer.sessions)))
    dialers.push(...group)
  }
  return dialers
}

/** Slope of the least-squares regression line. */
const slope = (points: readonly Point[]): number => {
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const [size, value] = [mean(points.map(point => point.size)), mean(points.map(point => point.value))]
  const covariance = mean(points.map(point => (point.size - size) * (point.value - value)))
  return covariance / mean(points.map(point => (point.size - size) ** 2))
}

const measureIdle = async (): Promise<void> => {
  const memory: Point[] = []
  const cpuShare: Point[] = []
  console.log(`idle sessions  heap, external and resident KB per end  CPU share per end (heartbeat ${HEARTBEAT_MS} ms)  CPU ms to open a session (both ends)`)
  for (const count of IDLE_SESSION_COUNTS) {
    const server = await listenSessions({ ...optionsOf('router-1', 'router'), port: 0 })
    collectGarbage()
    const before = process.memoryUsage()
    const cpuBeforeOpening = process.cpuUsage()
    const dialers = await openDialers(server.address.port, count)
    const openCpuMs = cpuMicros(process.cpuUsage(cpuBeforeOpening)) / count / 1000
    await sleep(2 * HEARTBEAT_MS)
    collectGarbage()
    const after = process.memoryUsage()
    const cpu = process.cpuUsage()
    await sleep(IDLE_MEASUREMENT_MS)
    const ends = 2 * count
    const cpuPercent = (cpuMicros(process.cpuUsage(cpu)) / (IDLE_MEASUREMENT_MS * 1000)) * 100
    const grownKb = (name: 'heapUsed' | 'external' | 'rss'): number => (after[name] - before[name]) / 1024
    console.log(`${String(count).padStart(13)}  ${(['heapUsed', 'external', 'rss'] as const).map(name => (grownKb(name) / ends).toFixed(1)).join(', ')}` +
      `  ${(cpuPercent / ends).toFixed(5)}%  ${openCpuMs.toFixed(2)}`)
    memory.push({ size: ends, value: grownKb('heapUsed') + grownKb('external') })
    cpuShare.push({ size: ends, value: cpuPercent })
    for (const dialer of dialers) dialer.close()
    await server.close()
    await sleep(HEARTBEAT_MS)
  }
  console.log(`slopes: ${slope(memory).toFixed(1)} KB (heap and external) and ${slope(cpuShare).toFixed(5)}% of a core per additional end`)
}

await measureIdle()
await measureStreams()
await measureBytes()
await measureHeartbeats()
