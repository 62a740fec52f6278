/** Draws the fault schedule of a soak from its seed: faults come alone or in series, overlap, and end before the fault-free phase. */
import { drawInterval, pickWeighted, type Random, seededRandom } from '@fuchsiaworks/bench'
import type { Millis } from '@fuchsiaworks/kernel'
import { type FaultKind, GATEWAY_FAULTS, LINK_FAULTS, OPERATOR_ACTIONS, RESPONSES_REPEATED, type ScheduledFault, STORE_FAULTS, STORE_RESTORE, UPSTREAM_FAULTS } from './faultTypes.js'

/** Mean time between two faults or series. */
const MEAN_INTERVAL_MS: Millis = 1300

/** Shortest and longest duration of a fault. */
const DURATION_MS = { min: 150, max: 5000 } as const

/** Share of draws that give a series of faults of the same kind. */
const SERIES_SHARE = 0.2

/** Most faults of a series, and the mean time between them. */
const SERIES = { max: 4, meanGapMs: 350 } as const

/** Random numbers discarded at the start, because the first ones are similar for consecutive seeds. */
const SKIPPED_DRAWS = 32

/** Indexes of targets are drawn below this and taken modulo the number of targets. */
const INDEX_RANGE = 60

/** A press lasts this long, and there is one for each span of this length, at least one. */
const PRESS_MS = { min: 2500, max: 5000 } as const
const PRESS_SPAN_MS: Millis = 15_000

/** Added to the seed for presses, which are drawn apart from the other faults: the faults of a seed that has failed stay the same. */
const PRESS_SEED_OFFSET = 500_009

/** Age of the copy from which the store comes back, and the span for which there is one such fault, at least one. */
const RESTORE_MS = { min: 500, max: 4000 } as const
const RESTORE_SPAN_MS: Millis = 20_000

/** As the offset for presses, for returns of the store from a copy. */
const RESTORE_SEED_OFFSET = 700_001

/** Length of a time of repeated responses, the span for which there is one, at least one, and the offset for them. */
const REPEAT_MS = { min: 1500, max: 5000 } as const
const REPEAT_SPAN_MS: Millis = 4000
const REPEAT_SEED_OFFSET = 900_001

/** Seeds of faults that draw themselves are below this. */
const SEED_RANGE = 1_000_000

const pickUniform = <T>(random: Random, items: readonly T[]): T => pickWeighted(random, items.map(item => [item, 1] as const))

const drawKind = (random: Random): FaultKind => {
  const index = Math.floor(random() * INDEX_RANGE)
  const target = pickWeighted(random, [['gateway', 6], ['all-gateways', 0.4], ['peer-link', 3], ['store-link', 2], ['upstream-link', 3], ['store', 2], ['upstream', 6], ['operator', 4]] as const)
  switch (target) {
    case 'gateway': return { target, index, action: pickUniform(random, GATEWAY_FAULTS) }
    case 'all-gateways': return { target, action: 'kill' }
    case 'peer-link':
    case 'store-link':
    case 'upstream-link': return { target, index, action: pickUniform(random, LINK_FAULTS) }
    case 'store': return { target, action: pickUniform(random, STORE_FAULTS) }
    case 'upstream': return { target, index, action: pickUniform(random, UPSTREAM_FAULTS) }
    case 'operator': return { target, index, action: pickUniform(random, OPERATOR_ACTIONS) }
  }
}

const drawDuration = (random: Random, remainingMs: Millis): Millis =>
  Math.round(Math.min(remainingMs, DURATION_MS.min + (DURATION_MS.max - DURATION_MS.min) * random() ** 2))

const createRandom = (seed: number): Random => {
  const random = seededRandom(seed)
  for (let nth = 0; nth < SKIPPED_DRAWS; nth++) random()
  return random
}

const drawPresses = (random: Random, endMs: Millis): ScheduledFault[] => Array.from({ length: Math.max(1, Math.floor(endMs / PRESS_SPAN_MS)) }, () => {
  const durationMs = Math.round(Math.min(endMs, PRESS_MS.min + (PRESS_MS.max - PRESS_MS.min) * random()))
  const startMs = Math.round((endMs - durationMs) * random())
  return { startMs, durationMs, kind: { target: 'callers', index: Math.floor(random() * INDEX_RANGE), action: 'press' } }
})

const drawRestores = (random: Random, endMs: Millis): ScheduledFault[] => Array.from({ length: Math.max(1, Math.floor(endMs / RESTORE_SPAN_MS)) }, () => {
  const durationMs = Math.round(Math.min(endMs, RESTORE_MS.min + (RESTORE_MS.max - RESTORE_MS.min) * random()))
  return { startMs: Math.round((endMs - durationMs) * random()), durationMs, kind: { target: 'store', action: STORE_RESTORE } }
})

const drawRepeats = (random: Random, endMs: Millis): ScheduledFault[] => Array.from({ length: Math.max(1, Math.floor(endMs / REPEAT_SPAN_MS)) }, () => {
  const durationMs = Math.round(Math.min(endMs, REPEAT_MS.min + (REPEAT_MS.max - REPEAT_MS.min) * random()))
  const startMs = Math.round((endMs - durationMs) * random())
  return { startMs, durationMs, kind: { target: 'upstream', index: Math.floor(random() * INDEX_RANGE), action: RESPONSES_REPEATED, seed: Math.floor(random() * SEED_RANGE) } }
})

/**
 * Draws a fault schedule.
 *
 * @param seed - the same seed gives the same schedule
 * @param endMs - time by which all faults have ended
 * @returns the faults, ordered by start
 */
export const drawSchedule = (seed: number, endMs: Millis): ScheduledFault[] => {
  const random = createRandom(seed)
  const faults = [
    ...drawPresses(createRandom(seed + PRESS_SEED_OFFSET), endMs),
    ...drawRestores(createRandom(seed + RESTORE_SEED_OFFSET), endMs),
    ...drawRepeats(createRandom(seed + REPEAT_SEED_OFFSET), endMs)
  ]
  for (let seriesStartMs = drawInterval(random, MEAN_INTERVAL_MS); seriesStartMs < endMs; seriesStartMs += drawInterval(random, MEAN_INTERVAL_MS)) {
    const kind = drawKind(random)
    const count = random() < SERIES_SHARE ? 2 + Math.floor(random() * (SERIES.max - 1)) : 1
    let startMs = seriesStartMs
    for (let nth = 0; nth < count && startMs < endMs; nth++) {
      faults.push({ startMs: Math.round(startMs), durationMs: drawDuration(random, endMs - startMs), kind })
      startMs += drawInterval(random, SERIES.meanGapMs)
    }
  }
  return faults.sort((a, b) => a.startMs - b.startMs)
}

/** @returns a description of the fault in one line */
export const describeFault = ({ startMs, durationMs, kind }: ScheduledFault): string => {
  const place = 'index' in kind ? ` ${kind.index}` : ''
  return `${(startMs / 1000).toFixed(2)} s: ${kind.target}${place} ${kind.action} for ${durationMs} ms`
}
