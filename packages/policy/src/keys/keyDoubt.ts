/** Judges whether a key that a home does not remember may have run before. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { Moment, Stay } from './homeHistory.js'
import type { KeysDb } from './keysDb.js'
import type { FormerHome, ScopedKey } from './keysTypes.js'
import { uuidTime } from './uuidTime.js'

/** A key that is judged, with the present readings of both clocks. */
export interface JudgedKey extends ScopedKey {
  readonly now: Millis
  readonly wall: Millis
}

/** What a home can say of a key that it does not remember. */
export type KeyJudgement =
  { readonly kind: 'never' } |
  /** It did not run here; the home before can tell whether it ran there. */
  { readonly kind: 'earlier', readonly home: FormerHome } |
  { readonly kind: 'unknown' }

/** True when a key may have run at another home before it came here. */
const mayHaveRunElsewhere = (db: KeysDb, key: JudgedKey, since: Moment | undefined): boolean => {
  if (since === undefined) return false
  const { window, callerSkew, hostSkew, configPropagation: spread } = db.config
  const made = uuidTime(key.key)
  if (made === undefined) return key.now < since.now + window + spread
  return made <= since.wall + spread + callerSkew + hostSkew
}

/** True when a key may have run here and been forgotten. */
const mayBeForgotten = (db: KeysDb, key: JudgedKey): boolean => {
  const { window, callerSkew, hostSkew } = db.config
  const made = uuidTime(key.key)
  const forgotten = db.forgotten(key.workspace)
  if (made === undefined) return key.now < forgotten.opaqueUntil
  return made <= Math.max(forgotten.timedUntil, key.wall - window + callerSkew + hostSkew)
}

/** A home that started shortly before a key came asks nobody: its former life may have been the home already. */
const startedLongBefore = (db: KeysDb, key: JudgedKey, at: Moment): boolean =>
  at.now - (db.history(key.service).began?.now ?? -Infinity) >= db.config.configPropagation

/**
 * Judges a key that is not remembered here.
 *
 * @param db - the keys of this home
 * @param key - the key
 * @param stay - the time in which this was its home; undefined when that is not known
 * @returns whether it may have run, and who can tell
 */
export const judgeKey = (db: KeysDb, key: JudgedKey, stay: Stay | undefined): KeyJudgement => {
  if (stay === undefined || mayBeForgotten(db, key)) return { kind: 'unknown' }
  if (!mayHaveRunElsewhere(db, key, stay.since)) return { kind: 'never' }
  if (stay.move === undefined || !startedLongBefore(db, key, stay.move.at)) return { kind: 'unknown' }
  const { upstream, revision } = stay.move
  return { kind: 'earlier', home: { upstream, revision } }
}

/**
 * Finds the time in which this was the home of a key.
 *
 * @param db - the keys of this home
 * @param key - the key
 * @param revision - a revision within that time
 */
export const stayOf = (db: KeysDb, key: ScopedKey, revision: number): Stay | undefined =>
  db.history(key.service).stayAt(db.subject(key), db.self, revision)
