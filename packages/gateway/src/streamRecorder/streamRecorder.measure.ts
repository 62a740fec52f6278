/** Measures the processor time that stream records take at a gateway and at a recorder. Run: `node packages/gateway/dist/streamRecorder/streamRecorder.measure.js` */
import { fork } from 'node:child_process'
import { createServer } from 'node:http'
import { type AddressInfo } from 'node:net'
import { fileURLToPath } from 'node:url'
import { asId, type HostId, setLogLevel, systemClock } from '@fuchsiaworks/kernel'
import { loadStringHash, RecordedStreams } from '@fuchsiaworks/policy'
import { WebSocket, WebSocketServer } from 'ws'
import { RecorderLinks } from './recorderLinks.js'
import { StreamRecorder } from './streamRecorder.js'
import { encodeGatewayMessage } from './streamRecorderCodec.js'
import { RECORDER_FLEET_PATH, RECORDS_PATH } from './streamRecorderTypes.js'

setLogLevel('error')

const SECONDS = 10
const SETTLE_MS = 1500
const STREAMS_PER_SECOND = [31, 200] as const
const RECORDERS = 6
const GATEWAYS = 300
/** Messages of each gateway to one of six recorders in a second: 24 batches for 31 streams, to two recorders each. */
const MESSAGES_PER_GATEWAY = 8

const PING_INTERVAL_MS = 1500

const pause = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

const cpuMs = (since?: NodeJS.CpuUsage): number => {
  const { user, system } = process.cpuUsage(since)
  return (user + system) / 1000
}

const listen = async (onSocket: (socket: WebSocket, path: string) => void): Promise<{ address: string, close: () => void }> => {
  const server = createServer()
  new WebSocketServer({ server, perMessageDeflate: false }).on('connection', (socket, req) => { onSocket(socket, req.url ?? '') })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => { server.close() } }
}

const measureGateway = async (streamsPerSecond: number, isRecorded: boolean): Promise<number> => {
  const links = new RecorderLinks(systemClock, { areExpected: true, fleet: () => ({ upstreams: 6, longestStreamMs: 15_000, addresses: [] }), recent: () => [], onSent: () => {}, onLookup: () => {} })
  const { address, close } = await listen(socket => { links.accept(socket) })
  links.start()
  const recorders = fork(fileURLToPath(import.meta.url), [address])
  await pause(SETTLE_MS)
  const started = process.cpuUsage()
  const timer = setInterval(() => { if (isRecorded) links.record(Math.floor(Math.random() * 2 ** 32), 4_000_000_000, undefined) }, 1000 / streamsPerSecond)
  await pause(SECONDS * 1000)
  const ms = cpuMs(started)
  clearInterval(timer)
  links.close()
  recorders.kill()
  close()
  return ms / SECONDS
}

/** The gateways share the process too; the messages are prepared. */
const measureRecorder = async (messagesPerGateway: number): Promise<number> => {
  const sockets: WebSocket[] = []
  const fleet = encodeGatewayMessage({ kind: 'fleet', upstreams: 6, longestStreamMs: 15_000, addresses: [] })
  const servers = await Promise.all(Array.from({ length: GATEWAYS }, async () => await listen((socket, path) => {
    socket.send(fleet)
    if (path === RECORDER_FLEET_PATH) socket.close()
    else sockets.push(socket)
  })))
  const recorder = new StreamRecorder(systemClock, { host: asId<HostId>('engine-0'), seeds: servers.map(({ address }) => address) }, await loadStringHash())
  recorder.start()
  await pause(SETTLE_MS)
  const message = encodeGatewayMessage({ kind: 'records', reports: [{ version: 4_000_000_000, streams: [3_000_000_000] }] })
  const started = process.cpuUsage()
  let turn = 0
  const timer = setInterval(() => {
    for (let nth = 0; nth < GATEWAYS * messagesPerGateway / 100; nth++) sockets[turn++ % sockets.length]?.send(message)
  }, 10)
  await pause(SECONDS * 1000)
  const ms = cpuMs(started)
  clearInterval(timer)
  recorder.close()
  for (const { close } of servers) close()
  return ms / SECONDS
}

const measureMemory = (): number => {
  const before = process.memoryUsage().rss
  const recorded = new RecordedStreams(0)
  for (let stream = 0; stream < 400_000; stream++) recorded.applyReport({ version: 4_000_000_000, streams: [Math.floor(Math.random() * 2 ** 32)] }, 0)
  return (process.memoryUsage().rss - before) / 1e6
}

const measure = async (): Promise<void> => {
  for (const streams of STREAMS_PER_SECOND) {
    const without = await measureGateway(streams, false)
    const ms = await measureGateway(streams, true)
    console.log(`gateway with ${RECORDERS} recorders at ${streams} streams/s: ${ms.toFixed(1)} ms/s, ${without.toFixed(1)} of them without records`)
  }
  const quiet = await measureRecorder(0)
  const full = await measureRecorder(MESSAGES_PER_GATEWAY)
  console.log(`recorder with ${GATEWAYS} gateways: ${quiet.toFixed(1)} ms/s idle, ${full.toFixed(1)} ms/s at ${Math.round(GATEWAYS * MESSAGES_PER_GATEWAY)} messages/s, gateways included`)
  console.log(`a full table: ${measureMemory().toFixed(1)} MB`)
  process.exit()
}

// The child process connects as recorders that read only.
const [address] = process.argv.slice(2)
if (address === undefined) await measure()
else {
  for (let nth = 0; nth < RECORDERS; nth++) {
    const socket = new WebSocket(`ws://${address}${RECORDS_PATH}`).on('message', () => {})
    setInterval(() => { socket.ping() }, PING_INTERVAL_MS)
  }
}
