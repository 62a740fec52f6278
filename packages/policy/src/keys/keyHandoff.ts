/** Transfers the run state of idempotency keys from their previous homes to the current one, by queries. */
import { assertNever, type Millis, type RequestId } from '@fuchsiaworks/kernel'
import { type AssessedKey, assessKey, type KeyAssessment, homePeriodOf } from './keyAssessment.js'
import type { KeyEntry, KeysDb, KeyState } from './keysDb.js'
import type { KeyQueryResult, KeyQuery, KeysCommand, KeysEvent } from './keysTypes.js'
import { uuidTime } from './uuidTime.js'

type QueryResultEvent = Extract<KeysEvent, { kind: 'key-told' }>
type QueryingState = Extract<KeyState, { kind: 'asking' }>

/**
 * Answers a query of the current home of a key. After the answer that a key never ran here, requests with it are refused
 * here for as long as its home is elsewhere; if the home moves back, the key is treated as moved.
 *
 * @param db - the keys of the previous home
 * @param query - the key, and the revision that moved it
 * @returns the state of the key at this previous home
 */
export const answerKeyQuery = (db: KeysDb, query: KeyQuery & AssessedKey): KeyQueryResult => {
  // If this upstream is also the home, one of the two has not applied the newest revision yet.
  if (db.history(query.service).revision < query.revision || db.isHome(query)) return { kind: 'behind' }
  const entry = db.find(query)
  if (entry !== undefined) return queryResultOf(entry, query)
  // The key may have been presented up to queryResultTtl ago, when less of its window had passed.
  const presented = { ...query, now: query.now - db.config.queryResultTtl }
  return assessKey(db, presented, homePeriodOf(db, query, query.revision - 1))
}

const queryResultOf = ({ fingerprint, state }: KeyEntry, query: KeyQuery): KeyQueryResult => {
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
 * Returns the command for a request whose key ran to its end.
 *
 * @param request - the request
 * @param answer - the stored response of the first run; undefined when it is no longer stored
 */
export const replayOrNotStored = (request: RequestId, answer: Parameters<KeysDb['recordEnd']>[1]): KeysCommand =>
  answer === undefined ? { kind: 'response-not-stored', request } : { kind: 'replay', request, answer }

/** Applies the answer of a previous home. Answers to queries that are no longer pending are late and are ignored. */
export const onQueryResult = (db: KeysDb, event: QueryResultEvent): KeysCommand[] => {
  const entry = db.find(event)
  if (entry?.state.kind !== 'asking' || entry.state.ask !== event.ask) return []
  const { queryResult, now } = event
  const { first } = entry.state
  switch (queryResult.kind) {
    case 'never':
    case 'earlier':
    case 'unknown':
      return onAssessment(db, entry, entry.state, event, isResultTooLate(db, entry, now) ? { kind: 'unknown' } : queryResult)
    case 'running':
      return [{ kind: 'wait', request: first, first }]
    case 'behind':
      return []
    case 'ended': {
      const requests = takeAllRequests(entry, first)
      db.recordEnd(entry, queryResult.answer, now)
      return requests.map(request => replayOrNotStored(request, queryResult.answer))
    }
    case 'conflict':
      db.remove(entry)
      return takeAllRequests(entry, first).map(request => ({ kind: 'conflict', request }))
    default:
      return assertNever(queryResult)
  }
}

/**
 * True when an opaque key was presented more than `queryResultTtl` ago. The previous home assesses the key as presented at
 * most that long ago, so its answer does not hold for an earlier presentation.
 */
const isResultTooLate = (db: KeysDb, entry: KeyEntry, now: Millis): boolean =>
  uuidTime(entry.name.key) === undefined && now - entry.since > db.config.queryResultTtl

const takeAllRequests = (entry: KeyEntry, first: RequestId): RequestId[] => {
  const requests = [first, ...entry.waiters]
  entry.waiters = []
  return requests
}

const onAssessment = (db: KeysDb, entry: KeyEntry, state: QueryingState, event: QueryResultEvent, assessment: KeyAssessment): KeysCommand[] => {
  const { first } = state
  switch (assessment.kind) {
    case 'never':
      entry.state = { kind: 'running', first }
      entry.since = event.now
      return [{ kind: 'run', request: first }]
    case 'earlier': {
      const { upstream, revision } = assessment.home
      // If the earlier home is this upstream, it assesses the key from its own entries.
      if (upstream === db.self) return onAssessment(db, entry, state, event, assessKey(db, { ...event, now: entry.since }, homePeriodOf(db, event, revision - 1)))
      const ask = db.nextQueryNumber()
      entry.state = { kind: 'asking', first, ask }
      return [{ kind: 'ask', request: first, ask, upstream, query: { ...entry.name, fingerprint: entry.fingerprint, revision } }]
    }
    case 'unknown':
      db.remove(entry)
      return takeAllRequests(entry, first).map(request => ({ kind: 'answer-unknown', request }))
    default:
      return assertNever(assessment)
  }
}

/** Abandons queries about keys whose home has moved again, and refuses the requests that wait for them; none of these has run. */
export const dropMovedQueries = (db: KeysDb): KeysCommand[] => {
  const commands: KeysCommand[] = []
  for (const entry of db.queryingEntries()) {
    if (entry.state.kind !== 'asking' || db.isHome(entry.name)) continue
    db.remove(entry)
    for (const request of takeAllRequests(entry, entry.state.first)) commands.push({ kind: 'refuse', request, reason: 'not-home' })
  }
  return commands
}

/** Removes the first request of a query; the next waiting request takes its place, and without one the key is removed. */
export const withdrawFromQuery = (db: KeysDb, entry: KeyEntry, state: QueryingState, request: RequestId): void => {
  if (state.first !== request) return
  const [next, ...rest] = entry.waiters
  if (next === undefined) return db.remove(entry)
  entry.state = { ...state, first: next }
  entry.waiters = rest
}
