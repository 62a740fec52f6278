/**
 * Measures sessions on this machine: processor time, rate and bytes of small messages, and what idle sessions cost.
 * Run by `node packages/wire/dist/measureSessions.js`. Both ends are in this one process; figures are for one end.
 */
import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { asId, newId, systemClock } from '@fuchsiaworks/kernel'
import { dialSessions } from './link/dialSessions.js'
import { listenSessions } from './link/listenSessions.js'
import type { Message } from './protocol/protocolTypes.js'
import type { Identity, LinkOptions, Session, SessionDialer } from './session/sessionTypes.js'

/** Messages of one turn of the loop. */
const BATCHES = [1, 8, 64] as const

/** Messages of one measurement. */
const MESSAGES = 200_000

/** Messages sent before a measurement, so that the code is compiled. */
const WARM_UP_MESSAGES = 50_000

/** Bytes of one token in a server-sent event, as an engine writes it. */
const TOKEN_BYTES = 200

/** Bytes under way from which the sender waits. */
const WINDOW_BYTES = 1024 * 1024

/** Sessions that are idle at the same time. */
const IDLE_SESSIONS = [100, 400, 1600] as const

/** Milliseconds for which idle sessions are watched. */
const IDLE_SPAN_MS = 16_000

/** Milliseconds between heartbeats. */
const HEARTBEAT_MS = 1_000

/** Milliseconds between the heartbeats of an idle session. */
const IDLE_HEARTBEATS_MS = [HEARTBEAT_MS, 4 * HEARTBEAT_MS] as const

/** Bytes of TCP and IP headers of a segment, with time stamps. */
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

/** Passes one port on and counts bytes and segments. */
class CountingRelay {
  bytes = 0
  parts = 0
  readonly #server: Server

