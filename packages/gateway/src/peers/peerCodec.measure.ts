/** Benchmark of the peer codec: size of a message and time to encode and decode it, by the number of upstreams and workspaces. */
import { asId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { decodePeerState, encodePeerState } from './peerCodec.js'
import type { PeerState } from './peerTypes.js'

/** Calls per measurement, after as many for warm-up. */
const ROUNDS = 2000

const stateOf = (upstreams: number, workspaces: number): PeerState => ({
  peer: asId('pA3kZ9xQ0bLm'),
  address: '10.1.0.33:8785',
  zone: asId('east'),
  isLeaving: false,
  isOutOfRotation: false,
  utilization: 0.4,
  revision: 12,
  acceptedPerSecond: 20,
  loads: new Map(Array.from({ length: upstreams }, (_, at) => [asId<UpstreamId>(`i-7f3a9${String(at).padStart(5, '0')}`), { open: 3 + at % 7, waitingTokens: 4200 + at, reservedTokens: 31_000 + at }])),
  totals: new Map(Array.from({ length: workspaces }, (_, at) => [asId<WorkspaceId>(`hule${at}`), { requested: 1_200_000 + at, served: 900_000 + at }])),
  processedTokens: 123_456_789,
  avoided: [],
  crashes: [],
  sound: [],
  limits: [],
  queueDemand: new Map(),
  leaving: [],
  streams: [],
  slowness: [],
  parts: Array.from({ length: Math.ceil(upstreams / 4) }, (_, at) => ({ part: 3_000_000_000 + at, upstream: asId<UpstreamId>(`i-7f3a9${String(at).padStart(5, '0')}`) })),
  addresses: []
})

/** Returns the mean duration of a call in microseconds. */
const measureMicros = (run: () => void): number => {
  for (let at = 0; at < ROUNDS; at++) run()
  const start = performance.now()
  for (let at = 0; at < ROUNDS; at++) run()
  return (performance.now() - start) * 1000 / ROUNDS
}

for (const [upstreams, workspaces] of [[0, 0], [6, 4], [30, 8], [75, 28]] as const) {
  const state = stateOf(upstreams, workspaces)
  const bytes = encodePeerState(state)
  const encode = measureMicros(() => { encodePeerState(state) })
  const decode = measureMicros(() => { decodePeerState(bytes) })
  console.log(`upstreams ${upstreams} workspaces ${workspaces}: ${bytes.length} bytes, encode ${encode.toFixed(1)} us, decode ${decode.toFixed(1)} us`)
}
