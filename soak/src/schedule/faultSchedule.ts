/** Draws the faults of a soak from its seed: they come in series, overlap, and strike any moment but the calm end. */
import { drawInterval, pickWeighted, type Random, seededRandom } from '@fuchsiaworks/bench'
import type { Millis } from '@fuchsiaworks/kernel'
import { type FaultKind, GATEWAY_FAULTS, LINK_FAULTS, OPERATOR_ACTS, type ScheduledFault, STORE_FAULTS, UPSTREAM_FAULTS } from './faultTypes.js'

/** Mean milliseconds between two faults or series. */
const MEAN_GAP_MS: Millis = 1300

/** Shortest and longest milliseconds that a fault holds. */
const LENGTH_MS = { min: 150, max: 5000 } as const

/** Share of draws that come as a series of the same kind. */
const SERIES_SHARE = 0.2

/** Most faults of a series, and the mean milliseconds between them. */
const SERIES = { max: 4, meanGapMs: 350 } as const

/** Numbers of the generator that are not used. */
const SKIPPED_DRAWS = 32

/** Indexes are drawn below this and wrap around what there is. */
const INDEXES = 60

const pick = <T>(random: Random, from: readonly T[]): T => pickWeighted(random, from.map(one => [one, 1] as const))

const drawKind = (random: Random): FaultKind => {
  const index = Math.floor(random() * INDEXES)
  const subject = pickWeighted(random, [['gateway', 6], ['all-gateways', 0.4], ['peer-link', 3], ['store-link', 2], ['upstream-link', 3], ['store', 2], ['upstream', 6], ['operator', 4]] as const)
  switch (subject) {
    case 'gateway': return { subject, index, act: pick(random, GATEWAY_FAULTS) }
    case 'all-gateways': return { subject, act: 'kill' }
    case 'peer-link':
    case 'store-link':
    case 'upstream-link': return { subject, index, act: pick(random, LINK_FAULTS) }
    case 'store': return { subject, act: pick(random, STORE_FAULTS) }
    case 'upstream': return { subject, index, act: pick(random, UPSTREAM_FAULTS) }
    case 'operator': return { subject, index, act: pick(random, OPERATOR_ACTS) }
  }
}

const drawLength = (random: Random, left: Millis): Millis =>
  Math.round(Math.min(left, LENGTH_MS.min + (LENGTH_MS.max - LENGTH_MS.min) * random() ** 2))

/**
 * Draws a schedule.
 *
 * @param seed - equal seeds draw equal schedules
 * @param untilMs - milliseconds after which no fault holds
 * @returns the faults in order of their start
 */
export const drawSchedule = (seed: number, untilMs: Millis): ScheduledFault[] => {
  const random = seededRandom(seed)
  // The first numbers of neighbouring seeds are alike.
  for (let nth = 0; nth < SKIPPED_DRAWS; nth++) random()
  const faults: ScheduledFault[] = []
  for (let at = drawInterval(random, MEAN_GAP_MS); at < untilMs; at += drawInterval(random, MEAN_GAP_MS)) {
    const kind = drawKind(random)
    const count = random() < SERIES_SHARE ? 2 + Math.floor(random() * (SERIES.max - 1)) : 1
    let start = at
    for (let nth = 0; nth < count && start < untilMs; nth++) {
      faults.push({ at: Math.round(start), length: drawLength(random, untilMs - start), kind })
      start += drawInterval(random, SERIES.meanGapMs)
    }
  }
  return faults.sort((a, b) => a.at - b.at)
}

/** @returns the fault in one line, as schedules are printed */
export const describeFault = ({ at, length, kind }: ScheduledFault): string => {
  const place = 'index' in kind ? ` ${kind.index}` : ''
  return `${(at / 1000).toFixed(2)} s: ${kind.subject}${place} ${kind.act} for ${length} ms`
}
