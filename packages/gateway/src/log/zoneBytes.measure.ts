/** Bytes a second that a fleet of 21 gateways sends between three zones, by cause, with messages of the real codec and the load of fleet P. */
import { asId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { encodePeerState } from '../peers/peerCodec.js'

const GATEWAYS = 21
const PEERS_IN_OTHER_ZONES = 14
const ENGINES = 28
const PLAIN_UPSTREAMS = 3
const WORKSPACES = 30

/** Header of a WebSocket message of 126 bytes to 64 KiB, with the mask of the client. */
const FRAME_BYTES = 8

/** Bytes of one server-sent event. */
const EVENT_BYTES = 100

/** Headers of one request and its response. */
const HEADER_BYTES = 900

/** Share of the requests that placement without regard to zones sends to another one. */
const OTHER_ZONE_SHARE = 2 / 3

/** Classes of fleet P: requests a second and events of each. */
const CLASSES = [[124, 32], [236, 24], [298, 2], [96, 0]] as const

const upstreamId = (at: number): UpstreamId => asId<UpstreamId>(`i-7f3a9${String(at).padStart(5, '0')}`)

/** A message with loads of some upstreams, the totals of some workspaces and some uses of prompt parts. */
const messageBytes = (loads: number, workspaces: number, parts: number): number => FRAME_BYTES + encodePeerState({
  peer: asId('pA3kZ9xQ0bLm'),
  address: '10.1.0.33:8785',
  zone: asId('zone-a'),
  isLeaving: false,
  isOutOfRotation: false,
  utilization: 0.4,
  revision: 12,
  acceptedPerSecond: 33.5,
  loads: new Map(Array.from({ length: loads }, (_, at) => [upstreamId(at), { open: 2, waitingTokens: 4200 + at, reservedTokens: 31_000 + at }])),
  totals: new Map(Array.from({ length: workspaces }, (_, at) => [asId<WorkspaceId>(`workspace${at}`), { requested: 1_200_000 + at, served: 900_000 + at }])),
  avoided: [],
  crashes: [],
  sound: [],
  limits: [],
  leaving: [],
  streams: [],
  processedTokens: 41_000_000,
  slowness: [],
  queueDemand: new Map(),
  parts: Array.from({ length: parts }, (_, at) => ({ part: 3_000_000_000 + at, upstream: upstreamId(at) })),
  addresses: []
}).length

const print = (cause: string, bytesPerSecond: number): void => {
  console.log(`${cause}: ${(bytesPerSecond / 1e6).toFixed(2)} MB/s, ${(bytesPerSecond * 55 / 1e6).toFixed(0)} MB in 55 s`)
}

/** Loads, changed workspaces and part uses in one message: a small host, one of mean load, and one that has requests everywhere. */
for (const [name, loads, workspaces, parts] of [['small', 4, 1, 1], ['mean', 14, 2, 3], ['full', ENGINES + PLAIN_UPSTREAMS, WORKSPACES, 8]] as const) {
  const bytes = messageBytes(loads, workspaces, parts)
  console.log(`${name} state update: ${bytes} bytes`)
  for (const intervalMs of [100, 240, 420]) print(`  state updates every ${intervalMs} ms`, GATEWAYS * PEERS_IN_OTHER_ZONES * bytes * 1000 / intervalMs)
  print('  state updates every 100 ms, once a zone', GATEWAYS * 2 * bytes * 1000 / 100)
}

const requests = CLASSES.reduce((sum, [perSecond]) => sum + perSecond, 0)
const events = CLASSES.reduce((sum, [perSecond, count]) => sum + perSecond * count, 0)
print('responses: events', events * EVENT_BYTES * OTHER_ZONE_SHARE)
print('responses and requests: headers', requests * HEADER_BYTES * OTHER_ZONE_SHARE)
for (const body of [500, 2000, 8000]) print(`request bodies of ${body} bytes`, requests * body * OTHER_ZONE_SHARE)
// A passed-on connection carries the request and the response once more; peers of other zones take it only when those of the own zone are full.
for (const share of [0.05, 0.2]) print(`${share} of the connections passed to another zone`, (events * EVENT_BYTES + requests * (HEADER_BYTES + 2000)) * share)
