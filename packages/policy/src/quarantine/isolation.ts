/** The rule by which an agent runs a suspect alone. */

/** What runs at the upstream. */
export interface UpstreamOccupancy {
  readonly running: number
  /** True when the one that runs is a suspect. */
  readonly suspectRunning: boolean
}

/**
 * Tells whether a request may start beside what runs.
 *
 * @param occupancy - what runs at the upstream
 * @param suspect - true when the request must run alone
 * @returns false when the upstream must first become empty
 */
export const mayRunConcurrently = (occupancy: UpstreamOccupancy, suspect: boolean): boolean => {
  if (occupancy.suspectRunning) return false
  return !suspect || occupancy.running === 0
}
