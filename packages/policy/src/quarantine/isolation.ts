/** Isolation of suspects: an agent runs a suspect with no other request at its upstream. */

/** Requests that are running at the upstream. */
export interface UpstreamOccupancy {
  readonly running: number
  /** True when a suspect is running. */
  readonly suspectRunning: boolean
}

/**
 * Checks whether a request may start while others are running.
 *
 * @param occupancy - running requests
 * @param suspect - true when the request must run alone
 * @returns false when the upstream must first become idle
 */
export const mayRunConcurrently = (occupancy: UpstreamOccupancy, suspect: boolean): boolean => {
  if (occupancy.suspectRunning) return false
  return !suspect || occupancy.running === 0
}
