/** Decides at a key's home whether a keyed request may run: at most once for each key. */
import { assertNever, type RequestId } from '@fuchsiaworks/kernel'
import { judgeKey, type KeyJudgement, stayOf } from './keyDoubt.js'
import { dropMovedQuestions, finish, leaveQuestion, onTold } from './keyHandoff.js'
import type { KeyEntry, KeysDb, KeyState } from './keysDb.js'
import type { ScopedKey, KeysCommand, KeysEvent } from './keysTypes.js'
import { uuidTime } from './uuidTime.js'

type KeyPresented = Extract<KeysEvent, { kind: 'key-presented' }>

const onKnown = (db: KeysDb, entry: KeyEntry, event: KeyPresented): KeysCommand[] => {
  const { request } = event
  if (entry.fingerprint !== event.fingerprint) return [{ kind: 'conflict', request }]
  switch (entry.state.kind) {
    case 'unknown':
      return [{ kind: 'answer-unknown', request }]
    case 'ended':
      return [finish(request, entry.state.answer)]
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
  if (entry !== undefined) return onKnown(db, entry, event)
  const made = uuidTime(event.key)
  if (made !== undefined && made > event.wall + db.config.callerSkew) return [{ kind: 'refuse', request, reason: 'key-from-future' }]
  const judgement = judgeKey(db, event, stayOf(db, event, db.history(event.service).revision))
  return judgement.kind === 'unknown' ? [{ kind: 'answer-unknown', request }] : open(db, event, judgement)
}

/** Runs a key, or asks the home before whether it may run. */
const open = (db: KeysDb, { request, fingerprint, now, service, workspace, key }: KeyPresented, judgement: Exclude<KeyJudgement, { kind: 'unknown' }>): KeysCommand[] => {
  const name = { service, workspace, key }
  const ask = db.nextAsk()
  const state: KeyState = judgement.kind === 'never' ? { kind: 'running', first: request } : { kind: 'asking', first: request, ask }
  if (!db.add(name, fingerprint, state, now)) return [{ kind: 'refuse', request, reason: 'too-many-keys' }]
  if (judgement.kind === 'never') return [{ kind: 'run', request }]
  const { upstream, revision } = judgement.home
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
      db.endWith(entry, undefined, event.now)
      return takeWaiters(entry).map(request => finish(request, undefined))
    default:
      return assertNever(event.outcome)
  }
}

/** Finds the entry of a run that has not ended. */
const runningEntry = (db: KeysDb, name: ScopedKey): KeyEntry | undefined => {
  const entry = db.find(name)
  return entry?.state.kind === 'running' ? entry : undefined
}

/**
 * Takes one event and returns the commands that follow from it.
 *
 * @param db - the keys that this home remembers; changed in place
 * @param event - what happened
 * @returns the commands, in the order in which they are to be carried out
 */
export const decideKeys = (db: KeysDb, event: KeysEvent): KeysCommand[] => {
  switch (event.kind) {
    case 'upstreams-listed':
      db.setUpstreams(event.service, event.upstreams, { now: event.now, wall: event.wall }, event.revision)
      return dropMovedQuestions(db)
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
      db.endWith(entry, event.answer, event.now)
      return takeWaiters(entry).map(request => finish(request, event.answer))
    }
    case 'run-failed': {
      const entry = runningEntry(db, event)
      return entry === undefined ? [] : onRunFailed(db, entry, event)
    }
    case 'waiter-gone': {
      const entry = db.find(event)
      if (entry === undefined) return []
      entry.waiters = entry.waiters.filter(request => request !== event.request)
      if (entry.state.kind === 'asking') leaveQuestion(db, entry, entry.state, event.request)
      return []
    }
    case 'key-told':
      return onTold(db, event)
    case 'tick':
      db.expire(event.now)
      return []
    default:
      return assertNever(event)
  }
}
