/** Hands the knowledge of a key from its previous homes to its present one. */
import { assertNever, type Millis, type RequestId } from '@fuchsiaworks/kernel'
import { type AssessedKey, assessKey, type KeyAssessment, homePeriodOf } from './keyAssessment.js'
import type { KeyEntry, KeysDb, KeyState } from './keysDb.js'
import type { KeyFate, KeyQuestion, KeysCommand, KeysEvent } from './keysTypes.js'
import { uuidTime } from './uuidTime.js'

type KeyTold = Extract<KeysEvent, { kind: 'key-told' }>
type AskingState = Extract<KeyState, { kind: 'asking' }>

/**
 * Answers the present home of a key. Once this has told that a key never ran here, it refuses the key as long as its home is
 * elsewhere; when the home moves back, the key counts as moved.
 *
 * @param db - the keys of the previous home
 * @param query - the key, and the revision that moved it
 * @returns what is known here
 */
export const fateOf = (db: KeysDb, query: KeyQuestion & AssessedKey): KeyFate => {
  // A home here too means that one of the two has not heard of the newest revision.
  if (db.history(query.service).revision < query.revision || db.isHome(query)) return { kind: 'behind' }
  const entry = db.find(query)
  if (entry !== undefined) return queryResultOf(entry, query)
  // It may have been presented that long ago, when less of its window had passed.
  const presented = { ...query, now: query.now - db.config.toldWithin }
  return assessKey(db, presented, homePeriodOf(db, query, query.revision - 1))
}

const queryResultOf = ({ fingerprint, state }: KeyEntry, query: KeyQuestion): KeyFate => {
  if (fingerprint !== query.fingerprint) return { kind: 'conflict' }
  switch (state.kind) {
    case 'running':
    case 'ended':
    case 'unknown':
      return state
    case 'asking':
      return { kind: 'unknown' }
    default:
      return assertNever(state)
  }
}

/**
 * Answers a request for a key that ended.
 *
 * @param request - the request
 * @param answer - the first answer, if it is still kept
 */
export const replayOrNotStored = (request: RequestId, answer: Parameters<KeysDb['recordEnd']>[1]): KeysCommand =>
  answer === undefined ? { kind: 'answer-ran', request } : { kind: 'replay', request, answer }

/** Takes what a previous home told of a key that is asked for; anything else is late and ignored. */
export const onQueryResult = (db: KeysDb, event: KeyTold): KeysCommand[] => {
  const entry = db.find(event)
  if (entry?.state.kind !== 'asking' || entry.state.ask !== event.ask) return []
  const { fate, now } = event
  const { first } = entry.state
  switch (fate.kind) {
    case 'never':
    case 'earlier':
    case 'unknown':
      return onAssessment(db, entry, entry.state, event, isResultTooLate(db, entry, now) ? { kind: 'unknown' } : fate)
    case 'running':
      return [{ kind: 'wait', request: first, first }]
    case 'behind':
      return []
    case 'ended': {
      const requests = takeRequests(entry, first)
      db.recordEnd(entry, fate.answer, now)
      return requests.map(request => replayOrNotStored(request, fate.answer))
    }
    case 'conflict':
      db.remove(entry)
      return takeRequests(entry, first).map(request => ({ kind: 'conflict', request }))
    default:
      return assertNever(fate)
  }
}

/** The previous home judged an opaque key as if it had been presented `toldWithin` ago at most. */
const isResultTooLate = (db: KeysDb, entry: KeyEntry, now: Millis): boolean =>
  uuidTime(entry.name.key) === undefined && now - entry.since > db.config.toldWithin

const takeRequests = (entry: KeyEntry, first: RequestId): RequestId[] => {
  const requests = [first, ...entry.waiters]
  entry.waiters = []
  return requests
}

const onAssessment = (db: KeysDb, entry: KeyEntry, state: AskingState, event: KeyTold, assessment: KeyAssessment): KeysCommand[] => {
  const { first } = state
  switch (assessment.kind) {
    case 'never':
      entry.state = { kind: 'running', first }
      entry.since = event.now
      return [{ kind: 'run', request: first }]
    case 'earlier': {
      const { upstream, revision } = assessment.home
      // What this home itself did in an earlier stay it judges from its own memory.
      if (upstream === db.self) return onAssessment(db, entry, state, event, assessKey(db, { ...event, now: entry.since }, homePeriodOf(db, event, revision - 1)))
      const ask = db.nextAskNumber()
      entry.state = { kind: 'asking', first, ask }
      return [{ kind: 'ask', request: first, ask, upstream, question: { ...entry.name, fingerprint: entry.fingerprint, revision } }]
    }
    case 'unknown':
      db.remove(entry)
      return takeRequests(entry, first).map(request => ({ kind: 'answer-unknown', request }))
    default:
      return assertNever(assessment)
  }
}

/** Gives up questions about keys whose home has moved on; none of their requests has run. */
export const dropMovedQueries = (db: KeysDb): KeysCommand[] => {
  const commands: KeysCommand[] = []
  for (const entry of db.entriesAsking()) {
    if (entry.state.kind !== 'asking' || db.isHome(entry.name)) continue
    db.remove(entry)
    for (const request of takeRequests(entry, entry.state.first)) commands.push({ kind: 'refuse', request, reason: 'not-home' })
  }
  return commands
}

/** Takes a request out of a question; the next one that waits takes its place. */
export const leaveQuery = (db: KeysDb, entry: KeyEntry, state: AskingState, request: RequestId): void => {
  if (state.first !== request) return
  const [next, ...rest] = entry.waiters
  if (next === undefined) return db.remove(entry)
  entry.state = { ...state, first: next }
  entry.waiters = rest
}
