/** Decides which counters are sent to which peer and when, and to which routers an agent with free slots opens links. */
import { assertNever, clamp, getOrMake, type Incarnation, type Millis, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { decideFairness } from '../fairness/fairness.js'
import type { FairnessAccount } from '../fairness/fairnessAccount.js'
import type { FairnessDb } from '../fairness/fairnessDb.js'
import type { CounterEntry } from '../fairness/fairnessTypes.js'
import { addTally, maxTally, ZERO_TALLY, subtractTally, type Tally } from '../fairness/tally.js'
import { planExtraLinks } from './extraLinks.js'
import { type ChildTotals, type ExchangeDb, MESH, type Peer } from './exchangeDb.js'
import type { BackloggedEntry, Counters, ExchangeCommand, ExchangeEvent } from './exchangeTypes.js'
import { estimateUpdateBytes, buildUpdate, covers } from './counterUpdate.js'

/** Milliseconds for which the totals of a disconnected child are kept, so that it can reconnect and continue. */
const CHILD_RETENTION_MS = 600_000

/** Weight of a new interval in the smoothed interval between messages. */
const INTERVAL_SMOOTHING = 0.2

/** Propagation delay as a multiple of the interval between messages. */
const DELAY_PER_INTERVAL = 1.5

/** Bounds of the propagation delay, in milliseconds. */
const MIN_PROPAGATION_DELAY_MS = 100
const MAX_PROPAGATION_DELAY_MS = 5_000

/**
 * Applies one event and returns the resulting commands.
 *
 * @param db - peers and what was sent to them; changed in place
 * @param fairness - service totals and lifts; received counters are merged into them
 * @param event - what happened
 * @returns commands in order of execution
 */
export const decideExchange = (db: ExchangeDb, fairness: FairnessDb, event: ExchangeEvent): ExchangeCommand[] => {
  switch (event.kind) {
    case 'peer-joined': return joinPeer(db, fairness, event)
    case 'peer-gone':
      db.dropPeer(event.link, event.now)
      return []
    case 'counters-received':
      receiveCounters(db, fairness, event.link, event.counters, event.now)
      return []
    case 'own-backlog':
      db.setOwnBacklog(event.service, event.entries, event.now)
      reportBacklog(fairness, event.entries.map(({ workspace }) => ({ service: event.service, workspace })), true, event.now)
      return []
    case 'slots': return planExtraLinks(db, event)
    case 'tick': return tick(db, fairness, event.now)
    default: return assertNever(event)
  }
}

/** Adds a peer and sends it a complete update, so that a process without state has the totals after one round trip. */
const joinPeer = (db: ExchangeDb, fairness: FairnessDb, event: ExchangeEvent & { kind: 'peer-joined' }): ExchangeCommand[] => {
  const { link, relation, incarnation, now } = event
  const services = relation === 'leaf' && fairness.config.scope === 'fleet' ? undefined : event.services
  const peer: Peer = { link, relation, incarnation, services, lastSentSeq: 0, lastFullSeq: 0, lastSentAt: Number.NEGATIVE_INFINITY, lastReceivedAt: undefined, messageInterval: undefined }
  db.addPeer(peer)
  fairness.ownOrigins.isCountedByParent = service => db.isCountedByParent(service)
  if (relation === 'parent' || relation === 'mesh') {
    const countingProcess = relation === 'mesh' ? MESH : incarnation
    for (const service of [...fairness.services()].filter(id => covers(peer, id))) changeCountingProcess(db, fairness, service, countingProcess, now)
  }
  for (const message of db.takeEarlyMessages(link)) receiveCounters(db, fairness, link, message, now)
  const counters = buildUpdate(db, fairness, peer, { now, full: true, backlogged: db.backlogged(now) })
  return counters === undefined ? [] : [{ kind: 'send', link, counters }]
}

const tick = (db: ExchangeDb, fairness: FairnessDb, now: Millis): ExchangeCommand[] => {
  db.refreshBacklog(now)
  if (now < db.nextRoundAt) return []
  reportBacklog(fairness, db.backlogged(now), false, now)
  decideFairness(fairness, { kind: 'tick', now })
  db.expireChildren(now - CHILD_RETENTION_MS)
  return runRound(db, fairness, now)
}

/** Sends an update to every peer; the next round is delayed when the updates exceed the byte budget of one period. */
const runRound = (db: ExchangeDb, fairness: FairnessDb, now: Millis): ExchangeCommand[] => {
  const { period, bytesPerSecond, fullRoundInterval } = db.config
  db.round += 1
  const round = { now, full: db.round % fullRoundInterval === 0, backlogged: db.backlogged(now) }
  const commands: ExchangeCommand[] = []
  let bytes = 0
  for (const peer of db.peers()) {
    const counters = buildUpdate(db, fairness, peer, round)
    if (counters === undefined) continue
    bytes += estimateUpdateBytes(counters)
    commands.push({ kind: 'send', link: peer.link, counters })
  }
  db.nextRoundAt = now + Math.max(period, bytes * 1000 / bytesPerSecond)
  return commands
}

const receiveCounters = (db: ExchangeDb, fairness: FairnessDb, link: string, counters: Counters, now: Millis): void => {
  const peers = db.peersOf(link)
  if (peers.length === 0) return db.holdEarlyMessage(link, counters)
  const rejoined = peers.map(peer => recordMessage(peer, fairness.idleGrace, now)).includes(true)
  fairness.propagationDelay = estimateDelay(db, fairness.propagationDelay)
  const mergeable = peers.map(peer => ({ peer, entries: prepareEntries(db, fairness, peer, counters, now) }))
  decideFairness(fairness, { ...counters, kind: 'counters-received', entries: [], link, rejoined, areParentSums: false, now })
  for (const { peer, entries } of mergeable) {
    decideFairness(fairness, { kind: 'counters-received', entries, lifts: [], link, rejoined, areParentSums: peer.relation === 'parent', now })
  }
  for (const entry of counters.backlogged) db.recordBacklog(entry, now)
  reportBacklog(fairness, counters.backlogged, false, now)
}

/** Records the arrival of a message; returns true when the peer may report a part of the fleet that was unreachable until now. */
const recordMessage = (peer: Peer, idleGrace: Millis, now: Millis): boolean => {
  const elapsedMs = now - (peer.lastReceivedAt ?? Number.NEGATIVE_INFINITY)
  if (peer.lastReceivedAt !== undefined) peer.messageInterval = peer.messageInterval === undefined ? elapsedMs : peer.messageInterval + (elapsedMs - peer.messageInterval) * INTERVAL_SMOOTHING
  peer.lastReceivedAt = now
  return elapsedMs > idleGrace && peer.relation !== 'leaf' && peer.relation !== 'child'
}

/**
 * Estimates the propagation delay: the shortest message interval among relaying peers, plus half of it for the hop to the
 * relay.
 */
const estimateDelay = (db: ExchangeDb, current: Millis): Millis => {
  const intervals = db.peers().flatMap(({ relation, messageInterval }) => messageInterval === undefined || relation === 'leaf' || relation === 'child' ? [] : [messageInterval])
  return intervals.length === 0 ? current : clamp(Math.min(...intervals) * DELAY_PER_INTERVAL, MIN_PROPAGATION_DELAY_MS, MAX_PROPAGATION_DELAY_MS)
}

/**
 * Counts a child's entries as service of this process, drops the received sums when a parent's or the mesh's replace them, and
 * returns the entries that are to be merged by origin.
 */
const prepareEntries = (db: ExchangeDb, fairness: FairnessDb, peer: Peer, counters: Counters, now: Millis): readonly CounterEntry[] => {
  const entries = counters.entries.filter(entry => covers(peer, entry.service))
  switch (peer.relation) {
    case 'child':
      countChildService(db, fairness, peer, entries, now)
      return []
    case 'parent':
      for (const { origin, service } of entries) replaceReceivedSums(db, fairness, service, origin)
      return entries
    case 'mesh':
      for (const { service } of [...entries, ...counters.base?.entries ?? []]) {
        if (covers(peer, service)) replaceReceivedSums(db, fairness, service, MESH)
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

const reportBacklog = (fairness: FairnessDb, backlogged: ReadonlyArray<Pick<BackloggedEntry, 'service' | 'workspace'>>, authoritative: boolean, now: Millis): void => {
  const byService = new Map<ServiceId, Set<WorkspaceId>>()
  for (const { service, workspace } of backlogged) byService.set(service, (byService.get(service) ?? new Set()).add(workspace))
  for (const [service, workspaces] of byService) decideFairness(fairness, { kind: 'backlog-seen', authoritative, service, workspaces: [...workspaces], now })
}

/** Counts the increments of a child's totals as service of this process; a total that was counted before adds nothing. */
const countChildService = (db: ExchangeDb, fairness: FairnessDb, peer: Peer, entries: readonly CounterEntry[], now: Millis): void => {
  const child = db.childTotals(peer.incarnation)
  for (const { origin, service, workspace, total, refund } of entries) {
    const account = fairness.account(service, workspace)
    const totals = getOrMake(child.totals, origin, () => new Map<FairnessAccount, Tally>())
    const known = totals.get(account) ?? ZERO_TALLY
    const tally = maxTally(known, { total, refund })
    const increment = subtractTally(tally, known)
    const current = currentSum(peer, child, account, origin)
    totals.set(account, tally)
    current.sum = addTally(current.sum, increment)
    fairness.addChildService(service, workspace, increment, now)
  }
}

/**
 * Returns the sum counted under the child's current origin. When the child changes its origin, service counted under the
 * earlier one becomes part of the sums sent to the child, which therefore receives a complete update.
 */
const currentSum = (peer: Peer, child: ChildTotals, account: FairnessAccount, origin: Incarnation): { sum: Tally } => {
  const existing = child.sums.get(account)
  if (existing?.origin === origin) return existing
  if (existing !== undefined) peer.lastFullSeq = 0
  const created = { origin, sum: ZERO_TALLY }
  child.sums.set(account, created)
  return created
}

/**
 * Records that a new parent, or the other roots, include this process's service in their sums from now on. Only service that
 * was not included elsewhere before is sent to them.
 */
const changeCountingProcess = (db: ExchangeDb, fairness: FairnessDb, service: ServiceId, countingProcess: Incarnation, now: Millis): void => {
  if (db.countedBy.get(service) === countingProcess) return
  db.countedBy.set(service, countingProcess)
  const own = fairness.originOf(service)
  fairness.moveUncounted(service, account => subtractTally(account.tallyOf(own), db.lastSentOwnTallies.get(account) ?? ZERO_TALLY), now)
  db.clearSentOwnTallies(service)
  db.receivedSumOrigins.delete(service)
}

/** Drops the tallies received from other processes when their sums come from another source, a parent's origin or MESH. */
const replaceReceivedSums = (db: ExchangeDb, fairness: FairnessDb, service: ServiceId, source: Incarnation): void => {
  if (db.receivedSumOrigins.get(service) === source) return
  db.receivedSumOrigins.set(service, source)
  fairness.dropRemoteTallies(service)
  db.startChildSumGeneration(service)
}
