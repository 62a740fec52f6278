/** What a started process offers to the code that ends it. */

/** A running process of any role. */
export interface RunningProcess {
  /** Ends at once. */
  close: () => Promise<void>
  /** Takes no new work; settles when the running work has ended. */
  drain: () => Promise<void>
}
