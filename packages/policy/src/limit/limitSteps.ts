/** Transitions of the limit: increases after successes, decreases on missed targets, and changes of state. */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import type { LimitDb } from './limitDb.js'

/** Minimum samples for a 95th percentile. */
const MIN_SAMPLES = 20

/** Minimum milliseconds that a window covers before the limit is decreased, so that one short stall does not count as overload. */
const MIN_WINDOW_MS = 1_000

/** Milliseconds between two checks for a missed target. */
const EVALUATION_PERIOD_MS = 100

/** Share of the slots that need a successful request before the limit is increased. */
const MIN_SUCCESSFUL_SHARE = 0.9

/** Pressure below which the limit is increased in proportion to the headroom; a cold upstream that reaches this pressure is ready. */
const PROPORTIONAL_GROWTH_BELOW = 0.9

/** Pressure from which the limit is not increased; from `PROPORTIONAL_GROWTH_BELOW` up to this pressure it is increased by 1. */
const HOLD_FROM = 0.96

/** Factor by which the limit of a cold upstream is increased in one step. */
const COLD_GROWTH_FACTOR = 1.5

/** Largest factor by which the limit of a ready upstream is increased in one step. */
const MAX_READY_GROWTH_FACTOR = 1.5

/** Share of the last limit under which the target was missed; from there on the limit is increased by 1 only. */
const NEAR_MISSED_LIMIT = 0.85

/** Smallest factor by which the limit is multiplied in one decrease. */
const MIN_DECREASE_FACTOR = 0.6

/** Largest factor by which the limit is multiplied in one decrease. */
const MAX_DECREASE_FACTOR = 0.95

/** Minimum successes for an increase of the limit, and minimum samples of a median for a decrease. */
const MIN_SUCCESSES = 3

/** Multiple of `coldConcurrency` at which an upstream counts as ready although its knee, the concurrency at which latency comes close to the target, has not been found. */
const READY_LIMIT_FACTOR = 8

/**
 * Puts the upstream into cold start: the limit drops to `coldConcurrency` at most.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 * @param reason - for operators
 */
export const enterColdStart = (db: LimitDb, now: Millis, reason: string): void => {
  db.setState('cold', reason)
  db.setLimit(Math.min(db.limit, db.config.coldConcurrency), now, reason)
  db.clearRecentSamples()
  db.consecutiveTimeouts = 0
}

/**
 * Marks the upstream as down: no request may run until a probe succeeds.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 * @param reason - for operators
 */
export const enterDown = (db: LimitDb, now: Millis, reason: string): void => {
  if (db.state === 'down') return
  db.setState('down', reason)
  db.setLimit(db.config.coldConcurrency, now, reason)
  db.clearRecentSamples()
  db.probe.dueAt = undefined
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
export const decreaseLimit = (db: LimitDb, now: Millis, pressure: number, reason: string): void => {
  db.lastMissedLimit = db.limit
  const factor = clamp(1 / pressure, MIN_DECREASE_FACTOR, MAX_DECREASE_FACTOR)
  const floor = db.state === 'cold' ? Math.min(db.config.coldConcurrency, db.limit) : 1
  db.setLimit(Math.max(floor, db.limit * factor), now, reason)
}

const increasedLimit = (db: LimitDb, pressure: number): number => {
  if (db.state === 'cold') return Math.ceil(db.limit * COLD_GROWTH_FACTOR)
  const next = db.limit + 1
  if (pressure >= PROPORTIONAL_GROWTH_BELOW) return next
  if (db.lastMissedLimit > 0 && db.limit >= NEAR_MISSED_LIMIT * db.lastMissedLimit) return next
  const growthFactor = Math.min(MAX_READY_GROWTH_FACTOR, 1 + (1 / Math.max(pressure, 0.5) - 1) / 2)
  return Math.max(next, Math.floor(db.limit * growthFactor))
}

const increaseLimit = (db: LimitDb, now: Millis, pressure: number): void => {
  if (db.limit >= db.config.hardCap) {
    db.restartWindow()
    if (db.state === 'cold') db.setState('ready', 'hard cap reached within target')
    return
  }
  db.setLimit(increasedLimit(db, pressure), now, 'full and within target')
  if (db.state === 'cold' && db.limit >= READY_LIMIT_FACTOR * db.config.coldConcurrency) db.setState('ready', 'proved by completions')
}

/** @returns true once nearly every slot has had a successful request under this limit */
const isValidated = (db: LimitDb): boolean => {
  if (db.successfulRequests < MIN_SUCCESSFUL_SHARE * db.limit || db.successes < MIN_SUCCESSES) return false
  return db.state === 'cold' || db.window.size >= MIN_SAMPLES
}

/**
 * Evaluates the window once it holds enough samples, and adjusts limit and state.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 */
export const evaluate = (db: LimitDb, now: Millis): void => {
  if (db.state === 'down' || !db.isWithinLimit) return
  const validated = isValidated(db)
  const coversMinimum = db.window.elapsedMs(now) >= MIN_WINDOW_MS
  if (!validated && (!coversMinimum || now - db.evaluatedAt < EVALUATION_PERIOD_MS)) return
  db.evaluatedAt = now
  const pressure = db.pressure()
  // A median needs fewer samples than a 95th percentile, so it detects a clear overload earlier.
  const medianMissed = db.window.size >= Math.max(MIN_SUCCESSES, db.limit) && db.medianPressure() > 1
  const p95Missed = db.window.size >= MIN_SAMPLES && pressure > 1
  if (coversMinimum && (medianMissed || p95Missed)) return decreaseLimit(db, now, pressure, 'target missed')
  if (!validated) return
  db.updateBaseLatency()
  if (db.state === 'ready') db.updateUsualMedian()
  if (db.peakRunning < db.effectiveLimit(now)) return db.restartWindow()
  if (db.state === 'cold' && pressure >= PROPORTIONAL_GROWTH_BELOW) db.setState('ready', 'knee found')
  if (pressure < HOLD_FROM) return increaseLimit(db, now, pressure)
  db.restartWindow()
}
