/** Types of the long poll that the configuration watch and the host list watch share. */
import type { Clock, Millis } from '@fuchsiaworks/kernel'

/** Outcome of one read of the service; `unchanged` means that no newer version appeared during the wait. */
export type ReadOutcome =
  { readonly kind: 'update', readonly version: number } |
  { readonly kind: 'unchanged' } |
  { readonly kind: 'failed', readonly reason: string }

/** Dependencies and settings of a watch. */
export interface WatchOptions {
  /** URL of the service; the watch adds the query. */
  readonly url: string
  readonly clock: Clock
  /** Returns numbers in [0, 1). */
  readonly random: () => number
  /** Milliseconds for which the service may hold a read while there is no newer version. */
  readonly wait?: Millis
}

/** Parser of the content of one service, and access to its version. */
export interface PollFormat<T> {
  /** Parses the body of a response; throws if it is invalid. */
  readonly parse: (text: string) => T
  /** Returns the version of the content, which increases with every change. */
  readonly versionOf: (content: T) => number
}

/** State of a watch, for the administration API. */
export interface WatchStatus {
  /** Reads started since the watch was started. */
  readonly reads: number
  /** Consecutive failures since the last successful read. */
  readonly failures: number
  /** Reason of the most recent failure; undefined if the last read succeeded. */
  readonly lastFailure: string | undefined
  /** Highest version received from the service or from a peer; -1 if none. */
  readonly version: number
}
