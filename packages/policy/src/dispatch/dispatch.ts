/** Decides which queued requests an agent pulls when it has free slots. */
import { assertNever, type Millis, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FairnessDb } from '../fairness/fairnessDb.js'
import { selectNextWorkspace } from '../fairness/order.js'
import type { DispatchDb, Offer } from './dispatchDb.js'
import { tieRank } from './tieRank.js'
import type { DispatchCommand, DispatchEvent, RouterLink } from './dispatchTypes.js'

/**
 * Applies one event and returns the resulting pulls.
 *
 * @param db - slots, pulls and offers; changed in place
 * @param fairness - service totals by which workspaces are ordered; charges older than the propagation delay are dropped from
 *   its share estimates
 * @param event - what happened
 * @returns the pulls, each of which has reserved a slot
 */
export const decideDispatch = (db: DispatchDb, fairness: FairnessDb, event: DispatchEvent): DispatchCommand[] => {
  applyEvent(db, event)
  return fillSlots(db, fairness, event.now)
}

const applyEvent = (db: DispatchDb, event: DispatchEvent): void => {
  switch (event.kind) {
    case 'router-backlog': return db.setOffers(event.router, event.service, event.entries, event.now)
    case 'router-gone': return db.dropRouter(event.router)
    case 'slots-changed':
      db.limit = event.limit
      return
    case 'pull-answered':
      if (db.endPull(event.pull) !== undefined) db.startRequest(event.request)
      return
    case 'pull-empty': return endEmptyPull(db, event.pull)
    case 'request-ended': return db.endRequest(event.request)
    case 'tick': return db.expirePulls(event.now)
    default: return assertNever(event)
  }
}

const endEmptyPull = (db: DispatchDb, pull: number): void => {
  const ended = db.endPull(pull)
  if (ended !== undefined) db.dropOffer(ended.router, ended.service, ended.workspace)
}

const fillSlots = (db: DispatchDb, fairness: FairnessDb, now: Millis): DispatchCommand[] => {
  if (db.free <= 0) return []
  const slow = db.slowRouters(now)
  for (const service of db.services()) fairness.shareEstimateOf(service).expire(now - fairness.propagationDelay)
  const commands: DispatchCommand[] = []
  while (db.free > 0) {
    const offer = nextOffer(db, fairness, slow, now)
    if (offer === undefined) return commands
    const { pull, router, service, workspace } = db.addPull(offer, now)
    commands.push({ kind: 'pull', router, service, workspace, pull })
  }
  return commands
}

const nextOffer = (db: DispatchDb, fairness: FairnessDb, slow: ReadonlySet<RouterLink>, now: Millis): Offer | undefined => {
  for (const service of db.services()) {
    const offers = db.offersOf(service).filter(offer => !slow.has(offer.router))
    if (offers.length > 0) return chooseOffer(db, fairness, service, offers, now)
  }
  return undefined
}

const chooseOffer = (db: DispatchDb, fairness: FairnessDb, service: ServiceId, offers: readonly Offer[], now: Millis): Offer | undefined => {
  const oldest = oldestByWorkspace(db, offers)
  const candidates = [...oldest.values()]
    .map(({ workspace, headCost }) => ({ workspace, headCost, pending: pendingCost(db, workspace) }))
  const chosen = selectNextWorkspace(fairness, service, candidates, db.floorCreditOf(service), now)
  return chosen === undefined ? undefined : oldest.get(chosen.workspace)
}

/** Maps each workspace to the offer with its oldest request. */
const oldestByWorkspace = (db: DispatchDb, offers: readonly Offer[]): Map<WorkspaceId, Offer> => {
  const oldest = new Map<WorkspaceId, Offer>()
  for (const offer of offers) {
    const known = oldest.get(offer.workspace)
    if (known === undefined || isOlder(db, offer, known)) oldest.set(offer.workspace, offer)
  }
  return oldest
}

const isOlder = (db: DispatchDb, a: Offer, b: Offer): boolean => {
  if (a.oldestQueuedAt !== b.oldestQueuedAt) return a.oldestQueuedAt < b.oldestQueuedAt
  return tieRank(db.config.seed, a.router) < tieRank(db.config.seed, b.router)
}

const pendingCost = (db: DispatchDb, workspace: WorkspaceId): number => {
  let cost = 0
  for (const pull of db.pendingPulls()) {
    if (pull.workspace === workspace) cost += pull.estimate
  }
  return cost
}
