/** Adaptive concurrency limit: estimates how many requests an upstream can run at once from its latency under the current limit. */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { SampleKind } from './latencyWindow.js'
import type { LimitDb } from './limitDb.js'
import { evaluate, decreaseLimit, enterColdStart, enterDown } from './limitSteps.js'
import type { LimitCommand, LimitEvent } from './limitTypes.js'

/** An upstream whose recent median latency exceeds its usual median by this factor is considered to be in cold start again. */
const JUMP_FACTOR = 3

/** Multiple of the first-byte target after which a request without a first byte counts as a latency sample. */
const OVERDUE_FACTOR = 3

/** Consecutive timeouts after which the upstream is considered down. */
const MAX_CONSECUTIVE_TIMEOUTS = 3

/** Pressure (ratio of latency to target) assumed when the upstream rejects a request as overloaded. */
const OVERLOAD_PRESSURE = 1.5

/** Milliseconds for which a load report caps the limit, counted from the time of its measurement. */
const REPORT_TTL_MS = 5_000

/** Consecutive reports with waiting requests that indicate a standing queue; a request that was just admitted also waits briefly. */
const STANDING_QUEUE_REPORTS = 3

/** Milliseconds since the last tick after which this process is considered to have been suspended. */
const MIN_PAUSE_MS = 1_000

const applySample = (db: LimitDb, now: Millis, kind: SampleKind, value: Millis): void => {
  if (db.state === 'down') return
  db.addSample(kind, value, now)
  if (db.state === 'ready' && db.hasLatencyJump(kind, JUMP_FACTOR)) return enterColdStart(db, now, 'latency jumped above its own record')
  evaluate(db, now)
}

const onFailed = (db: LimitDb, event: Extract<LimitEvent, { kind: 'failed' }>): void => {
  const request = db.running.get(event.request)
  db.running.delete(event.request)
  switch (event.reason) {
    case 'crashed': return enterDown(db, event.now, 'upstream ended')
    case 'refused': return enterDown(db, event.now, 'connection refused')
    case 'timeout':
      db.consecutiveTimeouts += 1
      if (db.consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS) return enterDown(db, event.now, 'timeouts in a row')
      return
    case 'overloaded':
      if (db.state === 'down' || request?.epoch !== db.epoch) return
      return decreaseLimit(db, event.now, OVERLOAD_PRESSURE, 'refused as overloaded')
    default:
      return assertNever(event.reason)
  }
}

const onEnded = (db: LimitDb, event: Extract<LimitEvent, { kind: 'ended' }>): void => {
  const request = db.running.get(event.request)
  db.running.delete(event.request)
  if (request === undefined || !event.ok) return
  db.consecutiveTimeouts = 0
  if (request.epoch === db.epoch) db.recordSuccess(request)
  evaluate(db, event.now)
}

const onLoadReport = (db: LimitDb, event: Extract<LimitEvent, { kind: 'load-report' }>): void => {
  const measuredAt = event.now - event.age
  if (measuredAt < db.limitChangedAt || event.age >= REPORT_TTL_MS) return
  if (event.cold === true && db.state === 'ready') enterColdStart(db, event.now, 'reported cold')
  db.consecutiveWaitingReports = event.waiting === 0 ? 0 : db.consecutiveWaitingReports + 1
  if (event.waiting === 0) db.reportBound = undefined
  if (db.consecutiveWaitingReports < STANDING_QUEUE_REPORTS) return
  // The upstream holds no more requests than it was sent, so this cap never raises the limit; it only stops its queue from growing.
  db.reportBound = { value: Math.max(1, event.running + event.waiting), until: measuredAt + REPORT_TTL_MS }
}

/** Adds a sample for each running request whose first byte is overdue, without waiting for the request to end. */
const sampleOverdueRequests = (db: LimitDb, now: Millis): void => {
  for (const request of db.running.values()) {
    if (request.sampled || now - request.startedAt < OVERDUE_FACTOR * db.target('first-byte')) continue
    request.sampled = true
    applySample(db, now, 'first-byte', now - request.startedAt)
  }
}

const probeWhenDue = (db: LimitDb, now: Millis, random: number): LimitCommand[] => {
  if (db.state !== 'down' || db.probe.inFlight) return []
  if (db.probe.dueAt === undefined) {
    const waitMs = Math.min(db.config.probeMaxMs, db.config.probeBaseMs * 2 ** db.probe.failures)
    db.probe.dueAt = now + waitMs * (0.5 + random)
    return []
  }
  if (now < db.probe.dueAt) return []
  db.probe.inFlight = true
  return [{ kind: 'probe' }]
}

const onProbeEnded = (db: LimitDb, now: Millis, ok: boolean): void => {
  if (db.state !== 'down') return
  db.probe.inFlight = false
  db.probe.dueAt = undefined
  db.probe.failures += 1
  if (ok) enterColdStart(db, now, 'probe answered')
}

const applyEvent = (db: LimitDb, event: LimitEvent): LimitCommand[] => {
  switch (event.kind) {
    case 'started':
      db.running.set(event.request, { startedAt: event.now, epoch: db.epoch, sampled: false, spansPause: false, withinTargetSince: undefined, lastSuccessEpoch: -1 })
      db.peakRunning = Math.max(db.peakRunning, db.running.size)
      return []
    case 'first-byte': {
      const request = db.running.get(event.request)
      if (request === undefined || request.sampled) return []
      request.sampled = true
      applySample(db, event.now, 'first-byte', event.latency)
      return []
    }
    case 'token-gap': {
      const request = db.running.get(event.request)
      if (request === undefined) return []
      if (!request.spansPause) {
        db.applyTokenGap(request, event.gap, event.now)
        applySample(db, event.now, 'token-gap', event.gap)
      }
      request.spansPause = false
      return []
    }
    case 'ended':
      onEnded(db, event)
      return []
    case 'failed':
      onFailed(db, event)
      return []
    case 'load-report':
      onLoadReport(db, event)
      return []
    case 'probe-ended':
      onProbeEnded(db, event.now, event.ok)
      return []
    case 'restarted':
      if (db.state !== 'down') enterColdStart(db, event.now, 'restarted')
      return []
    case 'tick':
      db.lastTickAt = event.now
      sampleOverdueRequests(db, event.now)
      return probeWhenDue(db, event.now, event.random)
    default:
      return assertNever(event)
  }
}

/**
 * Applies one event and returns the resulting commands.
 *
 * @param db - state of the upstream's limit; changed in place
 * @param event - what happened at the upstream
 * @returns the commands, in the order in which they are to be executed
 */
export const decideLimit = (db: LimitDb, event: LimitEvent): LimitCommand[] => {
  if (db.lastTickAt !== undefined && event.now - db.lastTickAt >= MIN_PAUSE_MS) {
    db.discardSamplesAcrossPause()
    db.lastTickAt = event.now
  }
  return [...applyEvent(db, event), ...db.takeChanges(event.now)]
}
