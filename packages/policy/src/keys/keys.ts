/** Decides at the home of an idempotency key whether a request may run: each key runs at most once. */
import { assertNever, type RequestId } from '@fuchsiaworks/kernel'
import { assessKey, type KeyAssessment, homePeriodOf } from './keyAssessment.js'
import { dropMovedQueries, replayOrNotStored, withdrawFromQuery, onQueryResult } from './keyHandoff.js'
import type { KeyEntry, KeysDb, KeyState } from './keysDb.js'
import type { ScopedKey, KeysCommand, KeysEvent } from './keysTypes.js'
import { uuidTime } from './uuidTime.js'

type KeyPresented = Extract<KeysEvent, { kind: 'key-presented' }>

const onKnownKey = (db: KeysDb, entry: KeyEntry, event: KeyPresented): KeysCommand[] => {
  const { request } = event
  if (entry.fingerprint !== event.fingerprint) return [{ kind: 'conflict', request }]
  switch (entry.state.kind) {
    case 'unknown':
      return [{ kind: 'answer-unknown', request }]
    case 'ended':
      return [replayOrNotStored(request, entry.state.answer)]
    case 'asking':
    case 'running':
      if (entry.waiters.length >= db.config.maxWaiters) return [{ kind: 'refuse', request, reason: 'too-many-waiters' }]
      entry.waiters.push(request)
      return [{ kind: 'wait', request, first: entry.state.first }]
    default:
      return assertNever(entry.state)
  }
}

const onPresented = (db: KeysDb, event: KeyPresented): KeysCommand[] => {
  const { request } = event
  if (!db.isHome(event)) return [{ kind: 'refuse', request, reason: 'not-home' }]
  const entry = db.find(event)
  if (entry !== undefined) return onKnownKey(db, entry, event)
  const createdAt = uuidTime(event.key)
  if (createdAt !== undefined && createdAt > event.wall + db.config.callerSkew) return [{ kind: 'refuse', request, reason: 'key-from-future' }]
  const assessment = assessKey(db, event, homePeriodOf(db, event, db.history(event.service).revision))
  return assessment.kind === 'unknown' ? [{ kind: 'answer-unknown', request }] : startOrQuery(db, event, assessment)
}

/** Starts the first run of a key, or queries its previous home first. */
const startOrQuery = (db: KeysDb, { request, fingerprint, now, service, workspace, key }: KeyPresented, assessment: Exclude<KeyAssessment, { kind: 'unknown' }>): KeysCommand[] => {
  const name = { service, workspace, key }
  const ask = db.nextQueryNumber()
  const state: KeyState = assessment.kind === 'never' ? { kind: 'running', first: request } : { kind: 'asking', first: request, ask }
  if (!db.add(name, fingerprint, state, now)) return [{ kind: 'refuse', request, reason: 'too-many-keys' }]
  if (assessment.kind === 'never') return [{ kind: 'run', request }]
  const { upstream, revision } = assessment.home
  return [{ kind: 'ask', request, ask, upstream, query: { ...name, fingerprint, revision } }]
}

const takeWaiters = (entry: KeyEntry): RequestId[] => {
  const waiters = entry.waiters
  entry.waiters = []
  return waiters
}

const onRunFailed = (db: KeysDb, entry: KeyEntry, event: Extract<KeysEvent, { kind: 'run-failed' }>): KeysCommand[] => {
  switch (event.outcome) {
    case 'not-run': {
      const [next, ...rest] = takeWaiters(entry)
      if (next === undefined) {
        db.remove(entry)
        return []
      }
      entry.state = { kind: 'running', first: next }
      entry.since = event.now
      entry.waiters = rest
      return [{ kind: 'run', request: next }]
    }
    case 'unknown':
      entry.state = { kind: 'unknown' }
      entry.since = event.now
      return takeWaiters(entry).map(request => ({ kind: 'answer-unknown', request }))
    case 'ran':
      db.recordEnd(entry, undefined, event.now)
      return takeWaiters(entry).map(request => replayOrNotStored(request, undefined))
    default:
      return assertNever(event.outcome)
  }
}

/** Finds the entry of a key that is running. */
const runningEntry = (db: KeysDb, name: ScopedKey): KeyEntry | undefined => {
  const entry = db.find(name)
  return entry?.state.kind === 'running' ? entry : undefined
}

/**
 * Applies one event and returns the resulting commands.
 *
 * @param db - the keys of this home; changed in place
 * @param event - the event
 * @returns the commands, in order of execution
 */
export const decideKeys = (db: KeysDb, event: KeysEvent): KeysCommand[] => {
  switch (event.kind) {
    case 'upstreams-listed':
      db.setUpstreams(event.service, event.upstreams, { now: event.now, wall: event.wall }, event.revision)
      return dropMovedQueries(db)
    case 'key-presented':
      return onPresented(db, event)
    case 'run-started': {
      const entry = runningEntry(db, event)
      if (entry !== undefined) entry.since = event.now
      return []
    }
    case 'response-recorded': {
      const entry = runningEntry(db, event)
      if (entry === undefined) return []
      db.recordEnd(entry, event.answer, event.now)
      return takeWaiters(entry).map(request => replayOrNotStored(request, event.answer))
    }
    case 'run-failed': {
      const entry = runningEntry(db, event)
      return entry === undefined ? [] : onRunFailed(db, entry, event)
    }
    case 'waiter-gone': {
      const entry = db.find(event)
      if (entry === undefined) return []
      entry.waiters = entry.waiters.filter(request => request !== event.request)
      if (entry.state.kind === 'asking') withdrawFromQuery(db, entry, entry.state, event.request)
      return []
    }
    case 'key-told':
      return onQueryResult(db, event)
    case 'tick':
      db.expire(event.now)
      return []
    default:
      return assertNever(event)
  }
}
