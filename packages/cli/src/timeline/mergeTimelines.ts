/** Merges the time lines of processes into one order. */
import type { AdminAnswer } from '@fuchsiaworks/admin'
import type { HostId, Millis, TimeLineEntry } from '@fuchsiaworks/kernel'
import { type ClockCorrection, clockCorrections } from './clockOffsets.js'

/** An entry with its time on the clock of the reference host. */
export interface MergedEntry extends TimeLineEntry {
  readonly role: 'router' | 'agent'
  /** Wall-clock milliseconds of the reference host. */
  readonly time: Millis
  /** False when no link tells the clock offset of the host. */
  readonly corrected: boolean
}

/** Time lines of all processes in one order. */
export interface MergedTimeline {
  readonly entries: readonly MergedEntry[]
  readonly clocks: ReadonlyMap<HostId, ClockCorrection>
}

type Answer = AdminAnswer<'timeline'>

/** A wall clock may be set back, but within one process the order of the entries is certain. */
const correctEntries = ({ role, entries }: Answer, correction: ClockCorrection | undefined): MergedEntry[] => {
  let latest = Number.NEGATIVE_INFINITY
  return [...entries].sort((a, b) => a.seq - b.seq).map(entry => {
    latest = Math.max(latest, entry.at + (correction?.add ?? 0))
    return { ...entry, role, time: latest, corrected: correction !== undefined }
  })
}

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
  const entries = answers.flatMap(answer => correctEntries(answer, clocks.get(answer.host)))
  return { entries: entries.sort(compare), clocks }
}
