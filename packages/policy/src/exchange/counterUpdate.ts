/** Builds the update sent to a peer: only changes, selected by the peer's relation. */
import { asId, type Incarnation, type Millis, type ServiceId } from '@fuchsiaworks/kernel'
import type { FairnessAccount } from '../fairness/fairnessAccount.js'
import { FLEET } from '../fairness/accountTable.js'
import type { FairnessDb } from '../fairness/fairnessDb.js'
import { addTally, isZeroTally, ZERO_TALLY, subtractTally, tallyFromChange } from '../fairness/tally.js'
import type { CounterEntry, LiftEntry } from '../fairness/fairnessTypes.js'
import { type ExchangeDb, MESH, type Peer } from './exchangeDb.js'
import type { BackloggedEntry, Counters } from './exchangeTypes.js'

/** Estimated bytes of one entry on the wire. */
export const ENTRY_BYTES = 12

/** Estimated bytes of a message without its entries. */
export const MESSAGE_BYTES = 24

/** Milliseconds without changes after which an empty update is sent, so that a missing update indicates a lost connection. */
const KEEPALIVE_MS = 500

/** Parameters of one round of updates. */
export interface Round {
  readonly now: Millis
  /** True when workspaces without backlog are included. */
  readonly full: boolean
  readonly backlogged: readonly BackloggedEntry[]
}

/**
 * Builds the update for one peer and records what was sent.
 *
 * @param db - state of the exchange; changed in place
 * @param fairness - service totals and lifts
 * @param peer - receiver; changed in place
 * @param round - parameters of the round
 * @returns the update, or undefined when nothing changed and no keepalive is due
 */
export const buildUpdate = (db: ExchangeDb, fairness: FairnessDb, peer: Peer, round: Round): Counters | undefined => {
  const full = round.full || peer.lastFullSeq === 0 || fairness.baseSeq > peer.lastFullSeq
  const accounts = accountsFor(fairness, peer).filter(account => full || isBacklogged(fairness, account, round.now))
  const since = full ? peer.lastFullSeq : peer.lastSentSeq
  const entries = accounts.filter(({ service }) => service !== FLEET).flatMap(account => entriesFor(db, fairness, peer, account, since))
  const lifts = accounts.flatMap(account => liftFor(peer, account, since))
  const backlogged = round.backlogged.filter(entry => covers(peer, entry.service))
  const base = sendsOrigins(peer) && fairness.baseSeq > peer.lastFullSeq ? fairness.baseSnapshot() : undefined
  peer.lastSentSeq = fairness.seq
  if (full) peer.lastFullSeq = fairness.seq
  const isEmpty = entries.length + lifts.length + backlogged.length === 0 && base === undefined
  if (isEmpty && round.now - peer.lastSentAt < KEEPALIVE_MS) return undefined
  peer.lastSentAt = round.now
  return { entries, lifts, backlogged, ...base === undefined ? {} : { base } }
}

/**
 * Estimates the size of a message.
 *
 * @param counters - the message
 * @returns bytes on the wire
 */
export const estimateUpdateBytes = ({ entries, lifts, backlogged, base }: Counters): number => {
  const baseItems = base === undefined ? 0 : base.entries.length + base.folded.length
  return MESSAGE_BYTES + ENTRY_BYTES * (entries.length + lifts.length + backlogged.length + baseItems)
}

const sendsOrigins = ({ relation }: Peer): boolean => relation === 'router' || relation === 'leaf' || relation === 'mesh'

/**
 * Checks whether a peer's relation applies to a service.
 *
 * @param peer - the peer
 * @param service - the service
 * @returns true when counters of the service are exchanged with the peer
 */
export const covers = ({ services }: Peer, service: ServiceId): boolean => services === undefined || service === FLEET || services.has(service)

const accountsFor = (fairness: FairnessDb, peer: Peer): FairnessAccount[] =>
  [...fairness.services()].filter(service => covers(peer, service)).flatMap(service => [...fairness.accountsOf(service)])

