/** Bounds of the invariants, as in the users' site files. */
export const BOUNDS = {
  /** From the publication of a configuration until every gateway applies it. */
  configurationMs: 2000,
  /** Time during which requests in flight may still see the older configuration after a response by the newer one. */
  rollbackSlackMs: 250,
  /** From the revocation of a key until no gateway accepts it. */
  revokeMs: 5000,
  /** From the exclusion of a zone until it gets no new requests. */
  zoneExclusionMs: 5000,
  /** From the start of the drain of an upstream until it gets no new requests. */
  leavingMs: 3000,
  /** Time after a disturbance of a component during which bounds that depend on it are not checked. */
  recoveryFromDisturbanceMs: 4000,
  /** From SIGTERM until the process is killed. */
  gracePeriodMs: 8000,
  /** From the disconnect of a caller until its running work stops and nothing more is sent upstream for it. */
  abandonedWorkMs: 500,
  /** Requests that may reach an upstream later than `abandonedWorkMs`. */
  lateAbandonedRequests: 3,
  /** Tolerance on the timeout of a route. */
  lateResponseMs: 500,
  /** Crashes that one request may cause, and runs of it that are tolerated later than `recoveryFromDisturbanceMs` after the last of them. */
  crashesPerRequest: 3,
  lateCrashRequests: 3,
  /** Crashes that one prompt part may cause before requests with it are bounded in the same way. */
  crashesPerPart: 5,
  /** Streams that may hold events of two software versions. */
  mixedStreams: 2,
  /** Retries allowed per window: this share of the first attempts, plus the slack. */
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retrySlack: 56,
  /** Requests that a cold upstream may get per window: its rate limit times the factor, plus the slack. */
  coldRateFactor: 1.5,
  coldRateSlack: 5,
  coldWindowMs: 1000,
  /** Time within which a ready gateway responds to one of several callers that open connections. */
  newConnectionMs: 4000,
  /** Callers that have to try in that time. */
  newConnectionCallers: 7,
  /** Share of the callers of a surge that may leave because their response does not start in time; a peer gateway that serves them may be paused. */
  unansweredSurgeShare: 0.25,
  /** From the end of the last fault until the fleet serves requests normally. */
  faultRecoveryMs: 6000,
  /** Share of requests that a fleet far below its capacity serves without faults. */
  servedShareAfterFaults: 0.98
} as const
