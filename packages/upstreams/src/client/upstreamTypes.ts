/** Requests to an upstream and the handlers of their responses. */
import type { Readable } from 'node:stream'
import type { Millis } from '@fuchsiaworks/kernel'
import type { HeaderList } from '@fuchsiaworks/wire'

/** One request as it is sent to the upstream. */
export interface UpstreamRequest {
  /** Id that the upstream repeats in its response; undefined for one that repeats none. */
  readonly id?: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Uint8Array | Readable | undefined
  /** False when the request must not be sent over a connection that the upstream may be about to close. */
  readonly idempotent: boolean
  /** Time limit for the response headers; 0 for none. */
  readonly headTimeoutMs: Millis
}

/** Callbacks for the response, in the order of the calls. */
export interface UpstreamResponseHandler {
  /** Status and headers arrived. */
  head: (status: number, headers: HeaderList) => void
  /** A part of the body arrived. */
  data: (data: Buffer) => void
  /** The response is complete. */
  end: (trailers: HeaderList) => void
  /**
   * The request or its response failed; `end` will not be called.
   *
   * @param sent - false when the upstream cannot have received any byte of the request
   */
  failed: (err: Error, sent: boolean) => void
}

/** A request in progress. */
export interface UpstreamExchange {
  /** Pauses reading the response. */
  pause: () => void
  /** Resumes reading the response. */
  resume: () => void
  /** Bytes received that were not part of the body: status line, headers, framing, and whatever the upstream sends in place of a response. */
  readonly overheadBytes: number
  /** True once the request was sent on a connection that had carried no other, so that the connection holds no earlier response. */
  readonly isFirstOnConnection: boolean
  /** Cancels the request and closes its connection; `failed` is called next. Does nothing when it has ended. */
  cancel: (reason: Error) => void
}

/** Connection options of a client. */
export interface ConnectionOptions {
  /** Time limit for opening a connection. */
  readonly connectTimeoutMs: Millis
  /** Idle timeout of a connection when the upstream does not state one. */
  readonly keepAliveMs: Millis
  /** Idle connections are closed this long before the upstream would close them. */
  readonly keepAliveMarginMs: Millis
  /** True to open a new connection for each request that is not idempotent. */
  readonly freshConnectionForNonIdempotent: boolean
}
