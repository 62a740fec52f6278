/** Draws the faults of a soak from its seed: they come in series, overlap, and strike any moment but the calm end. */
import { drawInterval, pickWeighted, type Random, seededRandom } from '@fuchsiaworks/bench'
import type { Millis } from '@fuchsiaworks/kernel'
import { type FaultKind, GATEWAY_FAULTS, LINK_FAULTS, OPERATOR_ACTIONS, type ScheduledFault, STORE_FAULTS, UPSTREAM_FAULTS } from './faultTypes.js'

/** Mean milliseconds between two faults or series. */
const MEAN_INTERVAL_MS: Millis = 1300

/** Shortest and longest milliseconds that a fault holds. */
const DURATION_MS = { min: 150, max: 5000 } as const

/** Share of draws that come as a series of the same kind. */
const SERIES_SHARE = 0.2

/** Most faults of a series, and the mean milliseconds between them. */
const SERIES = { max: 4, meanGapMs: 350 } as const

/** Numbers of the generator that are not used. */
const SKIPPED_DRAWS = 32

/** Indexes are drawn below this and wrap around what there is. */
const INDEX_RANGE = 60

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

/**
 * Draws a schedule.
 *
 * @param seed - equal seeds draw equal schedules
 * @param endMs - milliseconds after which no fault holds
 * @returns the faults in order of their start
 */
export const drawSchedule = (seed: number, endMs: Millis): ScheduledFault[] => {
  const random = seededRandom(seed)
  // The first numbers of neighbouring seeds are alike.
  for (let nth = 0; nth < SKIPPED_DRAWS; nth++) random()
  const faults: ScheduledFault[] = []
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

/** @returns the fault in one line, as schedules are printed */
export const describeFault = ({ startMs, durationMs, kind }: ScheduledFault): string => {
  const place = 'index' in kind ? ` ${kind.index}` : ''
  return `${(startMs / 1000).toFixed(2)} s: ${kind.target}${place} ${kind.action} for ${durationMs} ms`
}
