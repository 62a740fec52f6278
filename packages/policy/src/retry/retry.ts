/** Decides what follows a failed attempt: another attempt, an error response with the known outcome, or a closed connection. */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { OpenRequest, RetryDb } from './retryDb.js'
import type { DeclineReason, FailureOutcome, RetryCommand, RetryEvent } from './retryTypes.js'

/** Retry-After in milliseconds of responses to requests that may be sent again. */
const RETRY_AFTER_MS = 1_000

/** HTTP status for each outcome. */
const STATUS_BY_OUTCOME: Readonly<Record<FailureOutcome, number>> = { 'not-run': 503, unknown: 502, ran: 502 }

/** HTTP status of a request that reached its deadline. */
const DEADLINE_STATUS = 504

/** HTTP status of a request that crashed too many upstreams. */
const QUARANTINED_STATUS = 422

/** HTTP status when the first request with the same idempotency key is still running or its outcome is unknown. */
const KEY_CONFLICT_STATUS = 409

const respond = (
  db: RetryDb, request: OpenRequest, outcome: FailureOutcome, status: number, reason: string, retryAfter?: Millis
): RetryCommand[] => {
  db.forget(request)
  if (request.bytesSent) return [{ kind: 'cut', request: request.id }]
  return [{ kind: 'answer', request: request.id, outcome, status, retryAfter, reason }]
}

/** Outcome of the request over all attempts: an attempt that did not run does not exclude that an earlier one did. */
const requestOutcome = (request: OpenRequest, lastOutcome: FailureOutcome): FailureOutcome =>
  lastOutcome === 'not-run' && request.mayHaveRun ? 'unknown' : lastOutcome

const requeue = (db: RetryDb, request: OpenRequest, now: Millis): RetryCommand[] => {
  request.state = { kind: 'queued' }
  request.upstream = undefined
  if (now >= request.deadline) return respond(db, request, requestOutcome(request, 'not-run'), DEADLINE_STATUS, 'deadline', RETRY_AFTER_MS)
  return [{ kind: 'requeue', request: request.id, avoid: [...request.triedUpstreams] }]
}

const onDeclined = (db: RetryDb, request: OpenRequest, now: Millis, reason: DeclineReason): RetryCommand[] => {
  db.inDoubt.delete(request)
  switch (reason) {
    case 'expired':
    case 'not-accepting':
    case 'not-home':
      return requeue(db, request, now)
    case 'key-running':
      return respond(db, request, 'unknown', KEY_CONFLICT_STATUS, 'the first request of the key still runs', RETRY_AFTER_MS)
    case 'key-unknown':
      return respond(db, request, 'unknown', KEY_CONFLICT_STATUS, 'the key may have run before')
    case 'quarantined':
      return respond(db, request, requestOutcome(request, 'not-run'), QUARANTINED_STATUS, 'requests like this one ended upstreams')
    default:
      return assertNever(reason)
  }
}

/** Counts a failed attempt and retries when the deadline, the attempt limit and the retry budget allow it, else responds. */
const retryOrRespond = (db: RetryDb, request: OpenRequest, now: Millis, outcome: FailureOutcome, reason: string): RetryCommand[] => {
  request.attempts += 1
  if (request.upstream !== undefined) request.triedUpstreams.push(request.upstream)
  request.upstream = undefined
  const callerOutcome = requestOutcome(request, outcome)
  if (outcome !== 'not-run') request.mayHaveRun = true
  const respondRetryable = (detail: string, status = STATUS_BY_OUTCOME[callerOutcome]): RetryCommand[] => respond(db, request, callerOutcome, status, detail, RETRY_AFTER_MS)
  if (request.bytesSent) return respondRetryable(reason)
  if (!request.idempotent && outcome !== 'not-run') return respond(db, request, callerOutcome, STATUS_BY_OUTCOME[callerOutcome], reason)
  if (now >= request.deadline) return respondRetryable('deadline', DEADLINE_STATUS)
  if (request.attempts >= db.config.maxAttempts) return respondRetryable(`${reason}; no attempts left`)
  if (!db.budget.tryAcquire(request.service, request.workspace, now)) return respondRetryable(`${reason}; retry budget spent`)
  request.state = { kind: 'queued' }
  return [{ kind: 'retry', request: request.id, attempt: request.attempts, avoid: [...request.triedUpstreams] }]
}

