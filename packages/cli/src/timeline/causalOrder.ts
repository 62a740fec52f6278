/**
 * Orders effects after their causes where the clock offsets are too uncertain to determine the order. For example, a
 * request is started by the agent after the router has handed it over.
 */
import { getOrMake, type HostId, type Millis, type RequestEvent } from '@fuchsiaworks/kernel'
import type { ClockCorrection } from './clockOffsets.js'
import type { MergedEntry } from './timelineTypes.js'

/** Resolution of the wall clock. */
const CLOCK_RESOLUTION_MS = 1

/** Time by which an effect is placed after its cause. */
const EFFECT_DELAY_MS = 0.001

/** Matches the steps of one kind that processes of one role record. */
export interface StepPattern {
  readonly role: MergedEntry['role']
  readonly kind: RequestEvent['kind']
}

/** A step at one end of a link causes a step at the other end. */
export interface CausalRule {
  readonly cause: StepPattern
  readonly effect: StepPattern
}

const createRule = (kind: RequestEvent['kind'], from: MergedEntry['role'], effectKind: RequestEvent['kind'] = kind): CausalRule => ({
  cause: { role: from, kind },
  effect: { role: from === 'router' ? 'agent' : 'router', kind: effectKind }
})

/** Rules in the order of a request's life cycle, so that each rule sees the effects that earlier rules have moved. */
export const CAUSAL_RULES: readonly CausalRule[] = [
  createRule('request-handed-over', 'router', 'request-started'),
  createRule('request-declined', 'agent'),
  createRule('request-first-byte', 'agent'),
  createRule('request-ended', 'agent')
]

type Clocks = ReadonlyMap<HostId, ClockCorrection>

/** Returns the largest time difference between entries of two hosts that may be due to clock error alone. */
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

/** Pairs the causes and effects of one request in order. Returns no pairs if the counts differ, since an entry is missing then. */
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
 * Moves the effects of one rule after their causes, by no more than the uncertainty of the clocks.
 *
 * @param entries - entries with corrected times; those of each process are in its own order
 * @param clocks - clock corrections by host
 * @param rule - the rule
 * @returns the entries in the same order, with the times of effects moved
 */
export const applyCausalRule = (entries: readonly MergedEntry[], clocks: Clocks, rule: CausalRule): MergedEntry[] => {
  const pairs = groupByRequest(entries).flatMap(steps => pairCausesAndEffects(steps, rule))
  const moved = new Map(pairs
    .filter(([cause, effect]) => isWithinUncertainty(clocks, cause, effect))
    .map(([cause, effect]) => [effect, cause.time + EFFECT_DELAY_MS]))
  return entries.map(entry => ({ ...entry, time: moved.get(entry) ?? entry.time }))
}
