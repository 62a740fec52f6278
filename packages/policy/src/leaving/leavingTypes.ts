/** Upstreams that have announced their shutdown. */
import type { UpstreamId } from '@fuchsiaworks/kernel'

/** One process of an upstream that shuts down; the next process under the same id has another start time. */
export interface LeavingUpstream {
  readonly upstream: UpstreamId
  /** Start of the process in Unix milliseconds; undefined when its entry has none. */
  readonly startedAt: number | undefined
}
