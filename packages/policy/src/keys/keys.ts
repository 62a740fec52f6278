/** Decides at a key's home whether a keyed request may run: at most once for each key. */
import { assertNever, type RequestId } from '@fuchsiaworks/kernel'
import type { KeyEntry, KeysDb } from './keysDb.js'
import type { KeyName, KeysCommand, KeysEvent } from './keysTypes.js'
import { uuidTime } from './uuidTime.js'

type KeyPresented = Extract<KeysEvent, { kind: 'key-presented' }>

/** True when a key without an entry may have run before: here before the start, at an earlier home, or before it was forgotten. */
const mayHaveRun = (db: KeysDb, event: KeyPresented, made: number | undefined): boolean => {
  const { window, callerSkew, hostSkew, spread } = db.config
  const moved = db.history(event.service).movedAt(db.subject(event), db.self)
  const forgotten = db.forgotten(event.workspace)
  if (made === undefined) {
    const movedUntil = moved === undefined ? -Infinity : moved.now + window + spread
    return event.now < Math.max(movedUntil, forgotten.opaqueUntil)
  }
  const skew = callerSkew + hostSkew
  const movedWall = moved === undefined ? -Infinity : moved.wall + spread + skew
  const oldest = event.wall - window + skew
  return made <= Math.max(movedWall, forgotten.timedUntil, oldest)
}

const onKnown = (db: KeysDb, entry: KeyEntry, event: KeyPresented): KeysCommand[] => {
  const { request } = event
  if (entry.fingerprint !== event.fingerprint) return [{ kind: 'conflict', request }]
  switch (entry.state.kind) {
    case 'unknown':
      return [{ kind: 'answer-unknown', request }]
    case 'ended':
      return [finish(request, entry.state.answer)]
    case 'running':
      if (entry.waiters.length >= db.config.maxWaiters) return [{ kind: 'refuse', request, reason: 'too-many-waiters' }]
      entry.waiters.push(request)
      return [{ kind: 'wait', request, first: entry.state.first }]
    default:
      return assertNever(entry.state)
  }
}

const finish = (request: RequestId, answer: Parameters<KeysDb['endWith']>[1]): KeysCommand =>
  answer === undefined ? { kind: 'answer-ran', request } : { kind: 'replay', request, answer }

const onPresented = (db: KeysDb, event: KeyPresented): KeysCommand[] => {
  const { request } = event
  if (db.history(event.service).home(db.subject(event)) !== db.self) return [{ kind: 'refuse', request, reason: 'not-home' }]
  const entry = db.find(event)
  if (entry !== undefined) return onKnown(db, entry, event)
  const made = uuidTime(event.key)
  if (made !== undefined && made > event.wall + db.config.callerSkew) return [{ kind: 'refuse', request, reason: 'key-from-future' }]
  if (mayHaveRun(db, event, made)) return [{ kind: 'answer-unknown', request }]
  const name = { service: event.service, workspace: event.workspace, key: event.key }
  if (!db.addRunning(name, event.fingerprint, request, event.now)) return [{ kind: 'refuse', request, reason: 'too-many-keys' }]
  return [{ kind: 'run', request }]
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
const runningEntry = (db: KeysDb, name: KeyName): KeyEntry | undefined => {
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
      db.setUpstreams(event.service, event.upstreams, { now: event.now, wall: event.wall })
      return []
    case 'key-presented':
      return onPresented(db, event)
    case 'run-started': {
      const entry = runningEntry(db, event)
      if (entry !== undefined) entry.since = event.now
      return []
    }
    case 'answer-recorded': {
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
      if (entry !== undefined) entry.waiters = entry.waiters.filter(request => request !== event.request)
      return []
    }
    case 'tick':
      db.expire(event.now)
      return []
    default:
      return assertNever(event)
  }
}
