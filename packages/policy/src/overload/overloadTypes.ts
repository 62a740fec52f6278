/** Inputs and state of the overload policy, by which a gateway takes itself out of the load balancer's rotation. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Requests that a gateway has read since the previous sample. */
export interface AbandonmentSample {
  /** Number of requests read. */
  readonly read: number
  /** Number of requests among them whose callers had disconnected before they were read. */
  readonly abandoned: number
}

/** Readiness of the peer gateways of the zone. */
export interface ZoneReadiness {
  /** Number of reachable gateways. */
  readonly inSight: number
  /** Number of reachable gateways that are out of rotation. */
  readonly out: number
}

/** State between two samples. */
export interface OverloadState {
  /** Monotonic time of the start of the process. */
  readonly startedAt: Millis
  /** Consecutive bad samples. */
  readonly badSamples: number
  /** Monotonic time until which the gateway is out of rotation; 0 while it is in rotation. */
  readonly outUntil: Millis
  /** Milliseconds out of rotation: of the current period while out, otherwise of the next one. */
  readonly nextOutMs: Millis
  /** Monotonic time of the last return to rotation. */
  readonly returnedAt: Millis
}
