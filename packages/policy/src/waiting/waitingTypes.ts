/** Requests that wait at a router for room at an upstream. */
import type { Millis } from '@fuchsiaworks/kernel'

/** What is known of one waiting request. */
export interface QueuedRequest {
  /** Tokens served to its workspace in the window as a multiple of the workspace's share. */
  readonly usageRatio: number
  /** Monotonic milliseconds of its arrival. */
  readonly arrivedAt: Millis
  /** Milliseconds from the arrival within which it earns full credit. */
  readonly latencyTargetMs: Millis
}
