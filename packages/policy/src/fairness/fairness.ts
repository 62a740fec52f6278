/** Decides what workspaces were served and what credit they forfeit. */
import { assertNever, type Millis, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FairnessAccount } from './fairnessAccount.js'
import { FLEET, type FairnessDb } from './fairnessDb.js'
import type { FairnessCommand, FairnessEvent } from './fairnessTypes.js'

/**
 * Takes one event and returns the commands that follow from it.
 *
 * @param db - totals, lifts and charges; changed in place
 * @param event - what happened
 * @returns the commands, in the order in which they are to be carried out
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
      return seeBacklog(db, event.service, event.workspaces, event.now)
    case 'counters-received':
      merge(db, event)
      return []
    case 'weights-changed':
      db.setWeights(event.weights)
      return []
    case 'tick':
      db.foldOldOrigins(event.now)
      return [...db.services()].flatMap(service => boundClaims(db, service, event.now))
    default:
      return assertNever(event)
  }
}

const merge = (db: FairnessDb, event: FairnessEvent & { kind: 'counters-received' }): void => {
  if (event.rejoined) db.observingSince = event.now
  if (event.base !== undefined) db.mergeBase(event.base)
  for (const entry of event.entries) db.mergeTotal(entry, event.link, event.now, !event.rejoined)
  for (const entry of event.lifts) db.mergeLift(entry, event.link)
}

const seeBacklog = (db: FairnessDb, service: ServiceId, workspaces: readonly WorkspaceId[], now: Millis): FairnessCommand[] =>
  scopesOf(db, service).flatMap(scope => {
    const commands = workspaces.flatMap(workspace => forfeitIdle(db, db.account(scope, workspace), now))
    for (const workspace of workspaces) db.account(scope, workspace).backloggedAt = now
    return commands
  })

const scopesOf = (db: FairnessDb, service: ServiceId): ServiceId[] => db.config.scope === 'fleet' ? [service, FLEET] : [service]

/** Raises a workspace that comes back after idleness to the least of the backlogged ones. */
const forfeitIdle = (db: FairnessDb, account: FairnessAccount, now: Millis): FairnessCommand[] => {
  const knownSince = Math.max(account.backloggedAt, db.observingSince)
  if (now - knownSince <= db.config.idleGrace) return []
  const others = backlogged(db, account.service, now).filter(other => other !== account)
  return raise(db, account, reference(db, account, others), 'idle')
}

/** Least virtual time of the backlogged workspaces, else that of the one which was backlogged last. */
const reference = (db: FairnessDb, account: FairnessAccount, others: readonly FairnessAccount[]): number => {
  if (others.length > 0) return Math.min(...others.map(other => other.virtualTime))
  const all = [...db.accountsOf(account.service)].filter(other => other !== account)
  const last = all.reduce<FairnessAccount | undefined>((a, b) => a === undefined || b.backloggedAt > a.backloggedAt ? b : a, undefined)
  return last === undefined || last.backloggedAt === Number.NEGATIVE_INFINITY ? 0 : last.virtualTime
}

/** Keeps the claim of each backlogged workspace on the most served one within the allowed credit. */
const boundClaims = (db: FairnessDb, service: ServiceId, now: Millis): FairnessCommand[] => {
  if (now - db.observingSince <= db.config.idleGrace) return []
  const accounts = backlogged(db, service, now)
  const credit = creditOf(db, service)
  if (accounts.length < 2 || credit === 0) return []
  const bound = Math.max(...accounts.map(account => account.virtualTime)) - credit
  return accounts.flatMap(account => raise(db, account, bound, 'claim-bound'))
}

/**
 * Tells how far a workspace may lag behind another at a service and still be repaid.
 *
 * @param db - rates by service
 * @param service - the service, or FLEET
 * @returns virtual cost; 0 while no rate is known
 */
export const creditOf = (db: FairnessDb, service: ServiceId): number => {
  const services = service === FLEET ? [...db.services()] : [service]
  const rate = services.reduce((sum, id) => sum + db.rateOf(id).perSecond, 0)
  return rate * db.config.creditMs / 1000
}

const raise = (db: FairnessDb, account: FairnessAccount, target: number, reason: 'idle' | 'claim-bound'): FairnessCommand[] => {
  const amount = target - account.virtualTime
  if (amount <= 0) return []
  const { service, workspace } = account
  db.mergeLift({ service, workspace, lift: account.lift + amount }, undefined)
  return [{ kind: 'credit-forfeited', reason, service, workspace, amount }]
}

const backlogged = (db: FairnessDb, service: ServiceId, now: Millis): FairnessAccount[] =>
  [...db.accountsOf(service)].filter(account => now - account.backloggedAt <= db.config.idleGrace)