const onSessionLost = (db: RetryDb, request: OpenRequest, now: Millis, peer: 'gone' | 'expired'): RetryCommand[] => {
  if (request.state.kind !== 'handed-over') return []
  const { accepted, at } = request.state
  const startableUntil = at + db.config.pullTtl + db.config.pullMargin
  if (accepted || peer === 'gone' || now >= startableUntil) return retryOrRespond(db, request, now, 'unknown', 'agent lost')
  request.state = { kind: 'in-doubt', decideAt: startableUntil }
  db.inDoubt.add(request)
  return []
}

const onResponseFailed = (db: RetryDb, request: OpenRequest, event: Extract<RetryEvent, { kind: 'response-failed' }>): RetryCommand[] => {
  db.inDoubt.delete(request)
  if (event.quarantined) return respond(db, request, requestOutcome(request, event.outcome), QUARANTINED_STATUS, 'requests like this one ended upstreams')
  return retryOrRespond(db, request, event.now, event.outcome, event.crashed ? 'upstream ended' : 'upstream failed')
}

const onTick = (db: RetryDb, now: Millis): RetryCommand[] => {
  const commands: RetryCommand[] = []
  for (const request of db.inDoubt) {
    if (request.state.kind !== 'in-doubt' || now < request.state.decideAt) continue
    db.inDoubt.delete(request)
    commands.push(...retryOrRespond(db, request, now, 'unknown', 'agent lost'))
  }
  return commands
}

const onOpened = (db: RetryDb, event: Extract<RetryEvent, { kind: 'request-opened' }>): void => {
  const { request, workspace, service, idempotent, deadline } = event
  db.budget.recordFirstAttempt(service, workspace, event.now)
  db.requests.set(request, {
    id: request, workspace, service, idempotent, deadline, attempts: 0, mayHaveRun: false, triedUpstreams: [], upstream: undefined, bytesSent: false, state: { kind: 'queued' }
  })
}

type AttemptEvent = Extract<RetryEvent, { kind: 'accepted' | 'declined' | 'session-lost' | 'response-failed' }>

const onAttemptEvent = (db: RetryDb, request: OpenRequest, event: AttemptEvent): RetryCommand[] => {
  if (event.upstream !== request.upstream) return []
  switch (event.kind) {
    case 'accepted':
      if (request.state.kind === 'handed-over') request.state = { ...request.state, accepted: true }
      return []
    case 'declined':
      return onDeclined(db, request, event.now, event.reason)
    case 'session-lost':
      return onSessionLost(db, request, event.now, event.peer)
    case 'response-failed':
      return onResponseFailed(db, request, event)
    default:
      return assertNever(event)
  }
}

const onRequestEvent = (
  db: RetryDb, request: OpenRequest, event: Exclude<RetryEvent, { kind: 'request-opened' | 'tick' }>
): RetryCommand[] => {
  switch (event.kind) {
    case 'attempt-started':
      request.upstream = event.upstream
      request.state = { kind: 'handed-over', at: event.now, accepted: false }
      return []
    case 'accepted':
    case 'declined':
    case 'session-lost':
    case 'response-failed':
      return onAttemptEvent(db, request, event)
    case 'bytes-sent':
      request.bytesSent = true
      return []
    case 'caller-gone':
      db.forget(request)
      return [{ kind: 'abandon', request: request.id, held: request.state.kind === 'handed-over' }]
    case 'request-closed':
      db.forget(request)
      return []
    default:
      return assertNever(event)
  }
}

/**
 * Applies one event and returns the resulting commands. Events of unknown requests are ignored.
 *
 * @param db - the open requests and the retry budget; changed in place
 * @param event - what happened
 * @returns commands in order of execution
 */
export const decideRetry = (db: RetryDb, event: RetryEvent): RetryCommand[] => {
  if (event.kind === 'tick') return onTick(db, event.now)
  if (event.kind === 'request-opened') {
    onOpened(db, event)
    return []
  }
  const request = db.requests.get(event.request)
  return request === undefined ? [] : onRequestEvent(db, request, event)
}
