/** Finds how many requests an upstream bears, from the latency that it shows at the present limit. */
import { assertNever, clamp, type Millis } from '@fuchsiaworks/kernel'
import type { SampleKind } from './latencyWindow.js'
import type { LimitDb } from './limitDb.js'
import type { LimitCommand, LimitEvent } from './limitTypes.js'

/** Samples from which a 95th percentile is read. */
const MIN_SAMPLES = 20

/** Share of the target under which the limit may grow. */
const GROW_BELOW = 0.9

/** Largest growth of a cold upstream's limit in one step. */
const COLD_STEP = 1.5

/** Largest growth of a ready upstream's limit in one step. */
const READY_STEP = 1.25

/** Share of the last limit that missed, from which the limit grows by one. */
const NEAR_CEILING = 0.85

/** Largest fall of the limit in one step. */
const MAX_FALL = 0.6

/** Smallest fall of the limit in one step. */
const MIN_FALL = 0.95

/** Good completions, at least, that prove a cold upstream's limit. */
const MIN_PROOF = 3

/** Growth over coldConcurrency from which an upstream without a known knee counts as ready. */
const READY_GROWTH = 8

/** Multiple of its own record that shows an upstream to be cold again. */
const JUMP_FACTOR = 3

/** Multiple of the target for the first byte after which a silent request counts as a sample. */
const OVERDUE_FACTOR = 3

/** Timeouts in a row after which the upstream counts as down. */
const TIMEOUTS_DOWN = 3

/** Milliseconds for which a load report bounds the limit, counted from its measurement. */
const REPORT_LIFE_MS = 5_000

const goCold = (db: LimitDb, now: Millis, reason: string): void => {
  db.setState('cold', reason)
  db.setLimit(Math.min(db.limit, db.config.coldConcurrency), now, reason)
  db.forgetRecent()
  db.timeouts = 0
}

const goDown = (db: LimitDb, now: Millis, reason: string): void => {
  if (db.state === 'down') return
  db.setState('down', reason)
  db.setLimit(db.config.coldConcurrency, now, reason)
  db.forgetRecent()
  db.probe.due = undefined
  db.probe.inFlight = false
  db.probe.failures = 0
}

const fall = (db: LimitDb, now: Millis, pressure: number, reason: string): void => {
  db.ceiling = db.limit
  const share = clamp(1 / pressure, MAX_FALL, MIN_FALL)
  const floor = db.state === 'cold' ? Math.min(db.config.coldConcurrency, db.limit) : 1
  db.setLimit(Math.max(floor, db.limit * share), now, reason)
}

const grownLimit = (db: LimitDb, pressure: number): number => {
  if (db.state === 'cold') return Math.ceil(db.limit * COLD_STEP)
  const next = db.limit + 1
  if (db.ceiling > 0 && db.limit >= NEAR_CEILING * db.ceiling) return next
  const headroom = Math.min(READY_STEP, 1 + (1 / Math.max(pressure, 0.5) - 1) / 2)
  return Math.max(next, Math.floor(db.limit * headroom))
}

const grow = (db: LimitDb, now: Millis, pressure: number): void => {
  if (db.limit >= db.config.hardCap) {
    db.restartWindow()
    if (db.state === 'cold') db.setState('ready', 'hard cap reached within target')
    return
  }
  db.setLimit(grownLimit(db, pressure), now, 'full and within target')
  if (db.state === 'cold' && db.limit >= READY_GROWTH * db.config.coldConcurrency) db.setState('ready', 'proved by completions')
}

const enoughSamples = (db: LimitDb): boolean => {
  if (db.state === 'cold') return db.proved >= Math.max(MIN_PROOF, db.limit)
  return db.window.size >= Math.max(MIN_SAMPLES, db.limit)
}

/** Judges the window once it holds enough samples. */
const evaluate = (db: LimitDb, now: Millis): void => {
  if (db.state === 'down' || !db.settled) return
  const pressure = db.window.pressure()
  const missed = pressure > 1 && db.window.size >= Math.min(MIN_SAMPLES, Math.max(MIN_PROOF, db.limit))
  if (missed) return fall(db, now, pressure, 'target missed')
  if (!enoughSamples(db)) return
  if (db.state === 'ready') db.learn()
  if (!db.full) return db.restartWindow()
  if (pressure < GROW_BELOW) return grow(db, now, pressure)
  db.restartWindow()
  if (db.state === 'cold') db.setState('ready', 'knee found')
}

const takeSample = (db: LimitDb, now: Millis, kind: SampleKind, value: Millis): void => {
  if (db.state === 'down') return
  db.addSample(kind, db.ratio(kind, value))
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
      return fall(db, event.now, 1 / MAX_FALL, 'refused as overloaded')
    default:
      return assertNever(event.reason)
  }
}

const onEnded = (db: LimitDb, event: Extract<LimitEvent, { kind: 'ended' }>): void => {
  const ran = db.running.get(event.request)
  db.running.delete(event.request)
  if (ran === undefined || !event.ok) return
  db.timeouts = 0
  if (ran.epoch === db.epoch) db.proved += 1
  evaluate(db, event.now)
}

const onLoadReport = (db: LimitDb, event: Extract<LimitEvent, { kind: 'load-report' }>): void => {
  const measuredAt = event.now - event.age
  if (measuredAt < db.changedAt || event.age >= REPORT_LIFE_MS) return
  if (event.cold === true && db.state === 'ready') goCold(db, event.now, 'reported cold')
  if (event.waiting === 0) {
    db.bound = undefined
    return
  }
  db.bound = { value: Math.max(1, event.running), until: measuredAt + REPORT_LIFE_MS }
}

/** Counts requests whose first byte is late as samples before they end. */
const countOverdue = (db: LimitDb, now: Millis): void => {
  for (const request of db.running.values()) {
    if (request.sampled || db.ratio('first-byte', now - request.startedAt) < OVERDUE_FACTOR) continue
    request.sampled = true
    takeSample(db, now, 'first-byte', now - request.startedAt)
  }
}

const probeWhenDue = (db: LimitDb, now: Millis, random: number): LimitCommand[] => {
  if (db.state !== 'down' || db.probe.inFlight) return []
  if (db.probe.due === undefined) {
    const wait = Math.min(db.config.probeMax, db.config.probeBase * 2 ** db.probe.failures)
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
      db.running.set(event.request, { startedAt: event.now, epoch: db.epoch, sampled: false })
      if (db.running.size >= db.effective(event.now)) db.full = true
      return []
    case 'first-byte': {
      const request = db.running.get(event.request)
      if (request === undefined || request.sampled) return []
      request.sampled = true
      takeSample(db, event.now, 'first-byte', event.latency)
      return []
    }
    case 'token-gap':
      if (db.running.has(event.request)) takeSample(db, event.now, 'token-gap', event.gap)
      return []
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
      goCold(db, event.now, 'restarted')
      return []
    case 'tick':
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
export const decideLimit = (db: LimitDb, event: LimitEvent): LimitCommand[] => [...apply(db, event), ...db.publish(event.now)]