  constructor (target: number) {
    this.#server = createServer({ noDelay: true }, near => {
      const far = connect({ port: target, host: '127.0.0.1', noDelay: true })
      for (const [from, to] of [[near, far], [far, near]] as const) {
        from.on('error', () => {}).on('data', data => {
          this.bytes += data.length
          this.parts += 1
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

const token = (data: Uint8Array): Message => ({ kind: 'response-body', request: asId('aBcDeFgHiJkL'), data })

/** Sends messages, `batch` in each turn of the loop, and waits until the other end has them. */
const stream = async (near: Session, far: Session, count: number, batch: number): Promise<void> => {
  const data = Buffer.alloc(TOKEN_BYTES, 'x')
  const message = token(data)
  const arrived = far.messages.take(count).drain()
  for (let sent = 0; sent < count; sent += batch) {
    for (let i = 0; i < batch; i++) near.send(message)
    await nextTurn()
    while (near.unconfirmedBytes > WINDOW_BYTES) await nextTurn()
  }
  await arrived
}

const micros = ({ user, system }: NodeJS.CpuUsage): number => user + system

const measureStreams = async (): Promise<void> => {
  const server = await listenSessions({ ...optionsOf('router-1', 'router'), port: 0 })
  const arrival = nextSession(server.sessions)
  const dialer = dialSessions({ ...optionsOf('agent-1', 'agent'), port: server.address.port })
  const near = await nextSession(dialer.sessions)
  const far = await arrival
  console.log('\nbatch  messages/s  processor us a message (both ends)')
  for (const batch of BATCHES) {
    await stream(near, far, WARM_UP_MESSAGES, batch)
    const [start, cpu] = [performance.now(), process.cpuUsage()]
    await stream(near, far, MESSAGES, batch)
    const seconds = (performance.now() - start) / 1000
    const cost = micros(process.cpuUsage(cpu)) / MESSAGES
    console.log(`${String(batch).padStart(5)}  ${(MESSAGES / seconds).toFixed(0).padStart(10)}  ${cost.toFixed(2)}`)
  }
  dialer.close()
  await server.close()
}

/** Runs something with a session over a counting relay. */
const withRelay = async (
  change: Partial<LinkOptions>, run: (near: Session, far: Session, relay: CountingRelay) => Promise<void>
): Promise<void> => {
  const server = await listenSessions({ ...optionsOf('router-1', 'router'), ...change, port: 0 })
  const relay = new CountingRelay(server.address.port)
  const arrival = nextSession(server.sessions)
  const dialer = dialSessions({ ...optionsOf('agent-1', 'agent'), ...change, port: await relay.open() })
  const near = await nextSession(dialer.sessions)
  await run(near, await arrival, relay)
  dialer.close()
  relay.close()
  await server.close()
}

const measureBytes = async (): Promise<void> => {
  console.log(`\nbatch  bytes a message above its ${TOKEN_BYTES} data bytes (both directions, without TCP and IP headers)`)
  await withRelay({}, async (near, far, relay) => {
    for (const batch of BATCHES) {
      const before = relay.bytes
      await stream(near, far, WARM_UP_MESSAGES, batch)
      console.log(`${String(batch).padStart(5)}  ${((relay.bytes - before) / WARM_UP_MESSAGES - TOKEN_BYTES).toFixed(1)}`)
    }
  })
}

const measureHeartbeats = async (): Promise<void> => {
  console.log('\nidle heartbeat ms  bytes/s  segments/s  bytes/s with TCP and IP headers and a bare acknowledgement for two segments')
  for (const idleHeartbeat of IDLE_HEARTBEATS_MS) {
    await withRelay({ idleHeartbeat }, async (_near, _far, relay) => {
      await sleep(3 * idleHeartbeat)
      const [bytes, parts] = [relay.bytes, relay.parts]
      await sleep(IDLE_SPAN_MS)
      const seconds = IDLE_SPAN_MS / 1000
      const [byteRate, partRate] = [(relay.bytes - bytes) / seconds, (relay.parts - parts) / seconds]
      const onWire = byteRate + partRate * 1.5 * SEGMENT_HEADER_BYTES
      console.log(`${String(idleHeartbeat).padStart(17)}  ${byteRate.toFixed(1)}  ${partRate.toFixed(1)}  ${onWire.toFixed(0)}`)
    })
  }
}

const openMany = async (port: number, count: number): Promise<SessionDialer[]> => {
  const dialers: SessionDialer[] = []
  while (dialers.length < count) {
    const group = Array.from({ length: Math.min(50, count - dialers.length) }, (_, index) =>
      dialSessions({ ...optionsOf(`agent-${dialers.length + index}`, 'agent'), port }))
    await Promise.all(group.map(async dialer => await nextSession(dialer.sessions)))
    dialers.push(...group)
  }
  return dialers
}

/** Slope of the least-squares line through some points. */
const slope = (points: readonly Point[]): number => {
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const [size, value] = [mean(points.map(point => point.size)), mean(points.map(point => point.value))]
  const covariance = mean(points.map(point => (point.size - size) * (point.value - value)))
  return covariance / mean(points.map(point => (point.size - size) ** 2))
}

const measureIdle = async (): Promise<void> => {
  const memory: Point[] = []
  const share: Point[] = []
  console.log(`idle sessions  heap, external and resident KB of an end  processor share of an end (heartbeat ${HEARTBEAT_MS} ms)  processor ms to open a session (both ends)`)
  for (const count of IDLE_SESSIONS) {
    const server = await listenSessions({ ...optionsOf('router-1', 'router'), port: 0 })
    collectGarbage()
    const before = process.memoryUsage()
    const opening = process.cpuUsage()
    const dialers = await openMany(server.address.port, count)
    const openCost = micros(process.cpuUsage(opening)) / count / 1000
    await sleep(2 * HEARTBEAT_MS)
    collectGarbage()
    const after = process.memoryUsage()
    const cpu = process.cpuUsage()
    await sleep(IDLE_SPAN_MS)
    const ends = 2 * count
    const used = (micros(process.cpuUsage(cpu)) / (IDLE_SPAN_MS * 1000)) * 100
    const grown = (name: 'heapUsed' | 'external' | 'rss'): number => (after[name] - before[name]) / 1024
    console.log(`${String(count).padStart(13)}  ${(['heapUsed', 'external', 'rss'] as const).map(name => (grown(name) / ends).toFixed(1)).join(', ')}` +
      `  ${(used / ends).toFixed(5)}%  ${openCost.toFixed(2)}`)
    memory.push({ size: ends, value: grown('heapUsed') + grown('external') })
    share.push({ size: ends, value: used })
    for (const dialer of dialers) dialer.close()
    await server.close()
    await sleep(HEARTBEAT_MS)
  }
  console.log(`slopes: ${slope(memory).toFixed(1)} KB (heap and external) and ${slope(share).toFixed(5)}% of a core for each further end`)
}

await measureIdle()
await measureStreams()
await measureBytes()
await measureHeartbeats()
