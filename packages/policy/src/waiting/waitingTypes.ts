/** Requests queued at a gateway until an upstream has capacity. */
import type { Millis } from '@fuchsiaworks/kernel'

/** A request in the queue. */
export interface QueuedRequest {
  /** Tokens served to the workspace in the window as a multiple of its share. */
  readonly shareUse: number
  /** Monotonic time of arrival. */
  readonly arrivedAt: Millis
  /** Target latency in milliseconds from arrival; a request served within it earns full credit. */
  readonly latencyTargetMs: Millis
}
