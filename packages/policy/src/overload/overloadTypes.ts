/** When a router takes itself out of the balancer's choice. */
import type { Millis } from '@fuchsiaworks/kernel'

/** What a router has read of its callers since the last look. */
export interface AbandonmentSample {
  /** Requests that were read. */
  readonly read: number
  /** Those of them whose callers had left before they were read. */
  readonly abandoned: number
}

/** The other routers of the zone. */
export interface ZoneReadiness {
  readonly inSight: number
  /** Those of them that have taken themselves out. */
  readonly out: number
}

/** What is kept from look to look. */
export interface OverloadState {
  /** Monotonic time of the start of the process. */
  readonly startedAt: Millis
  /** Samples in a row in which most callers had left. */
  readonly badSamples: number
  /** Monotonic time until which the router stays out; 0 while it is in. */
  readonly outUntil: Millis
  /** Milliseconds for which it stays out the next time. */
  readonly nextOutMs: Millis
  /** Monotonic time of the last end of being out. */
  readonly backAt: Millis
}
