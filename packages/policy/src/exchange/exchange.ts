/** Decides which process is told which counters and when, and where an agent with free slots finds requests. */
import { assertNever, clamp, getOrMake, type Incarnation, type Millis, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { decideFairness } from '../fairness/fairness.js'
import type { FairnessAccount } from '../fairness/fairnessAccount.js'
import type { FairnessDb } from '../fairness/fairnessDb.js'
import type { CounterEntry } from '../fairness/fairnessTypes.js'
import { addTally, maxTally, ZERO_TALLY, subtractTally, type Tally } from '../fairness/tally.js'
import { coverBacklog } from './coverage.js'
import { type Absorbed, type ExchangeDb, MESH, type Peer } from './exchangeDb.js'
import type { BackloggedEntry, Counters, ExchangeCommand, ExchangeEvent } from './exchangeTypes.js'
import { estimateUpdateBytes, buildUpdate, covers } from './tell.js'

/** Milliseconds for which a child that went away may come back and go on. */
const CHILD_MEMORY_MS = 600_000

/** Weight of a new gap between messages in the smoothed one. */
const GAP_SMOOTHING = 0.2

/** Age of news in gaps between messages. */
const AGE_PER_GAP = 1.5

/** Bounds of the age of news, in milliseconds. */
const MIN_NEWS_AGE_MS = 100
const MAX_NEWS_AGE_MS = 5_000

/**
 * Takes one event and returns the commands that follow from it.
 *
 * @param db - peers and what they were told; changed in place
 * @param fairness - totals and lifts; changed in place by what peers tell
 * @param event - what happened
 * @returns the commands, in the order in which they are to be carried out
 */
export const decideExchange = (db: ExchangeDb, fairness: FairnessDb, event: ExchangeEvent): ExchangeCommand[] => {
  switch (event.kind) {
    case 'peer-joined': return join(db, fairness, event)
    case 'peer-gone':
      db.dropPeer(event.link, event.now)
      return []
    case 'counters-received':
      receive(db, fairness, event.link, event.counters, event.now)
      return []
    case 'own-backlog':
      db.setOwnBacklog(event.service, event.entries, event.now)
      seeBacklog(fairness, event.entries.map(({ workspace }) => ({ service: event.service, workspace })), true, event.now)
      return []
    case 'slots': return coverBacklog(db, event)
    case 'tick': return tick(db, fairness, event.now)
    default: return assertNever(event)
  }
}

/** Tells a new peer all at once, so that a process that starts empty knows the totals within a round trip. */
const join = (db: ExchangeDb, fairness: FairnessDb, event: ExchangeEvent & { kind: 'peer-joined' }): ExchangeCommand[] => {
  const { link, relation, incarnation, now } = event
  const services = relation === 'leaf' && fairness.config.scope === 'fleet' ? undefined : event.services
  const peer: Peer = { link, relation, incarnation, services, told: 0, toldAll: 0, toldAt: Number.NEGATIVE_INFINITY, heardAt: undefined, gap: undefined }
  db.addPeer(peer)
  fairness.ownOrigins.isSummed = service => db.isSummed(service)
  if (relation === 'parent' || relation === 'mesh') {
    const counter = relation === 'mesh' ? MESH : incarnation
    for (const service of [...fairness.services()].filter(id => covers(peer, id))) changeCounter(db, fairness, service, counter, now)
  }
  for (const early of db.takeEarly(link)) receive(db, fairness, link, early, now)
  const counters = buildUpdate(db, fairness, peer, { now, all: true, backlogged: db.backlogged(now) })
  return counters === undefined ? [] : [{ kind: 'send', link, counters }]
}

const tick = (db: ExchangeDb, fairness: FairnessDb, now: Millis): ExchangeCommand[] => {
  db.refresh(now)
  if (now < db.nextRoundAt) return []
  seeBacklog(fairness, db.backlogged(now), false, now)
  decideFairness(fairness, { kind: 'tick', now })
  db.forgetChildren(now - CHILD_MEMORY_MS)
  return runRound(db, fairness, now)
}

/** Tells every peer, and waits for longer when that took more bytes than the budget has for one period. */
const runRound = (db: ExchangeDb, fairness: FairnessDb, now: Millis): ExchangeCommand[] => {
  const { period, bytesPerSecond: budget, fullRoundInterval: slowRounds } = db.config
  db.round += 1
  const round = { now, all: db.round % slowRounds === 0, backlogged: db.backlogged(now) }
  const commands: ExchangeCommand[] = []
  let bytes = 0
  for (const peer of db.peers()) {
    const counters = buildUpdate(db, fairness, peer, round)
    if (counters === undefined) continue
    bytes += estimateUpdateBytes(counters)
    commands.push({ kind: 'send', link: peer.link, counters })
  }
  db.nextRoundAt = now + Math.max(period, bytes * 1000 / budget)
  return commands
}

const receive = (db: ExchangeDb, fairness: FairnessDb, link: string, counters: Counters, now: Millis): void => {
  const peers = db.peersOf(link)
  if (peers.length === 0) return db.holdEarly(link, counters)
  const rejoined = peers.map(peer => hear(peer, fairness.grace, now)).includes(true)
  fairness.propagationDelay = newsAge(db, fairness.propagationDelay)
  const taken = peers.map(peer => ({ peer, entries: takeEntries(db, fairness, peer, counters, now) }))
  decideFairness(fairness, { ...counters, kind: 'counters-received', entries: [], link, rejoined, sums: false, now })
  for (const { peer, entries } of taken) {
    decideFairness(fairness, { kind: 'counters-received', entries, lifts: [], link, rejoined, sums: peer.relation === 'parent', now })
  }
  for (const entry of counters.backlogged) db.see(entry, now)
  seeBacklog(fairness, counters.backlogged, false, now)
}

/** Notes a message; true when the peer may tell of a part of the fleet that was out of reach until now. */
const hear = (peer: Peer, grace: Millis, now: Millis): boolean => {
  const gap = now - (peer.heardAt ?? Number.NEGATIVE_INFINITY)
  if (peer.heardAt !== undefined) peer.gap = peer.gap === undefined ? gap : peer.gap + (gap - peer.gap) * GAP_SMOOTHING
  peer.heardAt = now
  return gap > grace && peer.relation !== 'leaf' && peer.relation !== 'child'
}

/** News is as old as the shortest gap between the messages of a peer that relays, and half as much on its way there. */
const newsAge = (db: ExchangeDb, known: Millis): Millis => {
  const gaps = db.peers().flatMap(({ relation, gap }) => gap === undefined || relation === 'leaf' || relation === 'child' ? [] : [gap])
  return gaps.length === 0 ? known : clamp(Math.min(...gaps) * AGE_PER_GAP, MIN_NEWS_AGE_MS, MAX_NEWS_AGE_MS)
}

/** Counts what must not be merged by origin, goes over to other sums where they come, and returns the rest. */
const takeEntries = (db: ExchangeDb, fairness: FairnessDb, peer: Peer, counters: Counters, now: Millis): readonly CounterEntry[] => {
  const entries = counters.entries.filter(entry => covers(peer, entry.service))
  switch (peer.relation) {
    case 'child':
      absorb(db, fairness, peer, entries, now)
      return []
    case 'parent':
      for (const { origin, service } of entries) followSums(db, fairness, service, origin)
      return entries
    case 'mesh':
      for (const { service } of [...entries, ...counters.base?.entries ?? []]) {
        if (covers(peer, service)) followSums(db, fairness, service, MESH)
      }
      return entries
    case 'router':
    case 'leaf':
    case 'hub':
      return entries
    default:
      return assertNever(peer.relation)
  }
}

const seeBacklog = (fairness: FairnessDb, backlogged: ReadonlyArray<Pick<BackloggedEntry, 'service' | 'workspace'>>, firstHand: boolean, now: Millis): void => {
  const byService = new Map<ServiceId, Set<WorkspaceId>>()
  for (const { service, workspace } of backlogged) byService.set(service, (byService.get(service) ?? new Set()).add(workspace))
  for (const [service, workspaces] of byService) decideFairness(fairness, { kind: 'backlog-seen', firstHand, service, workspaces: [...workspaces], now })
}

/** Counts a child's increments as this process's own; a total that was counted before adds nothing. */
const absorb = (db: ExchangeDb, fairness: FairnessDb, peer: Peer, entries: readonly CounterEntry[], now: Millis): void => {
  const child = db.child(peer.incarnation)
  for (const { origin, service, workspace, total, refund } of entries) {
    const account = fairness.account(service, workspace)
    const totals = getOrMake(child.totals, origin, () => new Map<FairnessAccount, Tally>())
    const known = totals.get(account) ?? ZERO_TALLY
    const tally = maxTally(known, { total, refund })
    const increment = subtractTally(tally, known)
    const sums = presentSums(peer, child, account, origin)
    totals.set(account, tally)
    sums.sum = addTally(sums.sum, increment)
    fairness.addOwn(service, workspace, increment, now)
  }
}

/** What was counted under a former origin is part of the rest, which the child is then told anew. */
const presentSums = (peer: Peer, child: Absorbed, account: FairnessAccount, origin: Incarnation): { sum: Tally } => {
  const present = child.sums.get(account)
  if (present?.origin === origin) return present
  if (present !== undefined) peer.toldAll = 0
  const fresh = { origin, sum: ZERO_TALLY }
  child.sums.set(account, fresh)
  return fresh
}

/** Lets a new parent, or the other roots, count this process from now on, and only what nobody has counted yet. */
const changeCounter = (db: ExchangeDb, fairness: FairnessDb, service: ServiceId, counter: Incarnation, now: Millis): void => {
  if (db.countedBy.get(service) === counter) return
  db.countedBy.set(service, counter)
  const own = fairness.originOf(service)
  fairness.moveUntold(service, account => subtractTally(account.tallyOf(own), db.toldUp.get(account) ?? ZERO_TALLY), now)
  db.forgetTold(service)
  db.restOrigins.delete(service)
}

/** Goes over to other sums of what was served elsewhere. */
const followSums = (db: ExchangeDb, fairness: FairnessDb, service: ServiceId, source: Incarnation): void => {
  if (db.restOrigins.get(service) === source) return
  db.restOrigins.set(service, source)
  fairness.keepOwn(service)
  db.renewSums(service)
}
