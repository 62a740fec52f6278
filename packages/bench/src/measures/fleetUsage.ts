/** Resource usage of all routers and agents between two points in time. */
import type { Fleet } from '../processes/fleet.js'
import type { FleetProcess } from '../processes/fleetProcess.js'
import { type ProcessReading, type ProcessUsage, readProcess, usageBetween } from './processUsage.js'

/** Resource usage of one router or agent. */
export interface FleetProcessUsage extends ProcessUsage {
  readonly name: string
  readonly role: FleetProcess['role']
}

/** Readings of the processes of the fleet, by process id. */
export type FleetReadings = ReadonlyMap<number, ProcessReading>

const fleetProcessesOf = (fleet: Fleet): FleetProcess[] => [...fleet.routers, ...fleet.agents]

/**
 * Reads the resource counters of all routers and agents.
 *
 * @param fleet - the running fleet
 * @returns the readings; processes that are not alive are missing
 */
export const readFleetUsage = (fleet: Fleet): FleetReadings => new Map(fleetProcessesOf(fleet).flatMap(({ pid }) => {
  const reading = readProcess(pid)
  return reading === undefined ? [] : [[pid, reading] as const]
}))

/**
 * Calculates the resource usage since a reading. Processes that were restarted in between are left out.
 *
 * @param fleet - the running fleet
 * @param before - the earlier reading
 * @returns one entry for each process that was alive throughout
 */
export const fleetUsageSince = (fleet: Fleet, before: FleetReadings): FleetProcessUsage[] => {
  const after = readFleetUsage(fleet)
  return fleetProcessesOf(fleet).flatMap(({ name, role, pid }) => {
    const [first, second] = [before.get(pid), after.get(pid)]
    return first === undefined || second === undefined ? [] : [{ name, role, ...usageBetween(first, second) }]
  })
}
