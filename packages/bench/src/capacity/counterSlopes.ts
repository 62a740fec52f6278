/** Measures how the cost of the exchange of service counters grows with the numbers of entries and of peers. */
import { asId, type HostId, type Incarnation, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { type CounterEntry, exchangeDefinition, type ExchangeDb, type FairnessDb, fairnessDefinition } from '@fuchsiaworks/policy'
import { measureHeapKib, measureCpuMicros, type Slope, measureSlope } from './slopes.js'

/** Pairs of workspace and service, and so counters, of one agent. */
const ENTRIES_PER_AGENT = 33

/** Number of peers while the number of entries varies. */
const FIXED_PEERS = 20

const ENTRIES = [500, 2_000, 8_000] as const
const PEER_COUNTS = [10, 40, 160] as const

/** Number of entries while the number of peers varies. */
const FIXED_ENTRIES = 2_000

/**
 * Creates counters as agents send them.
 *
 * @param count - number of entries
 * @param total - virtual cost of each entry
 * @returns the entries, ENTRIES_PER_AGENT of each origin
 */
export const createCounters = (count: number, total: number): CounterEntry[] => Array.from({ length: count }, (_, index) => ({
  origin: asId<Incarnation>(`0192f0c1-7a00-7000-8000-${String(Math.floor(index / ENTRIES_PER_AGENT)).padStart(12, '0')}`),
  service: asId<ServiceId>(`service-${Math.floor(index / ENTRIES_PER_AGENT) % 17}`),
  workspace: asId<WorkspaceId>(`workspace-${index % ENTRIES_PER_AGENT}`),
  total,
  refund: total / 7
}))

interface Node { readonly exchange: ExchangeDb, readonly fairness: FairnessDb }

const createNode = (entries: number, peers: number): Node => {
  const fairness = fairnessDefinition.createDb(asId<Incarnation>('router-1'), 0)
  const exchange = exchangeDefinition.createDb(asId<HostId>('router-1'), 1, { bytesPerSecond: Number.POSITIVE_INFINITY })
  for (let index = 0; index < peers; index += 1) {
    exchangeDefinition.decide(exchange, fairness, { kind: 'peer-joined', link: `peer-${index}`, relation: 'router', incarnation: asId(`peer-${index}`), now: 0 })
  }
  receiveCounters({ exchange, fairness }, createCounters(entries, 1), 0)
  return { exchange, fairness }
}

const receiveCounters = ({ exchange, fairness }: Node, entries: readonly CounterEntry[], now: number): void => {
  exchangeDefinition.decide(exchange, fairness, { kind: 'counters-received', link: 'peer-0', counters: { entries, lifts: [], backlogged: [] }, now })
}

const mergeMicros = (size: number): number => {
  const node = createNode(size, 2)
  let now = 0
  return measureCpuMicros(() => {
    now += 1
    receiveCounters(node, createCounters(size, now), now)
  })
}

/** Measures a round of the exchange in which no counter has changed. */
const roundMicros = (entries: number, peers: number): number => {
  const { exchange, fairness } = createNode(entries, peers)
  let now = 1_000
  exchangeDefinition.decide(exchange, fairness, { kind: 'tick', now })
  return measureCpuMicros(() => {
    now += 250
    exchangeDefinition.decide(exchange, fairness, { kind: 'tick', now })
  })
}

/** @returns slopes of the cost of the exchange */
export const measureCounterSlopes = (): Slope[] => [
  measureSlope({ name: 'counters: merge of a message', unit: 'us', against: 'entries in it' }, ENTRIES, mergeMicros),
  measureSlope({ name: `counters: round without a change, ${FIXED_PEERS} peers`, unit: 'us', against: 'entries held' }, ENTRIES, size => roundMicros(size, FIXED_PEERS)),
  measureSlope({ name: `counters: round without a change, ${FIXED_ENTRIES} entries`, unit: 'us', against: 'peers' }, PEER_COUNTS, size => roundMicros(FIXED_ENTRIES, size)),
  measureSlope({ name: 'counters: heap', unit: 'KiB', against: 'entries held' }, ENTRIES, size => measureHeapKib(() => createNode(size, 1)))
]
