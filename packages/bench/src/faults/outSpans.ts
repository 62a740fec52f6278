/** Which upstreams were out, and from when the processes could know. */
import type { OutSpan } from '../measures/correctness.js'
import type { Fleet } from '../processes/fleet.js'
import { leavingUpstreams, zoneTakenOut } from './applyFault.js'
import type { FaultKind } from './faultTypes.js'
import type { FaultRecord } from './runFaults.js'

/** Faults under which nobody can read what is published. */
const HIDING: readonly FaultKind[] = ['config-down', 'config-stale']

/**
 * Lists the upstreams that a fault takes out.
 *
 * @param fleet - the running fleet
 * @param kind - the fault
 * @returns ids of upstreams
 */
export const upstreamsOut = (fleet: Fleet, kind: FaultKind): string[] => {
  if (kind === 'leaving') return leavingUpstreams(fleet)
  if (kind !== 'zone-out') return []
  return fleet.upstreams.filter(({ zone }) => zone === zoneTakenOut(fleet)).map(({ id }) => id)
}

/**
 * Finds when a publication could first be read.
 *
 * @param record - the fault that was published
 * @param records - all faults of the run
 * @returns wall-clock time: that of publication, or the end of a fault that hid it
 */
export const visibleFrom = ({ from }: FaultRecord, records: readonly FaultRecord[]): number => {
  const hiding = records.filter(other => HIDING.includes(other.kind) && other.from <= from && other.to > from)
  return Math.max(from, ...hiding.map(({ to }) => to))
}

/**
 * Lists when upstreams were out.
 *
 * @param fleet - the running fleet
 * @param records - all faults of the run
 * @returns one span for each time that some were out and the processes could know
 */
export const outSpansOf = (fleet: Fleet, records: readonly FaultRecord[]): OutSpan[] => records
  .map(record => ({ from: visibleFrom(record, records), to: record.to, upstreams: upstreamsOut(fleet, record.kind) }))
  .filter(({ from, to, upstreams }) => upstreams.length > 0 && to > from)
