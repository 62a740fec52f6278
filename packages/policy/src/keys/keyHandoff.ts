/** Hands the knowledge of a key from its previous homes to its present one. */
import { assertNever, type Millis, type RequestId } from '@fuchsiaworks/kernel'
import { type JudgedKey, judgeKey, type KeyJudgement, stayOf } from './keyDoubt.js'
import type { KeyEntry, KeysDb, KeyState } from './keysDb.js'
import type { KeyQueryResult, KeyQuery, KeysCommand, KeysEvent } from './keysTypes.js'
import { uuidTime } from './uuidTime.js'

type KeyTold = Extract<KeysEvent, { kind: 'key-told' }>
type Asking = Extract<KeyState, { kind: 'asking' }>

/**
 * Answers the present home of a key. Once this has told that a key never ran here, it refuses the key as long as its home is
 * elsewhere; when the home moves back, the key counts as moved.
 *
 * @param db - the keys of the previous home
 * @param question - the key, and the revision that moved it
 * @returns what is known here
 */
export const answerKeyQuery = (db: KeysDb, question: KeyQuery & JudgedKey): KeyQueryResult => {
  // A home here too means that one of the two has not heard of the newest revision.
  if (db.history(question.service).revision < question.revision || db.isHome(question)) return { kind: 'behind' }
  const entry = db.find(question)
  if (entry !== undefined) return fateOfEntry(entry, question)
  // It may have been presented that long ago, when less of its window had passed.
  const presented = { ...question, now: question.now - db.config.queryResultTtl }
  return judgeKey(db, presented, stayOf(db, question, question.revision - 1))
}

const fateOfEntry = ({ fingerprint, state }: KeyEntry, question: KeyQuery): KeyQueryResult => {
  if (fingerprint !== question.fingerprint) return { kind: 'conflict' }
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
export const finish = (request: RequestId, answer: Parameters<KeysDb['endWith']>[1]): KeysCommand =>
  answer === undefined ? { kind: 'response-not-stored', request } : { kind: 'replay', request, answer }

/** Takes what a previous home told of a key that is asked for; anything else is late and ignored. */
export const onTold = (db: KeysDb, event: KeyTold): KeysCommand[] => {
  const entry = db.find(event)
  if (entry?.state.kind !== 'asking' || entry.state.ask !== event.ask) return []
  const { queryResult: fate, now } = event
  const { first } = entry.state
  switch (fate.kind) {
    case 'never':
    case 'earlier':
    case 'unknown':
      return onJudgement(db, entry, entry.state, event, isTooLate(db, entry, now) ? { kind: 'unknown' } : fate)
    case 'running':
      return [{ kind: 'wait', request: first, first }]
    case 'behind':
      return []
    case 'ended': {
      const requests = takeRequests(entry, first)
      db.endWith(entry, fate.answer, now)
      return requests.map(request => finish(request, fate.answer))
    }
    case 'conflict':
      db.remove(entry)
      return takeRequests(entry, first).map(request => ({ kind: 'conflict', request }))
    default:
      return assertNever(fate)
  }
}

/** The previous home judged an opaque key as if it had been presented `toldWithin` ago at most. */
const isTooLate = (db: KeysDb, entry: KeyEntry, now: Millis): boolean =>
  uuidTime(entry.name.key) === undefined && now - entry.since > db.config.queryResultTtl

const takeRequests = (entry: KeyEntry, first: RequestId): RequestId[] => {
  const requests = [first, ...entry.waiters]
  entry.waiters = []
  return requests
}

const onJudgement = (db: KeysDb, entry: KeyEntry, state: Asking, event: KeyTold, judgement: KeyJudgement): KeysCommand[] => {
  const { first } = state
  switch (judgement.kind) {
    case 'never':
      entry.state = { kind: 'running', first }
      entry.since = event.now
      return [{ kind: 'run', request: first }]
    case 'earlier': {
      const { upstream, revision } = judgement.home
      // What this home itself did in an earlier stay it judges from its own memory.
      if (upstream === db.self) return onJudgement(db, entry, state, event, judgeKey(db, { ...event, now: entry.since }, stayOf(db, event, revision - 1)))
      const ask = db.nextAsk()
      entry.state = { kind: 'asking', first, ask }
      return [{ kind: 'ask', request: first, ask, upstream, query: { ...entry.name, fingerprint: entry.fingerprint, revision } }]
    }
    case 'unknown':
      db.remove(entry)
      return takeRequests(entry, first).map(request => ({ kind: 'answer-unknown', request }))
    default:
      return assertNever(judgement)
  }
}

/** Gives up questions about keys whose home has moved on; none of their requests has run. */
export const dropMovedQuestions = (db: KeysDb): KeysCommand[] => {
  const commands: KeysCommand[] = []
  for (const entry of db.asking()) {
    if (entry.state.kind !== 'asking' || db.isHome(entry.name)) continue
    db.remove(entry)
    for (const request of takeRequests(entry, entry.state.first)) commands.push({ kind: 'refuse', request, reason: 'not-home' })
  }
  return commands
}

/** Takes a request out of a question; the next one that waits takes its place. */
export const leaveQuestion = (db: KeysDb, entry: KeyEntry, state: Asking, request: RequestId): void => {
  if (state.first !== request) return
  const [next, ...rest] = entry.waiters
  if (next === undefined) return db.remove(entry)
  entry.state = { ...state, first: next }
  entry.waiters = rest
}
