/** Requests that wait at a gateway for capacity, and the decisions on them. */
import type { Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'

/** Limits of the queue of one gateway. */
export interface AdmissionQueueConfig {
  /** Largest part of the time until its deadline that a request may wait. */
  readonly maxShareOfDeadline: number
  readonly maxRequests: number
  /** Limit on the bytes of the bodies of all waiting requests. */
  readonly maxBytes: number
}

/** A request that found no free capacity. */
export interface AdmissionRequest {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly route: string
  /** 0 is the highest. */
  readonly priority: number
  /** Work: tokens at engines, 1 at other services. */
  readonly units: number
  readonly bytes: number
  readonly arrivedAt: Millis
  readonly deadlineAt: Millis
  /** Latest arrival of the response, or of its first event, that meets the target. */
  readonly targetAt: Millis
  /** Expected time from the start at an upstream until what the target is about. */
  readonly firstMs: Millis
  /** Expected time from the start at an upstream until the complete response. */
  readonly serviceMs: Millis
}

/** A request in the queue. */
export interface QueueEntry<T> {
  readonly request: AdmissionRequest
  readonly owner: T
  /** Time by which the request must start to meet its deadline. */
  readonly startBy: Millis
  /** Time by which it must start to meet its target; not after `startBy`. */
  readonly targetBy: Millis
  readonly predictedMs: Millis
  readonly enqueuedAt: Millis
  /** Arrival order among all entries. */
  readonly order: number
}

/** Why a request does not wait. */
export type QueueRefusalReason = 'predicted-wait' | 'queue-full' | 'too-late'

/** Decision on a request that found no free capacity. */
export type QueueDecision<T> =
  { readonly kind: 'wait', readonly entry: QueueEntry<T> } |
  { readonly kind: 'refuse', readonly reason: QueueRefusalReason, readonly predictedMs: Millis }