const isBacklogged = (fairness: FairnessDb, account: FairnessAccount, now: Millis): boolean =>
  now - account.backloggedAt <= fairness.idleGrace

/**
 * Checks whether a change was received from the peer, in which case it is not sent back. A new peer receives everything,
 * since a link of the same name may have belonged to an earlier process.
 */
const isSource = (peer: Peer, source: string | undefined): boolean => peer.lastFullSeq > 0 && source === peer.link

const liftFor = (peer: Peer, { service, workspace, lift, liftSeq, liftSource }: FairnessAccount, since: number): LiftEntry[] =>
  liftSeq > since && !isSource(peer, liftSource) ? [{ service, workspace, lift }] : []

const entriesFor = (db: ExchangeDb, fairness: FairnessDb, peer: Peer, account: FairnessAccount, since: number): CounterEntry[] => {
  switch (peer.relation) {
    case 'router':
    case 'leaf':
      return originEntries(peer, account, since, () => true)
    case 'hub':
      // The first update includes all origins, so that a router without state has their totals.
      return recordSentOwnTally(db, fairness, account, originEntries(peer, account, since, own => own || peer.lastFullSeq === 0))
    case 'mesh': {
      // The first update relays the other roots' tallies, unless this process has a parent's sums in place of them.
      const hasTalliesByOrigin = db.receivedSumOrigins.get(account.service) === MESH
      return recordSentOwnTally(db, fairness, account, originEntries(peer, account, since, own => own || (hasTalliesByOrigin && peer.lastFullSeq === 0)))
    }
    case 'parent':
      return parentEntries(db, fairness, peer, account, since)
    case 'child':
      return childSumEntries(db, fairness, peer, account, since)
  }
}

const originEntries = (peer: Peer, account: FairnessAccount, since: number, include: (own: boolean) => boolean): CounterEntry[] =>
  [...account.origins]
    .filter(([, { seq, source }]) => seq > since && !isSource(peer, source) && include(source === undefined))
    .map(([origin, { tally }]) => ({ origin, service: account.service, workspace: account.workspace, ...tally }))

const recordSentOwnTally = (db: ExchangeDb, fairness: FairnessDb, account: FairnessAccount, entries: CounterEntry[]): CounterEntry[] => {
  const own = entries.find(({ origin }) => origin === fairness.originOf(account.service))
  if (own !== undefined) db.lastSentOwnTallies.set(account, { total: own.total, refund: own.refund })
  return entries
}

/** Entries for a parent. A new parent receives every account, also at zero, so that it knows the origin from which to count. */
const parentEntries = (db: ExchangeDb, fairness: FairnessDb, peer: Peer, account: FairnessAccount, since: number): CounterEntry[] => {
  const entries = recordSentOwnTally(db, fairness, account, originEntries(peer, account, since, own => own))
  const origin = fairness.originOf(account.service)
  if (peer.lastFullSeq > 0 || entries.some(entry => entry.origin === origin)) return entries
  return [...entries, { origin, service: account.service, workspace: account.workspace, ...ZERO_TALLY }]
}

/** Entry for a child: the sum of all service except the child's own part. */
const childSumEntries = (db: ExchangeDb, fairness: FairnessDb, peer: Peer, account: FairnessAccount, since: number): CounterEntry[] => {
  const { service, workspace, base, sum } = account
  const changed = fairness.baseSeq > since || [...account.origins.values()].some(({ seq, source }) => seq > since && !isSource(peer, source))
  if (!changed) return []
  const total = addTally(sum, tallyFromChange(base))
  const tally = subtractTally(total, db.childTotals(peer.incarnation).sums.get(account)?.sum ?? ZERO_TALLY)
  return isZeroTally(tally) ? [] : [{ origin: childSumOrigin(db, fairness, service), service, workspace, ...tally }]
}

const childSumOrigin = (db: ExchangeDb, fairness: FairnessDb, service: ServiceId): Incarnation =>
  asId<Incarnation>(`${fairness.incarnation}:${db.childSumGenerations.get(service) ?? 0}`)
