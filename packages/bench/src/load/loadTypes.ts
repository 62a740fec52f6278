/** Requests of the bench and what became of them. */

/** Kinds of request in the mix. */
export type RequestKind = 'stream' | 'completion' | 'get' | 'post' | 'post-keyed' | 'upload' | 'download'

/** One planned request. */
export interface PlannedRequest {
  /** Mark that names the request; it begins with the workspace and a dot. */
  readonly nonce: string
  readonly workspace: string
  readonly service: string
  readonly kind: RequestKind
  /** Index of the router that it enters by. */
  readonly router: number
  /** Milliseconds after the start of the load at which the caller means to send it. */
  readonly at: number
  /** Tokens to generate, or body bytes of an upload or a download. */
  readonly size: number
  /** Text that is put into the prompt. */
  readonly filler: string
  /** Milliseconds for which a plain service is busy; undefined for its own time. */
  readonly busy?: number
}

/**
 * What a caller got. `right`: the whole answer, byte for byte. `wrong`: a whole answer that differs. `cut`: an answer that
 * broke off. `not-run`, `unknown`, `ran`: a problem document that says so. `failed`: no answer at all.
 */
export type ResultKind = 'right' | 'wrong' | 'cut' | 'not-run' | 'unknown' | 'ran' | 'failed'

/** Result of one request. Times are wall-clock milliseconds. */
export interface RequestResult {
  readonly planned: PlannedRequest
  readonly result: ResultKind
  readonly status: number
  readonly detail: string
  /** When the caller meant to send it; latency counts from here. */
  readonly intendedAt: number
  readonly firstByteAt: number | undefined
  readonly endedAt: number
}

/** Every kind of result, the good one first. */
export const RESULT_KINDS: readonly ResultKind[] = ['right', 'not-run', 'unknown', 'ran', 'cut', 'wrong', 'failed']
