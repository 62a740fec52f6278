/** Planned requests and their results. */

/** Kind of a request. `post` and `post-keyed` are not idempotent; the latter carries an Idempotency-Key. */
export type RequestKind = 'stream' | 'completion' | 'get' | 'post' | 'post-keyed' | 'upload' | 'download'

/** One planned request. */
export interface PlannedRequest {
  /** Unique id that stand-ins record; it begins with the id of the workspace and a dot. */
  readonly nonce: string
  readonly workspace: string
  readonly service: string
  readonly kind: RequestKind
  /** Index of the router that the request is sent to. */
  readonly router: number
  /** Intended time of sending, in milliseconds after the start of the load. */
  readonly at: number
  /** Output tokens of an engine request; body bytes of an upload or a download. */
  readonly size: number
  /** Text that lengthens the prompt. */
  readonly filler: string
  /** Milliseconds for which a plain service is busy; undefined for the default of its stand-in. */
  readonly busyMs?: number
}

/**
 * Classification of a response. `right`: complete, and byte for byte as expected. `wrong`: complete, but different. `cut`:
 * truncated after the status line. `not-run`, `unknown`, `ran`: a problem document with this outcome. `failed`: no response.
 */
export type ResultKind = 'right' | 'wrong' | 'cut' | 'not-run' | 'unknown' | 'ran' | 'failed'

/** Result of one request. Times are in milliseconds since the Unix epoch. */
export interface RequestResult {
  readonly planned: PlannedRequest
  readonly result: ResultKind
  readonly status: number
  readonly detail: string
  /** Time at which the plan wanted the request sent; latency is measured from here. */
  readonly intendedAt: number
  readonly firstByteAt: number | undefined
  readonly endedAt: number
}

/** All kinds of result, in the order of columns in reports. */
export const RESULT_KINDS: readonly ResultKind[] = ['right', 'not-run', 'unknown', 'ran', 'cut', 'wrong', 'failed']
