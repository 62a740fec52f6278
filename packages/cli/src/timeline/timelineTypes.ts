/** Types of the merged time line of several processes. */
import type { HostId, Millis, TimeLineEntry } from '@fuchsiaworks/kernel'
import type { ClockCorrection } from './clockOffsets.js'

/** An entry with its time converted to the clock of the reference host. */
export interface MergedEntry extends TimeLineEntry {
  readonly role: 'router' | 'agent'
  /** Milliseconds since the Unix epoch on the clock of the reference host. */
  readonly time: Millis
  /** False if the clock offset of the host is unknown, because no path of links leads to the reference host. */
  readonly corrected: boolean
}

/** Time lines of all processes, merged and ordered by corrected time. */
export interface MergedTimeline {
  readonly entries: readonly MergedEntry[]
  readonly clocks: ReadonlyMap<HostId, ClockCorrection>
}
