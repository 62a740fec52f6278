/** The steps of the limit: growth by proof, falls on missed targets, and the changes of state. */
import { clamp, type Millis } from '@fuchsiaworks/kernel'
import type { LimitDb } from './limitDb.js'

/** Samples from which a 95th percentile is read. */
const MIN_SAMPLES = 20

/** Milliseconds that a window spans, at least, before the limit falls; one short hiccup is no overload. */
const MIN_SPAN_MS = 1_000

/** Milliseconds between two looks for a fall. */
const JUDGE_PERIOD_MS = 100

/** Share of the slots whose requests must have shown themselves before the limit grows. */
const SHOWN_SHARE = 0.9

/** Share of the target under which the limit grows in proportion to the headroom. */
const GROW_BELOW = 0.9

/** Share of the target from which the limit stays; between the two it grows by one. */
const HOLD_FROM = 0.96

/** Largest growth of a cold upstream's limit in one step. */
const COLD_STEP = 1.5

/** Largest growth of a ready upstream's limit in one step. */
const READY_STEP = 1.5

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

/**
 * Returns to coldConcurrency.
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
 * Stops all work until a probe is answered.
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
 * Lowers the limit.
 *
 * @param db - changed in place
 * @param now - monotonic milliseconds
 * @param pressure - latency as a share of the target, above 1
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

/** True when the requests of nearly every slot have shown how they fare at this limit. */
const hasShown = (db: LimitDb): boolean => {
  if (db.shown < SHOWN_SHARE * db.limit || db.proved < MIN_PROOF) return false
  return db.state === 'cold' || db.window.size >= MIN_SAMPLES
}

/**
 * Judges the window once it holds enough samples.
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
  // Few samples speak of the middle only; 95 in 100 need more.
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
