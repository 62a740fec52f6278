/** Inputs and results of the policy on traffic between zones. */
import type { Millis, ZoneId } from '@fuchsiaworks/kernel'

/** What it costs a request to be served in another zone. */
export interface ZoneTraffic {
  /** Milliseconds of a caller's waiting that a megabyte between zones is worth. */
  readonly msPerMegabyte: number
  /** Bytes of the request and of its expected response. */
  readonly bytes: number
  /** Bytes of a cached prompt token that is copied between zones; 0 when such copies cost nothing. */
  readonly copyBytesPerToken: number
  /** Gateways of the own zone, including this one. */
  readonly senders: number
  /** Returns the maximum pressure of an upstream at which the request is admitted now. */
  readonly maxPressure: () => number
}

/** The parts of a request to place on which the policy depends. */
export interface SpillRequest {
  /** Zone of the gateway. */
  readonly zone: ZoneId
  readonly latencyTargetMs: Millis
  readonly zoneTraffic: ZoneTraffic
}

/** An upstream that may be chosen. */
export interface SpillCandidate {
  readonly zone: ZoneId
  readonly isEngine: boolean
  readonly slots: number
  /** Expected utilization: at 1 the target is only just met, or no slot is left. */
  readonly pressure: number
  /** Part of its capacity that the requests before this one use. */
  readonly load: number
  /** Predicted milliseconds to the first event. */
  readonly expectedMs: Millis
}

/** Why a request stays in its zone or leaves it. */
export type SpillReason =
  /** The zone has free capacity in time. */
  | 'free'
  /** The zone has none, and neither have the other zones. */
  | 'all-full'
  /** This gateway has recently sent its part of the other zones' free capacity. */
  | 'part-sent'
  /** The bytes and the delay cost more than the wait or refusal that they would avoid. */
  | 'too-expensive'
  /** The zone has no free capacity in time, and another one has. */
  | 'own-full'
  /** The zone has no usable upstream. */
  | 'own-none'

/** Decision on one request. */
export interface SpillDecision {
  readonly leaves: boolean
  readonly reason: SpillReason
  /** Lowest pressure of an upstream of the own zone; undefined when there is none. */
  readonly ownPressure: number | undefined
}
