/** Measures time and memory per idempotency key at a home: `node --expose-gc packages/policy/dist/keys/keys.measure.js`. */
import { asId, type Fingerprint, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { keyHome } from './keyHome.js'
import { decideKeys } from './keys.js'
import { KeysDb } from './keysDb.js'
import { hashMembers, loadStringHash } from './rendezvous.js'

/** Upstreams of one service at the fleet size planned for two years ahead. */
const UPSTREAMS = 247
const KEYS = 20_000
const WORKSPACES = 280
const WINDOW_MS = 600_000
/** Restarts per day of hosts with an upstream. */
const RESTARTS = 250
/** Upstreams of all services. */
const ALL_UPSTREAMS = 4_200
const DAY_MS = 86_400_000
/** Caller skew, host skew and configuration propagation time of the settings, in milliseconds. */
const ALLOWANCE_MS = 2_000 + 2_000 + 10_000

const hash = await loadStringHash()
const service = asId<ServiceId>('ledger')
const upstreams = Array.from({ length: UPSTREAMS }, (_, n) => asId<UpstreamId>(`upstream-${n}`))
const members = hashMembers(hash, upstreams)
const name = (n: number): { service: ServiceId, workspace: WorkspaceId, key: string } =>
  ({ service, workspace: asId<WorkspaceId>(`w${n % WORKSPACES}`), key: `key-${n}` })

const timed = (run: (n: number) => void, times: number): string => {
  for (let n = 0; n < times / 10; n += 1) run(n)
  const start = performance.now()
  for (let n = 0; n < times; n += 1) run(n)
  return (1_000 * (performance.now() - start) / times).toFixed(2)
}

console.log(`home of one key among ${UPSTREAMS}: ${timed(n => keyHome(hash, name(n), members), 100_000)} us`)

const moved = Array.from({ length: KEYS }, (_, n) => name(n)).filter(each => keyHome(hash, each, members) !== keyHome(hash, each, members.slice(1)))
console.log(`keys that move when one of ${UPSTREAMS} upstreams is removed: ${(100 * moved.length / KEYS).toFixed(2)} %`)

const self = asId<UpstreamId>('upstream-0')
const config = {
  window: WINDOW_MS, callerSkew: 2_000, hostSkew: 2_000, configPropagation: 10_000, queryResultTtl: 10_000, maxKeys: KEYS, maxResponseBytes: 65_536, maxStoreBytes: 16_777_216, maxWaiters: 8
}
const memory = (): number => {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
const before = memory()
const db = new KeysDb(self, config, hash)
decideKeys(db, { kind: 'upstreams-listed', now: 0, wall: 0, service, upstreams: [self], revision: 1 })
const now = 2 * WINDOW_MS
const micros = timed(n => {
  decideKeys(db, { kind: 'key-presented', now, wall: now, ...name(n), request: asId<RequestId>(`r${n}`), fingerprint: asId<Fingerprint>('f') })
  decideKeys(db, { kind: 'run-failed', now, ...name(n), outcome: 'ran' })
}, KEYS)
console.log(`presenting and ending one key: ${micros} us; ${((memory() - before) / db.size).toFixed(0)} bytes per key without its response (${db.size} keys)`)

const share = (span: number): string => (100 * RESTARTS / ALL_UPSTREAMS * span / DAY_MS).toFixed(4)
console.log(`keyed requests answered as unknown because their home restarted without entries (calculated): opaque keys ${share(WINDOW_MS + 10_000)} %, version 7 UUIDs ${share(ALLOWANCE_MS)} %`)
