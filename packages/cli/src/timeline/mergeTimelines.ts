/** Merges the time lines of processes into one order. */
import type { AdminResponse } from '@fuchsiaworks/admin'
import { getOrMake, type Incarnation } from '@fuchsiaworks/kernel'
import { applyRule, CAUSAL_RULES } from './causalOrder.js'
import { type ClockCorrection, clockCorrections } from './clockOffsets.js'
import type { MergedEntry, MergedTimeline } from './timelineTypes.js'

type Answer = AdminResponse<'timeline'>

/** Within one process the order of the entries is certain, whatever the wall clock did. */
const keepOwnOrder = (entries: readonly MergedEntry[]): MergedEntry[] => {
  let latest = Number.NEGATIVE_INFINITY
  return entries.map(entry => {
    latest = Math.max(latest, entry.time)
    return { ...entry, time: latest }
  })
}

const correctEntries = ({ role, entries }: Answer, correction: ClockCorrection | undefined): MergedEntry[] => {
  const inOrder = [...entries].sort((a, b) => a.seq - b.seq)
  const corrected = inOrder.map(entry => ({ ...entry, role, time: entry.at + (correction?.add ?? 0), corrected: correction !== undefined }))
  return keepOwnOrder(corrected)
}

const splitByProcess = (entries: readonly MergedEntry[]): MergedEntry[][] => {
  const groups = new Map<Incarnation, MergedEntry[]>()
  for (const entry of entries) getOrMake(groups, entry.incarnation, () => []).push(entry)
  return [...groups.values()]
}

/** A process that was named twice answers twice. */
const dropRepeated = (entries: readonly MergedEntry[]): MergedEntry[] =>
  [...new Map(entries.map(entry => [`${entry.incarnation} ${entry.seq}`, entry])).values()]

const compare = (a: MergedEntry, b: MergedEntry): number =>
  a.time - b.time || a.host.localeCompare(b.host) || a.seq - b.seq

/**
 * Merges time lines.
 *
 * @param answers - the time line of each process; the first is the reference of time
 * @returns all entries in order, and the clock corrections that were used
 */
export const mergeTimelines = (answers: readonly Answer[]): MergedTimeline => {
  const clocks = clockCorrections(answers)
  const corrected = dropRepeated(answers.flatMap(answer => correctEntries(answer, clocks.get(answer.host))))
  // An effect that moved takes the later entries of its process along, and they may be causes of the next rule.
  const entries = CAUSAL_RULES.reduce((moved, rule) => splitByProcess(applyRule(moved, clocks, rule)).flatMap(keepOwnOrder), corrected)
  return { entries: entries.sort(compare), clocks }
}
