/** Measures the distribution of revisions at the fleet size planned for two years ahead: `node packages/policy/dist/revision/revision.measure.js`. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { decideRevision } from './revision.js'
import { RevisionDb } from './revisionDb.js'
import type { RevisionCommand, RevisionEvent } from './revisionTypes.js'

const ROUTERS = 390
const AGENTS = 4_200
/** Links of each agent to routers. */
const AGENT_LINKS = 8
/** Links that each router opens to other routers. */
const ROUTER_LINKS = 24
/** Configuration changes per day. */
const CHANGES_PER_DAY = 2_800
const DAY_S = 86_400
/** Longest delay of one message, in tenths of a millisecond. */
const MAX_DELAY_TENTH_MS = 20
/** Time within which the configuration service responds to all watches, in tenths of a millisecond. */
const SERVICE_RESPONSE_TENTH_MS = 200
/** Seconds after which a watch without a change times out and is sent again. */
const WATCH_TIMEOUT_S = 30

type MessageKind = 'documents' | 'number' | 'request'
interface Message { readonly from: number, readonly to: number, readonly kind: MessageKind }

/** A simulated process. `receive` returns the messages to send; a message from its own id stands for one from the configuration service. */
interface Process { accepted: boolean, receive: (from: number, kind: MessageKind) => Message[] }

const source = xoroshiro128plus(4_590)
const randomBelow = (n: number): number => (source.next() >>> 0) % n

const makeLinks = (): number[][] => {
  const peers = Array.from({ length: ROUTERS + AGENTS }, () => new Set<number>())
  const join = (a: number, b: number): void => {
    if (a === b) return
    peers[a]?.add(b)
    peers[b]?.add(a)
  }
  for (let a = 0; a < ROUTERS; a += 1) for (let n = 0; n < ROUTER_LINKS; n += 1) join(a, randomBelow(ROUTERS))
  for (let a = ROUTERS; a < ROUTERS + AGENTS; a += 1) for (let n = 0; n < AGENT_LINKS; n += 1) join(a, randomBelow(ROUTERS))
  return peers.map(set => [...set])
}

/** Baseline without the policy: sends the documents, or first the revision number, to every peer or, with `onlyHigher`, only to peers not known to have the revision. */
const baselineProcess = (id: number, peers: readonly number[], first: 'documents' | 'number', onlyHigher: boolean): Process => {
  const peersWithRevision = new Set<number>()
  let requested = false
  const process: Process = {
    accepted: false,
    receive: (from, kind) => {
      if (kind === 'request') return [{ from: id, to: from, kind: 'documents' }]
      peersWithRevision.add(from)
      if (process.accepted) return []
      if (kind === 'number') {
        if (requested) return []
        requested = true
        return [{ from: id, to: from, kind: 'request' }]
      }
      process.accepted = true
      return peers.filter(to => !(onlyHigher && peersWithRevision.has(to))).map(to => ({ from: id, to, kind: first }))
    }
  }
  return process
}

/** A process that uses the revision policy. */
const policyProcess = (id: number, peers: readonly number[]): Process => {
  const db = new RevisionDb({ alwaysWatch: true, watchAfter: 0, watchJitter: 0, maxRefused: 4, requestTimeout: 1_000 })
  for (const peer of peers) db.peers.set(String(peer), 0)
  const eventOf = (from: number, kind: MessageKind): RevisionEvent => {
    const link = String(from)
    switch (kind) {
      case 'number': return { kind: 'peer-revision', now: 0, link, revision: 1 }
      case 'request': return { kind: 'documents-requested', now: 0, link, revision: 0 }
      case 'documents': {
        const received = { kind: 'documents-received', now: 0, revision: 1, result: { kind: 'accepted' } } as const
        return from === id ? { ...received, source: 'service' } : { ...received, source: 'peer', link }
      }
    }
  }
  const messageOf = (command: RevisionCommand): Message[] => {
    if (command.kind === 'request-documents') return [{ from: id, to: Number(command.link), kind: 'request' }]
    if (command.kind !== 'send-revision') return []
    return [{ from: id, to: Number(command.link), kind: command.withDocuments ? 'documents' : 'number' }]
  }
  const process: Process = {
    accepted: false,
    receive: (from, kind) => {
      const commands = decideRevision(db, eventOf(from, kind))
      process.accepted = db.accepted === 1
      return commands.flatMap(messageOf)
    }
  }
  return process
}

/** Distributes one revision through the fleet from `watchers` routers that read it from the configuration service, and counts the messages; times are in tenths of a millisecond. */
const distribute = (processes: readonly Process[], watchers: number): { documents: number, smallMessages: number, lastReceivedAt: number } => {
  const byTime: Message[][] = []
  const schedule = (message: Message, at: number): void => { (byTime[at] ??= []).push(message) }
  for (let id = 0; id < watchers; id += 1) schedule({ from: id, to: id, kind: 'documents' }, randomBelow(SERVICE_RESPONSE_TENTH_MS))
  const result = { documents: 0, smallMessages: 0, lastReceivedAt: 0 }
  for (let at = 0; at < byTime.length; at += 1) {
    for (const { from, to, kind } of byTime[at] ?? []) {
      if (from !== to && kind === 'documents') result.documents += 1
      if (kind !== 'documents') result.smallMessages += 1
      const process = processes[to]
      const before = process?.accepted
      for (const sent of process?.receive(from, kind) ?? []) schedule(sent, at + 1 + randomBelow(MAX_DELAY_TENTH_MS))
      if (process?.accepted !== before) result.lastReceivedAt = at
    }
  }
  if (processes.some(process => !process.accepted)) throw new Error('a process has not received the revision')
  return result
}

const peers = makeLinks()
const strategies: ReadonlyArray<readonly [name: string, make: (id: number, peers: readonly number[]) => Process]> = [
  ['documents to all peers', (id, links) => baselineProcess(id, links, 'documents', false)],
  ['documents only to peers behind', (id, links) => baselineProcess(id, links, 'documents', true)],
  ['number to all peers, documents on request', (id, links) => baselineProcess(id, links, 'number', false)],
  ['number only to peers behind, documents on request', (id, links) => baselineProcess(id, links, 'number', true)],
  ['this policy', policyProcess]
]

for (const watchers of [ROUTERS, ROUTERS / 2, 1]) {
  console.log(`${watchers} of ${ROUTERS} routers reach the configuration service:`)
  console.table(strategies.map(([strategy, make]) => {
    const { documents, smallMessages, lastReceivedAt } = distribute(peers.map((links, id) => make(id, links)), watchers)
    const total = ROUTERS + AGENTS
    return { way: strategy, 'documents per process': (documents / total).toFixed(2), 'small messages per process': (smallMessages / total).toFixed(2), 'last process received after ms': lastReceivedAt / 10 }
  }))
}
const readsPerSecond = (processes: number): string => `${(processes * CHANGES_PER_DAY / DAY_S).toFixed(1)} for changes, ${(processes / WATCH_TIMEOUT_S).toFixed(1)} for watches of ${WATCH_TIMEOUT_S} s`
console.log(`reads per second: routers ${readsPerSecond(ROUTERS)}; all processes ${readsPerSecond(ROUTERS + AGENTS)}`)
