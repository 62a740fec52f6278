/** Interface through which the signal handling stops a started process. */

/** A started process of any role. */
export interface RunningProcess {
  /** Stops immediately, aborting work in progress. */
  close: () => Promise<void>
  /** Accepts no new work; resolves when the work in progress is complete. */
  drain: () => Promise<void>
}
