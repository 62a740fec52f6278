/** Types of the long poll that both watches share. */
import type { Clock, Millis } from '@fuchsiaworks/kernel'

/** What one read of the service gave. */
export type ReadOutcome =
  { readonly kind: 'update', readonly version: number } |
  { readonly kind: 'unchanged' } |
  { readonly kind: 'failed', readonly reason: string }

/** What a watch needs from its process. */
export interface WatchOptions {
  /** Address of the service; the query is added. */
  readonly url: string
  readonly clock: Clock
  /** Gives numbers from 0 up to but not including 1. */
  readonly random: () => number
  /** Milliseconds for which the service may hold a read that has no news. */
  readonly wait?: Millis
}

/** What is special to one service. */
export interface PollFormat<T> {
  /** Reads the body of an answer; throws when it is not one. */
  readonly parse: (text: string) => T
  /** Rising number of the content. */
  readonly versionOf: (content: T) => number
}

/** How a watch is doing, for the administration API. */
export interface WatchStatus {
  /** Reads begun since the start. */
  readonly reads: number
  /** Failures since the last read that succeeded. */
  readonly failures: number
  /** Reason of the last of them. */
  readonly lastFailure: string | undefined
  /** Newest version that is known, from the service or told by a peer; -1 for none. */
  readonly version: number
}
