/** Accounts for the service that workspaces received and decides which credit they forfeit. */
import { assertNever, type Millis, type ServiceId } from '@fuchsiaworks/kernel'
import type { FairnessAccount } from './fairnessAccount.js'
import { FLEET } from './accountTable.js'
import type { FairnessDb } from './fairnessDb.js'
import type { FairnessCommand, FairnessEvent } from './fairnessTypes.js'

/** Time after a start or a rejoin in which backlog elsewhere may be unknown, as a multiple of the propagation delay. */
const REJOIN_GRACE_PER_DELAY = 2

/**
 * Applies one event and returns the resulting commands.
 *
 * @param db - service totals, lifts and charges; changed in place
 * @param event - what happened
 * @returns commands in order of execution
 */
export const decideFairness = (db: FairnessDb, event: FairnessEvent): FairnessCommand[] => {
  switch (event.kind) {
    case 'work-started':
      db.startCharge(event.request, event.service, event.workspace, event.estimate, event.now)
      return []
    case 'work-progressed':
      db.correctCharge(event.request, event.cost, event.now)
      return []
    case 'work-ended':
      db.endCharge(event.request, event.cost, event.now)
      return []
    case 'backlog-seen':
      return observeBacklog(db, event)
    case 'counters-received':
      mergeCounters(db, event)
      return []
    case 'weights-changed':
      db.setWeights(event.weights)
      return []
    case 'tick':
      db.foldOldOrigins(event.now)
      return []
    default:
      return assertNever(event)
  }
}

const mergeCounters = (db: FairnessDb, event: FairnessEvent & { kind: 'counters-received' }): void => {
  if (event.rejoined) db.observingSince = event.now
  if (event.base !== undefined) db.mergeBase(event.base)
  for (const entry of event.entries) db.mergeTotal(entry, event.link, event.now, { recent: !event.rejoined, isParentSum: event.areParentSums })
  for (const entry of event.lifts) db.mergeLift(entry, event.link)
}

const observeBacklog = (db: FairnessDb, { authoritative, service, workspaces, now }: FairnessEvent & { kind: 'backlog-seen' }): FairnessCommand[] =>
  scopesOf(db, service).flatMap(scope => {
    const accounts = workspaces.map(workspace => db.account(scope, workspace))
    const commands = authoritative === true ? accounts.flatMap(account => forfeitCredit(db, account, now)) : []
    for (const account of accounts) account.backloggedAt = Math.max(now, account.backloggedAt)
    return commands
  })

const scopesOf = (db: FairnessDb, service: ServiceId): ServiceId[] => db.config.scope === 'fleet' ? [service, FLEET] : [service]

/**
 * Makes a workspace whose backlog restarts forfeit credit. After an idle period its virtual time is raised to the least of the
 * backlogged workspaces; after a short break it is raised to the credit limit below that.
 */
const forfeitCredit = (db: FairnessDb, account: FairnessAccount, now: Millis): FairnessCommand[] => {
  const idleMs = now - account.backloggedAt
  if (idleMs <= db.propagationDelay) return []
  const rejoinedRecently = now - db.observingSince <= REJOIN_GRACE_PER_DELAY * db.propagationDelay
  if (idleMs > db.idleGrace && !rejoinedRecently) return raiseLift(db, account, referenceVirtualTime(db, account, now), 'idle')
  const credit = creditLimitOf(db, account.service)
  return credit === 0 ? [] : raiseLift(db, account, referenceVirtualTime(db, account, now) - credit, 'short-breaks')
}

/** Least virtual time of the other backlogged workspaces, else that of the most recently backlogged one. */
const referenceVirtualTime = (db: FairnessDb, account: FairnessAccount, now: Millis): number => {
  const others = db.backloggedAt(account.service, now).filter(other => other !== account)
  if (others.length > 0) return Math.min(...others.map(other => other.virtualTime))
  const known = [...db.accountsOf(account.service)].filter(other => other !== account)
  const mostRecent = known.reduce<FairnessAccount | undefined>((a, b) => a === undefined || b.backloggedAt > a.backloggedAt ? b : a, undefined)
  return mostRecent === undefined || mostRecent.backloggedAt === Number.NEGATIVE_INFINITY ? Number.NEGATIVE_INFINITY : mostRecent.virtualTime
}

/**
 * Computes how much credit a workspace may accumulate at a service over short breaks in its backlog.
 *
 * @param db - service rates
 * @param service - the service, or FLEET
 * @returns virtual cost; 0 while no rate is known
 */
export const creditLimitOf = (db: FairnessDb, service: ServiceId): number => {
  const services = service === FLEET ? [...db.services()] : [service]
  const rate = services.reduce((sum, id) => sum + db.rateOf(id).perSecond, 0)
  return rate * db.config.creditMs / 1000
}

const raiseLift = (db: FairnessDb, account: FairnessAccount, target: number, reason: 'idle' | 'short-breaks'): FairnessCommand[] => {
  const amount = target - account.virtualTime
  if (amount <= 0) return []
  const { service, workspace } = account
  db.mergeLift({ service, workspace, lift: account.lift + amount }, undefined)
  return [{ kind: 'credit-forfeited', reason, service, workspace, amount }]
}
