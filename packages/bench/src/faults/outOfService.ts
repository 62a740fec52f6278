/** Which upstreams were out, and from when the processes could know. */
import type { OutOfServiceInterval } from '../measures/correctness.js'
import type { Fleet } from '../processes/fleet.js'
import { upstreamsToRemove, zoneToTakeOut } from './applyFault.js'
import type { FaultKind } from './faultTypes.js'
import type { FaultRecord } from './runFaults.js'

/** Faults under which nobody can read what is published. */
const CONFIGURATION_OUTAGES: readonly FaultKind[] = ['config-down', 'config-stale']

/**
 * Lists the upstreams that a fault takes out.
 *
 * @param fleet - the running fleet
 * @param kind - the fault
 * @returns ids of upstreams
 */
export const upstreamsTakenOut = (fleet: Fleet, kind: FaultKind): string[] => {
  if (kind === 'leaving') return upstreamsToRemove(fleet)
  if (kind !== 'zone-out') return []
  return fleet.upstreams.filter(({ zone }) => zone === zoneToTakeOut(fleet)).map(({ id }) => id)
}

/**
 * Finds when a publication could first be read.
 *
 * @param record - the fault that was published
 * @param records - all faults of the run
 * @returns wall-clock time: that of publication, or the end of a fault that hid it
 */
export const visibleFrom = ({ from }: FaultRecord, records: readonly FaultRecord[]): number => {
  const outages = records.filter(other => CONFIGURATION_OUTAGES.includes(other.kind) && other.from <= from && other.to > from)
  return Math.max(from, ...outages.map(({ to }) => to))
}

/**
 * Lists when upstreams were out.
 *
 * @param fleet - the running fleet
 * @param records - all faults of the run
 * @returns one span for each time that some were out and the processes could know
 */
export const outOfServiceIntervals = (fleet: Fleet, records: readonly FaultRecord[]): OutOfServiceInterval[] => records
  .map(record => ({ from: visibleFrom(record, records), to: record.to, upstreams: upstreamsTakenOut(fleet, record.kind) }))
  .filter(({ from, to, upstreams }) => upstreams.length > 0 && to > from)
