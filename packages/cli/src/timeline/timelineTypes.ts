/** Types of time lines that were merged over processes. */
import type { HostId, Millis, TimeLineEntry } from '@fuchsiaworks/kernel'
import type { ClockCorrection } from './clockOffsets.js'

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
