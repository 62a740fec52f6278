/** Assesses whether a key without an entry at its home may have run before. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { ClockReading, HomePeriod } from './homeHistory.js'
import type { KeysDb } from './keysDb.js'
import type { PreviousHome, ScopedKey } from './keysTypes.js'
import { uuidTime } from './uuidTime.js'

/** A key under assessment, with the current monotonic and wall-clock time. */
export interface AssessedKey extends ScopedKey {
  readonly now: Millis
  readonly wall: Millis
}

/** Assessment of a key without an entry: it never ran, its previous home has to be queried, or it may have run. */
export type KeyAssessment =
  { readonly kind: 'never' } |
  /** The key did not run here; the previous home knows whether it ran there. */
  { readonly kind: 'earlier', readonly home: PreviousHome } |
  { readonly kind: 'unknown' }

/** True when a key may be older than its move here (`since`), and so may have run at another home. */
const mayHaveRunElsewhere = (db: KeysDb, key: AssessedKey, since: ClockReading | undefined): boolean => {
  if (since === undefined) return false
  const { window, callerSkew, hostSkew, configPropagation } = db.config
  const createdAt = uuidTime(key.key)
  if (createdAt === undefined) return key.now < since.now + window + configPropagation
  return createdAt <= since.wall + configPropagation + callerSkew + hostSkew
}

/** True when a key may have run here and its entry may since have expired or been evicted. */
const mayHaveBeenEvicted = (db: KeysDb, key: AssessedKey): boolean => {
  const { window, callerSkew, hostSkew } = db.config
  const createdAt = uuidTime(key.key)
  const evictedKeys = db.evictedKeys(key.workspace)
  if (createdAt === undefined) return key.now < evictedKeys.opaqueUntil
  return createdAt <= Math.max(evictedKeys.uuidsUntil, key.wall - window + callerSkew + hostSkew)
}

/**
 * True when this process had run for at least the configuration propagation time when the key moved here. A process that
 * started later must not query the previous home: before its restart it may itself have been the home and have run the key,
 * which the previous home does not know.
 */
const startedWellBefore = (db: KeysDb, key: AssessedKey, at: ClockReading): boolean =>
  at.now - (db.history(key.service).knownSince?.now ?? -Infinity) >= db.config.configPropagation

/**
 * Assesses a key that has no entry here.
 *
 * @param db - the keys of this home
 * @param key - the key
 * @param period - the period in which this was its home; undefined when that is not known
 * @returns whether the key may have run, and which previous home to query
 */
export const assessKey = (db: KeysDb, key: AssessedKey, period: HomePeriod | undefined): KeyAssessment => {
  if (period === undefined || mayHaveBeenEvicted(db, key)) return { kind: 'unknown' }
  if (!mayHaveRunElsewhere(db, key, period.since)) return { kind: 'never' }
  if (period.move === undefined || !startedWellBefore(db, key, period.move.at)) return { kind: 'unknown' }
  const { upstream, revision } = period.move
  return { kind: 'earlier', home: { upstream, revision } }
}

/**
 * Finds the period in which this was the home of a key.
 *
 * @param db - the keys of this home
 * @param key - the key
 * @param revision - a revision within that period
 */
export const homePeriodOf = (db: KeysDb, key: ScopedKey, revision: number): HomePeriod | undefined =>
  db.history(key.service).periodAt(db.subject(key), db.self, revision)
