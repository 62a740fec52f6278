/** Decides whether this process accepts new work: it must be configured, its zone must not be out of service and it must not be leaving. */
import type { Millis, ZoneId } from '@fuchsiaworks/kernel'
import { isLeaving, type MembershipDb } from './membershipDb.js'
import type { MembershipCommand, WorkState } from './membershipTypes.js'

const computeWorkState = (db: MembershipDb, now: Millis): WorkState => {
  if (isLeaving(db.selfLeaving)) return 'leaving'
  if (db.revision === 0) return 'unconfigured'
  if (db.zonesOut.has(db.config.zone)) return 'zone-out'
  if (db.returnAt !== undefined && now < db.returnAt) return 'returning'
  return 'open'
}

/**
 * Updates the work state.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 * @returns the commands if the state changed
 */
export const updateWorkState = (db: MembershipDb, now: Millis): MembershipCommand[] => {
  const state = computeWorkState(db, now)
  if (state === db.workState) return []
  const returned = db.workState === 'zone-out' || db.workState === 'returning'
  db.workState = state
  const commands: MembershipCommand[] = []
  if (returned && state === 'open' && db.config.role === 'agent') commands.push({ kind: 'start-cold' })
  commands.push({ kind: 'work-state', state })
  return commands
}

/**
 * Applies the list of zones that the configuration takes out of service.
 *
 * @param db - changed in place
 * @param zonesOut - zones that accept no new work
 */
export const setZonesOut = (db: MembershipDb, zonesOut: readonly ZoneId[]): void => {
  const wasOut = db.zonesOut.has(db.config.zone)
  db.zonesOut = new Set(zonesOut)
  if (db.zonesOut.has(db.config.zone)) db.returnAt = undefined
  else if (wasOut) db.returnAt = Infinity
}

/**
 * Draws the random delay after a zone's return, so that its agents do not all start at once.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 * @param random - uniform in [0, 1)
 */
export const scheduleReturn = (db: MembershipDb, now: Millis, random: number): void => {
  if (db.returnAt === Infinity) db.returnAt = now + random * db.config.returnJitter
}
