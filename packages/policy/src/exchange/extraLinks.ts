/** Lets an agent with free slots find requests at routers that it has no link to. */
import type { HostId, Millis } from '@fuchsiaworks/kernel'
import { tieRank } from '../dispatch/tieRank.js'
import type { ExchangeDb } from './exchangeDb.js'
import type { ExchangeCommand, ExchangeEvent } from './exchangeTypes.js'

type SlotsEvent = ExchangeEvent & { kind: 'slots' }

/** Agents that are to dial for each request that waits at a router. */
const DIALS_PER_REQUEST = 2

/** Size of the range of tieRank. */
const RANK_RANGE = 2 ** 32

/**
 * Dials a router that has requests while slots are free, and releases links that were not needed for long.
 * Each agent draws by its seed whether it dials, so that a few requests draw a few agents and not all of them.
 *
 * @param db - where workspaces wait, and links that were opened; changed in place
 * @param event - state of the slots
 * @returns the links to open or to release
 */
export const planExtraLinks = (db: ExchangeDb, event: SlotsEvent): ExchangeCommand[] => {
  const waiting = waitingByRouter(db, event)
  for (const router of db.extraLinks.keys()) {
    if (waiting.has(router)) db.extraLinks.set(router, event.now)
  }
  const target = event.free > 0 ? chooseRouter(db, waiting, event) : undefined
  const releases = releaseUnused(db, event.now)
  if (target === undefined) return releases
  db.extraLinks.set(target, event.now)
  return [...releases, { kind: 'dial', router: target }]
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
  const drawn = [...waiting].filter(([router, count]) =>
    !linked.has(router) && !db.extraLinks.has(router) && rank(router) < DIALS_PER_REQUEST * count / Math.max(1, upstreams))
  return drawn.map(([router]) => router).sort((a, b) => rank(a) - rank(b))[0]
}
