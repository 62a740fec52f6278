/** What the exchange of counters costs against its entries. */
import { asId, type HostId, type Incarnation, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { type CounterEntry, exchangeDefinition, type ExchangeDb, type FairnessDb, fairnessDefinition } from '@fuchsiaworks/policy'
import { heapOf, microsOf, type Slope, slopeOf } from './slopes.js'

/** Pairs of workspace and service at one agent. */
const PAIRS = 33

/** Processes that are told while entries vary. */
const PEERS = 20

const ENTRIES = [500, 2_000, 8_000] as const
const PEER_COUNTS = [10, 40, 160] as const

/** Entries held while peers vary. */
const HELD = 2_000

/**
 * Lists totals as agents tell them.
 *
 * @param count - number of entries
 * @param total - virtual cost of each
 * @returns entries of one origin for each PAIRS of them
 */
export const countersOf = (count: number, total: number): CounterEntry[] => Array.from({ length: count }, (_, index) => ({
  origin: asId<Incarnation>(`0192f0c1-7a00-7000-8000-${String(Math.floor(index / PAIRS)).padStart(12, '0')}`),
  service: asId<ServiceId>(`service-${Math.floor(index / PAIRS) % 17}`),
  workspace: asId<WorkspaceId>(`workspace-${index % PAIRS}`),
  total,
  refund: total / 7
}))

interface Node { readonly exchange: ExchangeDb, readonly fairness: FairnessDb }

const nodeOf = (entries: number, peers: number): Node => {
  const fairness = fairnessDefinition.createDb(asId<Incarnation>('router-1'), 0)
  const exchange = exchangeDefinition.createDb(asId<HostId>('router-1'), 1, { bytesPerSecond: Number.POSITIVE_INFINITY })
  for (let index = 0; index < peers; index += 1) {
    exchangeDefinition.decide(exchange, fairness, { kind: 'peer-joined', link: `peer-${index}`, relation: 'router', incarnation: asId(`peer-${index}`), now: 0 })
  }
  receive({ exchange, fairness }, countersOf(entries, 1), 0)
  return { exchange, fairness }
}

const receive = ({ exchange, fairness }: Node, entries: readonly CounterEntry[], now: number): void => {
  exchangeDefinition.decide(exchange, fairness, { kind: 'counters-received', link: 'peer-0', counters: { entries, lifts: [], backlogged: [] }, now })
}

const mergeMicros = (size: number): number => {
  const node = nodeOf(size, 2)
  let now = 0
  return microsOf(() => {
    now += 1
    receive(node, countersOf(size, now), now)
  })
}

/** A round in which nothing changed. */
const roundMicros = (entries: number, peers: number): number => {
  const { exchange, fairness } = nodeOf(entries, peers)
  let now = 1_000
  exchangeDefinition.decide(exchange, fairness, { kind: 'tick', now })
  return microsOf(() => {
    now += 250
    exchangeDefinition.decide(exchange, fairness, { kind: 'tick', now })
  })
}

/** @returns slopes of the exchange */
export const counterSlopes = (): Slope[] => [
  slopeOf({ name: 'counters: merge of a message', unit: 'us', against: 'entries in it' }, ENTRIES, mergeMicros),
  slopeOf({ name: `counters: round without a change, ${PEERS} peers`, unit: 'us', against: 'entries held' }, ENTRIES, size => roundMicros(size, PEERS)),
  slopeOf({ name: `counters: round without a change, ${HELD} entries`, unit: 'us', against: 'peers' }, PEER_COUNTS, size => roundMicros(HELD, size)),
  slopeOf({ name: 'counters: heap', unit: 'KiB', against: 'entries held' }, ENTRIES, size => heapOf(() => nodeOf(size, 1)))
]
