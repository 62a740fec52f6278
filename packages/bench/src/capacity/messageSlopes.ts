/** Measures how the encoded size of messages grows with the number of entries, on a session over loopback. */
import { asId, newId, systemClock } from '@fuchsiaworks/kernel'
import { dialSessions, type LinkOptions, listenSessions, type Message, type Session } from '@fuchsiaworks/wire'
import { createCounters } from './counterSlopes.js'
import { type Slope, measureSlope } from './slopes.js'

const ENTRIES = [1, 28, 280] as const

const createLinkOptions = (host: string, role: 'router' | 'agent'): LinkOptions & { readonly host: string } => ({
  identity: { host: asId(host), incarnation: newId(), role, zone: asId('zone-1') },
  linkKey: 'a key for measurements',
  clock: systemClock,
  heartbeat: 1_000,
  silence: 3_000,
  expiry: 30_000,
  host: '127.0.0.1'
})

const createBacklog = (size: number): Message => ({
  kind: 'backlog',
  service: asId('service-1'),
  entries: Array.from({ length: size }, (_, index) => ({ workspace: asId(`workspace-${index}`), waiting: 120, oldestWait: 1234.567, headCost: 4096 }))
})

const createBackloggedCounters = (size: number): Message => ({
  kind: 'counters',
  entries: [],
  lifts: [],
  backlogged: Array.from({ length: size }, (_, index) => ({
    service: asId('service-1'), workspace: asId(`workspace-${index}`), router: asId('router-1.zone-1'), waiting: 120, age: 123.456
  }))
})

const messages: ReadonlyArray<readonly [name: string, make: (size: number) => Message]> = [
  ['backlog message', createBacklog],
  ['counters message, totals', size => ({ kind: 'counters', entries: createCounters(size, 123456.789), lifts: [], backlogged: [] })],
  ['counters message, backlogged', createBackloggedCounters]
]

/** A message without a list of entries, whose size is constant. */
const agentStateMessage: Message = {
  kind: 'agent-state', upstream: asId('upstream-1234'), service: asId('service-1'), zone: asId('zone-1'), state: 'ready', reason: 'target met', limit: 48, running: 31
}

const encodedBytesOf = (session: Session, message: Message): number => {
  const before = session.unconfirmedBytes
  session.send(message)
  return session.unconfirmedBytes - before
}

/**
 * Measures the encoded size of messages, without frames and headers.
 *
 * @returns slopes against the number of entries, and the size of an agent-state message in bytes
 */
export const measureMessageSlopes = async (): Promise<{ readonly slopes: readonly Slope[], readonly agentStateBytes: number }> => {
  const server = await listenSessions({ ...createLinkOptions('router-1', 'router'), port: 0 })
  const dialer = dialSessions({ ...createLinkOptions('agent-1', 'agent'), port: server.address.port })
  const session = await new Promise<Session>(resolve => { dialer.sessions.take(1).observe(resolve) })
  const slopes = messages.map(([name, make]) =>
    measureSlope({ name, unit: 'bytes', against: 'entries' }, ENTRIES, size => encodedBytesOf(session, make(size))))
  const agentState = encodedBytesOf(session, agentStateMessage)
  dialer.close()
  await server.close()
  return { slopes, agentStateBytes: agentState }
}
