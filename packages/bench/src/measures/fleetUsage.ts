/** Use of every process of the fleet over a time. */
import type { Fleet } from '../processes/fleet.js'
import type { FleetProcess } from '../processes/fleetProcess.js'
import { type ProcessReading, type ProcessUsage, readProcess, usageBetween } from './processUsage.js'

/** Use of one process of the fleet. */
export interface FleetProcessUsage extends ProcessUsage {
  readonly name: string
  readonly role: FleetProcess['role']
}

/** Readings by process id. */
export type FleetReadings = ReadonlyMap<number, ProcessReading>

const fleetProcessesOf = (fleet: Fleet): FleetProcess[] => [...fleet.routers, ...fleet.agents]

/**
 * Reads every process.
 *
 * @param fleet - the running fleet
 * @returns the readings of those that live
 */
export const readFleetUsage = (fleet: Fleet): FleetReadings => new Map(fleetProcessesOf(fleet).flatMap(({ pid }) => {
  const reading = readProcess(pid)
  return reading === undefined ? [] : [[pid, reading] as const]
}))

/**
 * Works out the use since a reading. Processes that were started again in between are left out.
 *
 * @param fleet - the running fleet
 * @param before - the earlier reading
 * @returns one entry for each process that lived all the time
 */
export const fleetUsageSince = (fleet: Fleet, before: FleetReadings): FleetProcessUsage[] => {
  const after = readFleetUsage(fleet)
  return fleetProcessesOf(fleet).flatMap(({ name, role, pid }) => {
    const [first, second] = [before.get(pid), after.get(pid)]
    return first === undefined || second === undefined ? [] : [{ name, role, ...usageBetween(first, second) }]
  })
}
