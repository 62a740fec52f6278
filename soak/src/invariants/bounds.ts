/** Bounds of the promises, in milliseconds unless said otherwise: those of the users' site files. */
export const BOUNDS = {
  /** A configuration is in force. */
  configurationMs: 2000,
  /** A process may still answer by an older configuration after it has shown a newer one. */
  rollbackSlackMs: 250,
  /** A key that was taken away must not work. */
  revokeMs: 5000,
  /** A closed zone gets nothing new. */
  zoneExclusionMs: 5000,
  /** An upstream that leaves gets nothing new. */
  leavingMs: 3000,
  /** A process that was disturbed, or that the store was, is not held to bounds for this long. */
  recoveryFromDisturbanceMs: 4000,
  /** From the word to end until the process is killed. */
  gracePeriodMs: 8000,
  /** Work for callers that have left ends, and nothing more is sent for them. */
  abandonedWorkMs: 500,
  /** Requests that may reach an upstream later than that. */
  lateAbandonedRequests: 3,
  /** Answers later than the route's timeout. */
  lateResponseMs: 500,
  /** Ends of upstreams that a request that causes them may cause, and tries of it that may still reach one later than `contactMs` after. */
  crashesPerRequest: 3,
  lateCrashRequests: 3,
  /** Retries by first attempts, in one window. */
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retrySlack: 56,
  /** Requests to a cold upstream in a second: its rate times this, and a few more. */
  coldRateFactor: 1.5,
  coldRateSlack: 5,
  coldWindowMs: 1000,
  /** The fleet serves again after the last fault. */
  faultRecoveryMs: 6000,
  /** Part of the requests that a fleet far below its capacity serves when nothing disturbs it. */
  servedShareAfterFaults: 0.98
} as const
