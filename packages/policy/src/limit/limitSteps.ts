/** Transitions of the limit: increases after successes, decreases on missed targets, and changes of state. */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import type { LimitDb } from './limitDb.js'

/** Minimum samples for a 95th percentile. */
const MIN_SAMPLES = 20

/** Minimum milliseconds that a window covers before the limit is decreased, so that one short stall does not count as overload. */
const MIN_SPAN_MS = 1_000

/** Milliseconds between two checks for a missed target. */
const JUDGE_PERIOD_MS = 100

/** Share of the slots that need a successful request before the limit is increased. */
const SHOWN_SHARE = 0.9

/** Pressure below which the limit is increased in proportion to the headroom. */
const GROW_BELOW = 0.9

/** Pressure from which the limit is held; between `GROW_BELOW` and this one it is increased by 1. */
const HOLD_FROM = 0.96

/** Factor by which the limit of a cold upstream is increased in one step. */
const COLD_STEP = 1.5

/** Largest factor by which the limit of a ready upstream is increased in one step. */
const READY_STEP = 1.5

/** Share of the last limit that missed its target from which the limit is increased by 1 only. */
const NEAR_CEILING = 0.85

/** Factor of the largest decrease in one step. */
const MAX_FALL = 0.6

/** Factor of the smallest decrease in one step. */
const MIN_FALL = 0.95

/** Minimum successes, or samples for a median, on which the limit is changed. */
const MIN_PROOF = 3

/** Multiple of `coldConcurrency` at which an upstream whose knee has not been found counts as ready. */
const READY_GROWTH = 8

/**
 * Puts the upstream into cold start: the limit drops to `coldConcurrency` at most.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 * @param reason - for operators
 */
export const goCold = (db: LimitDb, now: Millis, reason: string): void => {
  db.setState('cold', reason)
  db.setLimit(Math.min(db.limit, db.config.coldConcurrency), now, reason)
  db.forgetRecent()
  db.timeouts = 0
}

/**
 * Marks the upstream as down: no request may run until a probe succeeds.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 * @param reason - for operators
 */
export const goDown = (db: LimitDb, now: Millis, reason: string): void => {
  if (db.state === 'down') return
  db.setState('down', reason)
  db.setLimit(db.config.coldConcurrency, now, reason)
  db.forgetRecent()
  db.probe.due = undefined
  db.probe.inFlight = false
  db.probe.failures = 0
}

/**
 * Decreases the limit in proportion to the pressure.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 * @param pressure - ratio of latency to target, above 1
 * @param reason - for operators
 */
export const fall = (db: LimitDb, now: Millis, pressure: number, reason: string): void => {
  db.ceiling = db.limit
  const share = clamp(1 / pressure, MAX_FALL, MIN_FALL)
  const floor = db.state === 'cold' ? Math.min(db.config.coldConcurrency, db.limit) : 1
  db.setLimit(Math.max(floor, db.limit * share), now, reason)
}

const grownLimit = (db: LimitDb, pressure: number): number => {
  if (db.state === 'cold') return Math.ceil(db.limit * COLD_STEP)
  const next = db.limit + 1
  if (pressure >= GROW_BELOW) return next
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

/** @returns true once nearly every slot has had a successful request under this limit */
const hasShown = (db: LimitDb): boolean => {
  if (db.shown < SHOWN_SHARE * db.limit || db.proved < MIN_PROOF) return false
  return db.state === 'cold' || db.window.size >= MIN_SAMPLES
}

/**
 * Evaluates the window once it holds enough samples, and adjusts limit and state.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 */
export const evaluate = (db: LimitDb, now: Millis): void => {
  if (db.state === 'down' || !db.settled) return
  const shown = hasShown(db)
  const spans = db.window.span(now) >= MIN_SPAN_MS
  if (!shown && (!spans || now - db.judgedAt < JUDGE_PERIOD_MS)) return
  db.judgedAt = now
  const pressure = db.pressure()
  // A median needs fewer samples than a 95th percentile, so it detects a clear overload earlier.
  const few = db.window.size >= Math.max(MIN_PROOF, db.limit) && db.medianPressure() > 1
  const many = db.window.size >= MIN_SAMPLES && pressure > 1
  if (spans && (few || many)) return fall(db, now, pressure, 'target missed')
  if (!shown) return
  db.learnBase()
  if (db.state === 'ready') db.learnRecord()
  if (db.peak < db.effectiveLimit(now)) return db.restartWindow()
  if (db.state === 'cold' && pressure >= GROW_BELOW) db.setState('ready', 'knee found')
  if (pressure < HOLD_FROM) return grow(db, now, pressure)
  db.restartWindow()
}
