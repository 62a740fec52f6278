/** Inputs and state of the overload policy, by which a gateway takes itself out of the load balancer's rotation. */
import type { Millis } from '@fuchsiaworks/kernel'

/** What a gateway has seen since the previous sample, half a second ago. */
export interface OverloadSample {
  /** Time for which new connections wait until they are accepted. */
  readonly listenQueueWaitMs: Millis
  /** Rate at which connections were accepted. */
  readonly acceptedPerSecond: number
  /** Requests read. */
  readonly read: number
  /** Requests among them whose callers had disconnected before they were read. */
  readonly abandoned: number
}

/** Readiness of the peer gateways of the zone. */
export interface ZoneReadiness {
  /** Number of reachable gateways. */
  readonly inSight: number
  /** Number of reachable gateways that are out of rotation. */
  readonly out: number
  /** Highest rate at which one of them accepts connections, per second; one that has just left still accepts for a while. */
  readonly maxAccepted: number
  /** Highest utilization of the event loop of one of them, from 0 to 1. */
  readonly maxUtilization: number
}

/** State between two samples. */
export interface OverloadState {
  /** Monotonic time of the start of the process. */
  readonly startedAt: Millis
  /** Consecutive bad samples. */
  readonly badSamples: number
  /** Monotonic time of leaving rotation; undefined while the gateway is in rotation. */
  readonly outSince: Millis | undefined
  /** Rate at which it accepted connections before it left, per second; what came was more than it can bear. */
  readonly unbearable: number
}
