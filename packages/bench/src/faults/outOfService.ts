/** Finds which upstreams were taken out of service, and from when on routers and agents could know it. */
import type { OutOfServiceInterval } from '../measures/correctness.js'
import type { Fleet } from '../processes/fleet.js'
import { upstreamsToRemove, zoneToTakeOut } from './applyFault.js'
import type { FaultKind } from './faultTypes.js'
import type { FaultRecord } from './runFaults.js'

/** Faults under which the configuration service does not serve the newest revision. */
const CONFIGURATION_OUTAGES: readonly FaultKind[] = ['config-down', 'config-stale']

/**
 * Lists the upstreams that a fault takes out of service.
 *
 * @param fleet - the running fleet
 * @param kind - the fault
 * @returns ids of the upstreams
 */
export const upstreamsTakenOut = (fleet: Fleet, kind: FaultKind): string[] => {
  if (kind === 'leaving') return upstreamsToRemove(fleet)
  if (kind !== 'zone-out') return []
  return fleet.upstreams.filter(({ zone }) => zone === zoneToTakeOut(fleet)).map(({ id }) => id)
}

/**
 * Finds when a published change could first be read.
 *
 * @param record - the fault whose change was published
 * @param records - all faults of the run
 * @returns wall-clock time of publication, or of the end of the outage of the configuration service that it fell into
 */
export const visibleFrom = ({ from }: FaultRecord, records: readonly FaultRecord[]): number => {
  const outages = records.filter(other => CONFIGURATION_OUTAGES.includes(other.kind) && other.from <= from && other.to > from)
  return Math.max(from, ...outages.map(({ to }) => to))
}

/**
 * Lists the intervals in which upstreams were out of service and routers and agents could know it.
 *
 * @param fleet - the running fleet
 * @param records - all faults of the run
 * @returns one interval for each fault that took upstreams out
 */
export const outOfServiceIntervals = (fleet: Fleet, records: readonly FaultRecord[]): OutOfServiceInterval[] => records
  .map(record => ({ from: visibleFrom(record, records), to: record.to, upstreams: upstreamsTakenOut(fleet, record.kind) }))
  .filter(({ from, to, upstreams }) => upstreams.length > 0 && to > from)
