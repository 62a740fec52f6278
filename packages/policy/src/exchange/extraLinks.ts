/** Plans additional links from an agent with free slots to routers that have a backlog. */
import type { HostId, Millis } from '@fuchsiaworks/kernel'
import { tieRank } from '../dispatch/tieRank.js'
import type { ExchangeDb } from './exchangeDb.js'
import type { ExchangeCommand, ExchangeEvent } from './exchangeTypes.js'

type SlotsEvent = ExchangeEvent & { kind: 'slots' }

/** Expected number of agents that dial a router per request queued there. */
const DIALS_PER_REQUEST = 2

/** Number of values of tieRank. */
const RANK_RANGE = 2 ** 32

/**
 * Dials a router with a backlog while slots are free, and releases links that have not been used within `releaseAfter`.
 * Each agent draws by its seed whether to dial, so that a few requests attract a few agents and not all of them.
 *
 * @param db - backlog reports and additional links; changed in place
 * @param event - state of the agent's slots
 * @returns commands to open or release links
 */
export const planExtraLinks = (db: ExchangeDb, event: SlotsEvent): ExchangeCommand[] => {
  const waiting = waitingByRouter(db, event)
  for (const router of db.extraLinks.keys()) {
    if (waiting.has(router)) db.extraLinks.set(router, event.now)
  }
  const router = event.free > 0 ? chooseRouter(db, waiting, event) : undefined
  const releases = releaseUnused(db, event.now)
  if (router === undefined) return releases
  db.extraLinks.set(router, event.now)
  return [...releases, { kind: 'dial', router }]
}

const waitingByRouter = (db: ExchangeDb, { service, now }: SlotsEvent): Map<HostId, number> => {
  const waiting = new Map<HostId, number>()
  for (const entry of db.backlogged(now)) {
    if (entry.service === service) waiting.set(entry.router, (waiting.get(entry.router) ?? 0) + entry.waiting)
  }
  return waiting
}

const releaseUnused = (db: ExchangeDb, now: Millis): ExchangeCommand[] => {
  const unused = [...db.extraLinks].filter(([, usedAt]) => now - usedAt > db.config.releaseAfter)
  return unused.map(([router]) => {
    db.extraLinks.delete(router)
    return { kind: 'release', router }
  })
}

const chooseRouter = (db: ExchangeDb, waiting: ReadonlyMap<HostId, number>, { linked, upstreams, now }: SlotsEvent): HostId | undefined => {
  if (db.extraLinks.size >= db.config.maxExtraLinks) return undefined
  const rank = (router: HostId): number => tieRank(db.config.seed, `${router} ${now}`) / RANK_RANGE
  const candidates = [...waiting].filter(([router, count]) =>
    !linked.has(router) && !db.extraLinks.has(router) && rank(router) < DIALS_PER_REQUEST * count / Math.max(1, upstreams))
  return candidates.map(([router]) => router).sort((a, b) => rank(a) - rank(b))[0]
}
