/** Use of every process of the fleet over a time. */
import type { Fleet } from '../processes/fleet.js'
import type { Member } from '../processes/member.js'
import { type ProcessReading, type ProcessUse, readProcess, useBetween } from './processUse.js'

/** Use of one process of the fleet. */
export interface MemberUse extends ProcessUse {
  readonly name: string
  readonly role: Member['role']
}

/** Readings by process id. */
export type FleetReading = ReadonlyMap<number, ProcessReading>

const membersOf = (fleet: Fleet): Member[] => [...fleet.routers, ...fleet.agents]

/**
 * Reads every process.
 *
 * @param fleet - the running fleet
 * @returns the readings of those that live
 */
export const readFleet = (fleet: Fleet): FleetReading => new Map(membersOf(fleet).flatMap(({ pid }) => {
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
export const fleetUseSince = (fleet: Fleet, before: FleetReading): MemberUse[] => {
  const after = readFleet(fleet)
  return membersOf(fleet).flatMap(({ name, role, pid }) => {
    const [first, second] = [before.get(pid), after.get(pid)]
    return first === undefined || second === undefined ? [] : [{ name, role, ...useBetween(first, second) }]
  })
}
