/** Inputs and results of the token share policy. */
import type { Millis, WorkspaceId } from '@fuchsiaworks/kernel'

/** Tokens of one workspace since the start of one process. */
export interface TokenTotals {
  /** Tokens of all requests that arrived. */
  readonly requested: number
  /** Tokens of requests that were sent to an upstream. */
  readonly served: number
}

/** Configuration of the token share policy. */
export interface TokenShareConfig {
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: Millis
}

/** Share and use of a workspace, fleet-wide and averaged over the window. */
export interface WorkspaceShare {
  /** Tokens in a second; infinite while no capacity is known. */
  readonly sharePerSecond: number
  /** Tokens in a second that were sent to upstreams. */
  readonly servedPerSecond: number
}

/** What a request costs, and whom. */
export interface ShareCharge {
  readonly workspace: WorkspaceId
  /** Cost of the request: unshared prompt tokens plus twice the expected output tokens. */
  readonly tokens: number
}

/** A request to admit. */
export interface ShareRequest extends ShareCharge {
  /** Pressure of the chosen upstream, see `Placement`. */
  readonly pressure: number
  /** Load of the chosen upstream, see `Placement`; its pressure when not given. */
  readonly load?: number
  /** Load of the least loaded upstream, infinite when not all upstreams were considered; the load of the chosen one when not given. */
  readonly leastLoad?: number
}

/** Decision on a request. */
export type ShareVerdict =
  {
    readonly kind: 'admit'
    /** Tokens served in the window, including the request, as a multiple of the workspace's share. */
    readonly shareUse: number
  } |
  {
    readonly kind: 'refuse'
    readonly shareUse: number
    /** `share`: the workspace has used its share; `full`: no upstream could start the request within the target. */
    readonly reason: 'share' | 'full'
    /** Milliseconds after which the request is expected to be admitted. */
    readonly retryAfterMs: Millis
  }
