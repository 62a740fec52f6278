/** Inputs and results of sharing engine tokens between workspaces. */
import type { Millis, WorkspaceId } from '@fuchsiaworks/kernel'

/** Tokens of one workspace since the start of one process; both only grow. */
export interface TokenTotals {
  /** Tokens of all requests that arrived. */
  readonly requested: number
  /** Tokens of requests that were sent to an upstream. */
  readonly served: number
}

/** Bounds of the sharing. */
export interface TokenShareConfig {
  /** Span over which shares are kept, in milliseconds. */
  readonly windowMs: Millis
}

/** A request that wants to run. */
export interface ShareRequest {
  readonly workspace: WorkspaceId
  /** Prompt tokens and twice the output tokens. */
  readonly tokens: number
  /** How full the best upstream would be, see `Placement`. */
  readonly pressure: number
}

/** Whether a request may run now. */
export type ShareVerdict =
  {
    readonly kind: 'admit'
    /** Tokens served in the window, with the request, as a multiple of the workspace's share. */
    readonly shareUse: number
  } |
  {
    readonly kind: 'refuse'
    readonly shareUse: number
    /** `share`: the workspace has had its share; `full`: no upstream could begin in time. */
    readonly reason: 'share' | 'full'
    /** Milliseconds after which the request is expected to be admitted. */
    readonly retryAfterMs: Millis
  }
