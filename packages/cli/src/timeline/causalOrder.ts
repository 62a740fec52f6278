/** Puts causes before effects where clock offsets are too uncertain to tell: a request is started after it was handed over. */
import { getOrMake, type HostId, type Millis, type RequestEvent } from '@fuchsiaworks/kernel'
import type { ClockCorrection } from './clockOffsets.js'
import type { MergedEntry } from './timelineTypes.js'

/** Resolution of the wall clock in milliseconds. */
const CLOCK_STEP_MS = 1

/** Distance in milliseconds at which an effect is put after its cause. */
const AFTER_CAUSE_MS = 0.001

/** A step of a request at one role. */
export interface StepName {
  readonly role: MergedEntry['role']
  readonly kind: RequestEvent['kind']
}

/** One step is the cause of another at the other end of the link. */
export interface CausalRule {
  readonly cause: StepName
  readonly effect: StepName
}

const rule = (kind: RequestEvent['kind'], from: MergedEntry['role'], effectKind: RequestEvent['kind'] = kind): CausalRule => ({
  cause: { role: from, kind },
  effect: { role: from === 'router' ? 'agent' : 'router', kind: effectKind }
})

/** In the order of a request's life, so that an effect that moved is the right cause of the next. */
export const CAUSAL_RULES: readonly CausalRule[] = [
  rule('request-handed-over', 'router', 'request-started'),
  rule('request-declined', 'agent'),
  rule('request-first-byte', 'agent'),
  rule('request-ended', 'agent')
]

type Clocks = ReadonlyMap<HostId, ClockCorrection>

/** Latest difference between two hosts that their clocks can't tell from none. */
const toleranceOf = (clocks: Clocks, a: MergedEntry, b: MergedEntry): Millis =>
  (clocks.get(a.host)?.within ?? 0) + (clocks.get(b.host)?.within ?? 0) + CLOCK_STEP_MS

const select = (steps: readonly MergedEntry[], { role, kind }: StepName): MergedEntry[] =>
  steps.filter(step => step.role === role && step.event.kind === kind)

const groupByRequest = (entries: readonly MergedEntry[]): MergedEntry[][] => {
  const groups = new Map<string, MergedEntry[]>()
  for (const entry of entries) {
    if ('request' in entry.event) getOrMake(groups, entry.event.request, () => []).push(entry)
  }
  return [...groups.values()]
}

/** Pairs of cause and effect in one request, by their order; none where their numbers differ, since one is missing. */
const pairsOf = (steps: readonly MergedEntry[], { cause, effect }: CausalRule): Array<[MergedEntry, MergedEntry]> => {
  const causes = select(steps, cause)
  const effects = select(steps, effect)
  if (causes.length !== effects.length) return []
  return causes.flatMap((before, index) => {
    const after = effects[index]
    return after === undefined ? [] : [[before, after]]
  })
}

const isDoubtful = (clocks: Clocks, before: MergedEntry, after: MergedEntry): boolean =>
  after.time <= before.time && before.time - after.time <= toleranceOf(clocks, before, after)

/**
 * Moves the effects of one rule behind their causes, by no more than the clocks are uncertain.
 *
 * @param entries - entries with corrected times, each process's in its own order
 * @param clocks - clock corrections by host
 * @param causal - the rule
 * @returns the entries, in the same order, with the times of effects moved
 */
export const applyRule = (entries: readonly MergedEntry[], clocks: Clocks, causal: CausalRule): MergedEntry[] => {
  const pairs = groupByRequest(entries).flatMap(steps => pairsOf(steps, causal))
  const moved = new Map(pairs
    .filter(([before, after]) => isDoubtful(clocks, before, after))
    .map(([before, after]) => [after, before.time + AFTER_CAUSE_MS]))
  return entries.map(entry => ({ ...entry, time: moved.get(entry) ?? entry.time }))
}
