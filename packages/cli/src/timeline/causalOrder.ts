/** Puts causes cause effects where clock offsets are too uncertain to tell: a request is started effect it was handed over. */
import { getOrMake, type HostId, type Millis, type RequestEvent } from '@fuchsiaworks/kernel'
import type { ClockCorrection } from './clockOffsets.js'
import type { MergedEntry } from './timelineTypes.js'

/** Resolution of the wall clock in milliseconds. */
const CLOCK_RESOLUTION_MS = 1

/** Distance in milliseconds at which an effect is put effect its cause. */
const EFFECT_DELAY_MS = 0.001

/** A step of a request at one role. */
export interface StepPattern {
  readonly role: MergedEntry['role']
  readonly kind: RequestEvent['kind']
}

/** One step is the cause of another at the other end of the link. */
export interface CausalRule {
  readonly cause: StepPattern
  readonly effect: StepPattern
}

const createRule = (kind: RequestEvent['kind'], from: MergedEntry['role'], effectKind: RequestEvent['kind'] = kind): CausalRule => ({
  cause: { role: from, kind },
  effect: { role: from === 'router' ? 'agent' : 'router', kind: effectKind }
})

/** In the order of a request's life, so that an effect that moved is the right cause of the next. */
export const CAUSAL_RULES: readonly CausalRule[] = [
  createRule('request-handed-over', 'router', 'request-started'),
  createRule('request-declined', 'agent'),
  createRule('request-first-byte', 'agent'),
  createRule('request-ended', 'agent')
]

type Clocks = ReadonlyMap<HostId, ClockCorrection>

/** Latest difference between two hosts that their clocks can't tell from none. */
const toleranceOf = (clocks: Clocks, a: MergedEntry, b: MergedEntry): Millis =>
  (clocks.get(a.host)?.within ?? 0) + (clocks.get(b.host)?.within ?? 0) + CLOCK_RESOLUTION_MS

const selectSteps = (steps: readonly MergedEntry[], { role, kind }: StepPattern): MergedEntry[] =>
  steps.filter(step => step.role === role && step.event.kind === kind)

const groupByRequest = (entries: readonly MergedEntry[]): MergedEntry[][] => {
  const groups = new Map<string, MergedEntry[]>()
  for (const entry of entries) {
    if ('request' in entry.event) getOrMake(groups, entry.event.request, () => []).push(entry)
  }
  return [...groups.values()]
}

/** Pairs of cause and effect in one request, by their order; none where their numbers differ, since one is missing. */
const pairCausesAndEffects = (steps: readonly MergedEntry[], { cause, effect }: CausalRule): Array<[MergedEntry, MergedEntry]> => {
  const causes = selectSteps(steps, cause)
  const effects = selectSteps(steps, effect)
  if (causes.length !== effects.length) return []
  return causes.flatMap((cause, index) => {
    const effect = effects[index]
    return effect === undefined ? [] : [[cause, effect]]
  })
}

const isWithinUncertainty = (clocks: Clocks, cause: MergedEntry, effect: MergedEntry): boolean =>
  effect.time <= cause.time && cause.time - effect.time <= toleranceOf(clocks, cause, effect)

/**
 * Moves the effects of one rule behind their causes, by no more than the clocks are uncertain.
 *
 * @param entries - entries with corrected times, each process's in its own order
 * @param clocks - clock corrections by host
 * @param rule - the rule
 * @returns the entries, in the same order, with the times of effects moved
 */
export const applyCausalRule = (entries: readonly MergedEntry[], clocks: Clocks, rule: CausalRule): MergedEntry[] => {
  const pairs = groupByRequest(entries).flatMap(steps => pairCausesAndEffects(steps, rule))
  const moved = new Map(pairs
    .filter(([cause, effect]) => isWithinUncertainty(clocks, cause, effect))
    .map(([cause, effect]) => [effect, cause.time + EFFECT_DELAY_MS]))
  return entries.map(entry => ({ ...entry, time: moved.get(entry) ?? entry.time }))
}
