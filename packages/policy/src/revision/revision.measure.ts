/** Measures the relay of revisions at the two-year size: `node packages/policy/dist/revision/revision.measure.js`. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { decideRevision } from './revision.js'
import { RevisionDb } from './revisionDb.js'
import type { RevisionCommand, RevisionEvent } from './revisionTypes.js'

const ROUTERS = 390
const AGENTS = 4_200
/** Links of one agent to routers. */
const AGENT_LINKS = 8
/** Links that each router opens to others. */
const ROUTER_LINKS = 24
/** Changes of configuration on one day. */
const CHANGES = 2_800
const DAY_S = 86_400
/** Longest delay of one message, in tenths of a millisecond. */
const MAX_DELAY = 20
/** Time within which the configuration service answers all watches, in tenths of a millisecond. */
const ANSWER_WITHIN = 200
/** Seconds after which a watch without news ends and is sent again. */
const WATCH_S = 30

type Kind = 'documents' | 'number' | 'ask'
interface Message { readonly from: number, readonly to: number, readonly kind: Kind }

/** Takes a message (from itself: the configuration service) and returns what the process sends. */
interface Process { accepted: boolean, take: (from: number, kind: Kind) => Message[] }

const source = xoroshiro128plus(4_590)
const below = (n: number): number => (source.next() >>> 0) % n

const makeLinks = (): number[][] => {
  const peers = Array.from({ length: ROUTERS + AGENTS }, () => new Set<number>())
  const join = (a: number, b: number): void => {
    if (a === b) return
    peers[a]?.add(b)
    peers[b]?.add(a)
  }
  for (let a = 0; a < ROUTERS; a += 1) for (let n = 0; n < ROUTER_LINKS; n += 1) join(a, below(ROUTERS))
  for (let a = ROUTERS; a < ROUTERS + AGENTS; a += 1) for (let n = 0; n < AGENT_LINKS; n += 1) join(a, below(ROUTERS))
  return peers.map(set => [...set])
}

/** A process that tells every peer, with the documents or with the number first, or only peers not known to have it. */
const plainProcess = (id: number, peers: readonly number[], first: 'documents' | 'number', onlyHigher: boolean): Process => {
  const has = new Set<number>()
  let asked = false
  const self: Process = {
    accepted: false,
    take: (from, kind) => {
      if (kind === 'ask') return [{ from: id, to: from, kind: 'documents' }]
      has.add(from)
      if (self.accepted) return []
      if (kind === 'number') {
        if (asked) return []
        asked = true
        return [{ from: id, to: from, kind: 'ask' }]
      }
      self.accepted = true
      return peers.filter(to => !(onlyHigher && has.has(to))).map(to => ({ from: id, to, kind: first }))
    }
  }
  return self
}

/** A process that decides as the product does. */
const ownProcess = (id: number, peers: readonly number[]): Process => {
  const db = new RevisionDb({ alwaysWatch: true, watchAfter: 0, watchJitter: 0, maxRefused: 4, requestTimeout: 1_000 })
  for (const peer of peers) db.peers.set(String(peer), 0)
  const eventOf = (from: number, kind: Kind): RevisionEvent => {
    const link = String(from)
    switch (kind) {
      case 'number': return { kind: 'peer-revision', now: 0, link, revision: 1 }
      case 'ask': return { kind: 'documents-requested', now: 0, link, revision: 0 }
      case 'documents': {
        const received = { kind: 'documents-received', now: 0, revision: 1, result: { kind: 'accepted' } } as const
        return from === id ? { ...received, source: 'service' } : { ...received, source: 'peer', link }
      }
    }
  }
  const messageOf = (command: RevisionCommand): Message[] => {
    if (command.kind === 'request-documents') return [{ from: id, to: Number(command.link), kind: 'ask' }]
    if (command.kind !== 'send-revision') return []
    return [{ from: id, to: Number(command.link), kind: command.withDocuments ? 'documents' : 'number' }]
  }
  const self: Process = {
    accepted: false,
    take: (from, kind) => {
      const commands = decideRevision(db, eventOf(from, kind))
      self.accepted = db.accepted === 1
      return commands.flatMap(messageOf)
    }
  }
  return self
}

/** One revision goes through the fleet. */
const relay = (processes: readonly Process[], watchers: number): { documents: number, small: number, last: number } => {
  const byTime: Message[][] = []
  const post = (message: Message, at: number): void => { (byTime[at] ??= []).push(message) }
  for (let id = 0; id < watchers; id += 1) post({ from: id, to: id, kind: 'documents' }, below(ANSWER_WITHIN))
  const result = { documents: 0, small: 0, last: 0 }
  for (let at = 0; at < byTime.length; at += 1) {
    for (const { from, to, kind } of byTime[at] ?? []) {
      if (from !== to && kind === 'documents') result.documents += 1
      if (kind !== 'documents') result.small += 1
      const process = processes[to]
      const before = process?.accepted
      for (const sent of process?.take(from, kind) ?? []) post(sent, at + 1 + below(MAX_DELAY))
      if (process?.accepted !== before) result.last = at
    }
  }
  if (processes.some(process => !process.accepted)) throw new Error('a process has not heard')
  return result
}

const peers = makeLinks()
const ways: ReadonlyArray<readonly [name: string, make: (id: number, peers: readonly number[]) => Process]> = [
  ['documents to all', (id, links) => plainProcess(id, links, 'documents', false)],
  ['documents only when higher', (id, links) => plainProcess(id, links, 'documents', true)],
  ['number to all, then ask', (id, links) => plainProcess(id, links, 'number', false)],
  ['number only when higher, then ask', (id, links) => plainProcess(id, links, 'number', true)],
  ['this policy', ownProcess]
]

for (const watchers of [ROUTERS, ROUTERS / 2, 1]) {
  console.log(`${watchers} of ${ROUTERS} routers reach the configuration service:`)
  console.table(ways.map(([way, make]) => {
    const { documents, small, last } = relay(peers.map((links, id) => make(id, links)), watchers)
    const total = ROUTERS + AGENTS
    return { way, 'documents a process': (documents / total).toFixed(2), 'small messages a process': (small / total).toFixed(2), 'last heard after ms': last / 10 }
  }))
}
const reads = (processes: number): string => `${(processes * CHANGES / DAY_S).toFixed(1)} for changes, ${(processes / WATCH_S).toFixed(1)} for watches of ${WATCH_S} s`
console.log(`reads a second: routers ${reads(ROUTERS)}; all processes ${reads(ROUTERS + AGENTS)}`)
