/** Finds how many requests an upstream bears, from the latency that it shows at the present limit. */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { SampleKind } from './latencyWindow.js'
import type { LimitDb } from './limitDb.js'
import { evaluate, fall, goCold, goDown } from './limitSteps.js'
import type { LimitCommand, LimitEvent } from './limitTypes.js'

/** Multiple of its own record that shows an upstream to be cold again. */
const JUMP_FACTOR = 3

/** Multiple of the target for the first byte after which a silent request counts as a sample. */
const OVERDUE_FACTOR = 3

/** Timeouts in a row after which the upstream counts as down. */
const TIMEOUTS_DOWN = 3

/** Pressure that an explicit refusal for overload stands for. */
const OVERLOAD_PRESSURE = 1.5

/** Milliseconds for which a load report bounds the limit, counted from its measurement. */
const REPORT_LIFE_MS = 5_000

/** Reports in a row with waiting requests that show a standing queue; a request that was just admitted waits for a moment. */
const STANDING_REPORTS = 3

/** Milliseconds between two ticks from which this process counts as paused. */
const PAUSE_MS = 1_000

const takeSample = (db: LimitDb, now: Millis, kind: SampleKind, value: Millis): void => {
  if (db.state === 'down') return
  db.addSample(kind, value, now)
  if (db.state === 'ready' && db.jumped(kind, JUMP_FACTOR)) return goCold(db, now, 'latency jumped above its own record')
  evaluate(db, now)
}

const onFailed = (db: LimitDb, event: Extract<LimitEvent, { kind: 'failed' }>): void => {
  const ran = db.running.get(event.request)
  db.running.delete(event.request)
  switch (event.reason) {
    case 'crashed': return goDown(db, event.now, 'upstream ended')
    case 'refused': return goDown(db, event.now, 'connection refused')
    case 'timeout':
      db.timeouts += 1
      if (db.timeouts >= TIMEOUTS_DOWN) return goDown(db, event.now, 'timeouts in a row')
      return
    case 'overloaded':
      if (db.state === 'down' || ran?.epoch !== db.epoch) return
      return fall(db, event.now, OVERLOAD_PRESSURE, 'refused as overloaded')
    default:
      return assertNever(event.reason)
  }
}

const onEnded = (db: LimitDb, event: Extract<LimitEvent, { kind: 'ended' }>): void => {
  const ran = db.running.get(event.request)
  db.running.delete(event.request)
  if (ran === undefined || !event.ok) return
  db.timeouts = 0
  if (ran.epoch === db.epoch) db.prove(ran)
  evaluate(db, event.now)
}

const onLoadReport = (db: LimitDb, event: Extract<LimitEvent, { kind: 'load-report' }>): void => {
  const measuredAt = event.now - event.age
  if (measuredAt < db.changedAt || event.age >= REPORT_LIFE_MS) return
  if (event.cold === true && db.state === 'ready') goCold(db, event.now, 'reported cold')
  db.waitingReports = event.waiting === 0 ? 0 : db.waitingReports + 1
  if (event.waiting === 0) db.bound = undefined
  if (db.waitingReports < STANDING_REPORTS) return
  // What is in the upstream is no more than it was given; the bound keeps more from being added to its queue.
  db.bound = { value: Math.max(1, event.running + event.waiting), until: measuredAt + REPORT_LIFE_MS }
}

/** Counts requests whose first byte is late as samples before they end. */
const countOverdue = (db: LimitDb, now: Millis): void => {
  for (const request of db.running.values()) {
    if (request.sampled || now - request.startedAt < OVERDUE_FACTOR * db.target('first-byte')) continue
    request.sampled = true
    takeSample(db, now, 'first-byte', now - request.startedAt)
  }
}

const probeWhenDue = (db: LimitDb, now: Millis, random: number): LimitCommand[] => {
  if (db.state !== 'down' || db.probe.inFlight) return []
  if (db.probe.due === undefined) {
    const wait = Math.min(db.config.probeMaxMs, db.config.probeBaseMs * 2 ** db.probe.failures)
    db.probe.due = now + wait * (0.5 + random)
    return []
  }
  if (now < db.probe.due) return []
  db.probe.inFlight = true
  return [{ kind: 'probe' }]
}

const onProbeEnded = (db: LimitDb, now: Millis, ok: boolean): void => {
  if (db.state !== 'down') return
  db.probe.inFlight = false
  db.probe.due = undefined
  db.probe.failures += 1
  if (ok) goCold(db, now, 'probe answered')
}

const apply = (db: LimitDb, event: LimitEvent): LimitCommand[] => {
  switch (event.kind) {
    case 'started':
      db.running.set(event.request, { startedAt: event.now, epoch: db.epoch, sampled: false, overPause: false, goodSince: undefined, provedIn: -1 })
      db.peak = Math.max(db.peak, db.running.size)
      return []
    case 'first-byte': {
      const request = db.running.get(event.request)
      if (request === undefined || request.sampled) return []
      request.sampled = true
      takeSample(db, event.now, 'first-byte', event.latency)
      return []
    }
    case 'token-gap': {
      const request = db.running.get(event.request)
      if (request === undefined) return []
      if (!request.overPause) {
        db.followTokens(request, event.gap, event.now)
        takeSample(db, event.now, 'token-gap', event.gap)
      }
      request.overPause = false
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
      if (db.state !== 'down') goCold(db, event.now, 'restarted')
      return []
    case 'tick':
      db.tickedAt = event.now
      countOverdue(db, event.now)
      return probeWhenDue(db, event.now, event.random)
    default:
      return assertNever(event)
  }
}

/**
 * Takes one event and returns the commands that follow from it.
 *
 * @param db - state of the upstream's limit; changed in place
 * @param event - what happened at the upstream
 * @returns the commands, in the order in which they are to be carried out
 */
export const decideLimit = (db: LimitDb, event: LimitEvent): LimitCommand[] => {
  if (db.tickedAt !== undefined && event.now - db.tickedAt >= PAUSE_MS) {
    db.forgetPause()
    db.tickedAt = event.now
  }
  return [...apply(db, event), ...db.publish(event.now)]
}
