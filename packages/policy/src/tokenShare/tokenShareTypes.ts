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

/** A request to admit. */
export interface ShareRequest {
  readonly workspace: WorkspaceId
  /** Cost of the request: unshared prompt tokens plus twice the expected output tokens. */
  readonly tokens: number
  /** Pressure of the chosen upstream, see `Placement`. */
  readonly pressure: number
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
