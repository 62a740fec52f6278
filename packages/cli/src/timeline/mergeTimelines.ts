/** Merges the time lines of processes into one that is ordered by corrected time. */
import type { AdminResponse } from '@fuchsiaworks/admin'
import { getOrMake, type Incarnation } from '@fuchsiaworks/kernel'
import { applyCausalRule, CAUSAL_RULES } from './causalOrder.js'
import { type ClockCorrection, clockCorrections } from './clockOffsets.js'
import type { MergedEntry, MergedTimeline } from './timelineTypes.js'

type TimelineResponse = AdminResponse<'timeline'>

/** Makes times monotonic, because the order of the entries of one process is certain even if its wall clock was set back. */
const makeTimesMonotonic = (entries: readonly MergedEntry[]): MergedEntry[] => {
  let latest = Number.NEGATIVE_INFINITY
  return entries.map(entry => {
    latest = Math.max(latest, entry.time)
    return { ...entry, time: latest }
  })
}

const correctEntries = ({ role, entries }: TimelineResponse, correction: ClockCorrection | undefined): MergedEntry[] => {
  const inOrder = [...entries].sort((a, b) => a.seq - b.seq)
  const corrected = inOrder.map(entry => ({ ...entry, role, time: entry.at + (correction?.add ?? 0), corrected: correction !== undefined }))
  return makeTimesMonotonic(corrected)
}

const splitByProcess = (entries: readonly MergedEntry[]): MergedEntry[][] => {
  const groups = new Map<Incarnation, MergedEntry[]>()
  for (const entry of entries) getOrMake(groups, entry.incarnation, () => []).push(entry)
  return [...groups.values()]
}

/** Removes duplicates: a process that is given twice on the command line responds twice. */
const removeDuplicates = (entries: readonly MergedEntry[]): MergedEntry[] =>
  [...new Map(entries.map(entry => [`${entry.incarnation} ${entry.seq}`, entry])).values()]

const compareByTime = (a: MergedEntry, b: MergedEntry): number =>
  a.time - b.time || a.host.localeCompare(b.host) || a.seq - b.seq

/**
 * Merges time lines.
 *
 * @param responses - the time line of each process; the clock of the first one is the reference
 * @returns all entries ordered by corrected time, and the clock corrections that were applied
 */
export const mergeTimelines = (responses: readonly TimelineResponse[]): MergedTimeline => {
  const clocks = clockCorrections(responses)
  const corrected = removeDuplicates(responses.flatMap(response => correctEntries(response, clocks.get(response.host))))
  // Moving an effect also moves the later entries of its process, and these may be causes for the next rule.
  const entries = CAUSAL_RULES.reduce((moved, rule) => splitByProcess(applyCausalRule(moved, clocks, rule)).flatMap(makeTimesMonotonic), corrected)
  return { entries: entries.sort(compareByTime), clocks }
}
